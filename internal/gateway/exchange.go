package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/request"
	"github.com/almondledge/almondledge/internal/service"
)

var (
	errDeadline = errors.New("the answer did not start before the deadline")
	errFinished = errors.New("the exchange has ended")
)

// exchange is one request at this agent and its answer.
type exchange struct {
	g    *Gateway
	w    http.ResponseWriter
	r    *http.Request
	spec service.Spec

	// ctx ends with the caller's request and, before the answer starts, at the deadline.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	deadline time.Time

	caller netip.Addr
	// hops is how many agents passed the request on before this one.
	hops       int
	repeatable bool
	body       *requestBody
	key        *idempotency.Key
	keyText    string
	print      idempotency.Fingerprint
	// subject names the record that this agent keeps of the request.
	subject request.RecordID

	machine *request.Machine
	peers   []member.Member
	// forward is set when another agent granted the key and alone decides.
	forward bool
	grant   idempotency.Grant
	// freeSlotOnly is set when a peer asked for a free slot and keeps the request otherwise.
	freeSlotOnly bool
	ticket       admission.RequestID
	holds        bool
	answer       *answer
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{g: g, w: w, r: r, spec: g.cfg.Spec(), body: newRequestBody(r)}
	x.ctx, x.cancel = context.WithCancelCause(r.Context())
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		x.caller = from.Addr()
	}
	x.repeatable = isRepeatable(x.spec, r)
	return x
}

// close ends whatever the exchange still holds, also after a panic. A record
// that was not settled by then is settled as unknown.
func (x *exchange) close() {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.dropAnswer()
	x.cancel(errFinished)
	x.releaseSlot()
	x.settleUnknown()
}

// startClock sets the deadline: limit from now.
func (x *exchange) startClock(limit time.Duration) {
	x.deadline = x.g.cfg.Now().Add(limit)
	x.timer = time.AfterFunc(limit, func() { x.cancel(errDeadline) })
}

func (x *exchange) remaining() time.Duration {
	return x.deadline.Sub(x.g.cfg.Now())
}

// run drives the state machine of the request to its end.
func (x *exchange) run(route request.Route) {
	machine, action := x.newMachine(route)
	x.machine = machine
	for {
		event, more := x.perform(action)
		if !more {
			return
		}
		action = x.handle(event)
	}
}

func (x *exchange) newMachine(route request.Route) (*request.Machine, request.Action) {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.budget.CountRequest(now)
	return request.New(route, x.g.shared.budget)
}

func (x *exchange) handle(e request.Event) request.Action {
	now := x.g.cfg.Now()
	e.Random = x.g.cfg.Rand()
	e.BodyConsumed = x.body.spent || x.answer != nil && x.answer.body.isSpent()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.machine.Handle(now, e)
}

// perform does what the machine asks for and returns what came of it, or false
// when the exchange is over.
func (x *exchange) perform(a request.Action) (request.Event, bool) {
	if a.Retry {
		x.g.counters.retries.Inc()
		x.endAttempt()
	}
	if a.Delay > 0 && !x.sleep(a.Delay) {
		return x.ended(), true
	}
	switch a.Kind {
	case request.Admit:
		return x.admit(), true
	case request.Dispatch:
		return x.dispatch(a), true
	case request.Relay:
		return x.relay(a), true
	case request.ForwardAnswer:
		return x.pass(a), true
	case request.ReplyNotRun:
		x.refuse(a)
	case request.ReplyUnknown:
		x.answerUnknown(a)
	case request.Finish:
	default:
		x.abort()
	}
	return request.Event{}, false
}

// endAttempt lets go of an answer that is not passed on and starts the clock
// again, so that another attempt can follow.
func (x *exchange) endAttempt() {
	x.releaseSlot()
	if x.answer != nil {
		x.dropAnswer()
		x.timer.Reset(x.remaining())
	}
}

// admit asks for a local slot and waits in the queue if it must.
func (x *exchange) admit() request.Event {
	ticket, decision, wait := x.g.slots.offer(x.caller, x.deadline, x.freeSlotOnly)
	if decision.Verdict == admission.Queued {
		x.handle(request.Event{Kind: request.Enqueued})
		select {
		case decision = <-wait:
		case <-x.ctx.Done():
			x.g.slots.release(ticket)
			return x.ended()
		}
	}
	if decision.Verdict == admission.Admitted {
		x.ticket, x.holds = ticket, true
		return request.Event{Kind: request.Admitted}
	}
	if decision.Reason == admission.ReasonDeadline && x.remaining() <= 0 {
		return request.Event{Kind: request.DeadlinePassed}
	}
	return request.Event{Kind: request.Refused, RetryAfter: decision.RetryAfter, Overloaded: true}
}

func (x *exchange) releaseSlot() {
	if x.holds {
		x.holds = false
		x.g.slots.release(x.ticket)
	}
}

// dispatch sends the request to the local backend server.
func (x *exchange) dispatch(a request.Action) request.Event {
	if x.ctx.Err() != nil || x.remaining() <= 0 {
		// Nothing was sent, so the outcome is certain.
		x.releaseSlot()
		return request.Event{Kind: request.BackendUnreached, Attempt: a.Attempt}
	}
	sent := x.g.cfg.Now()
	event := x.attempt(a)
	x.observe(event, x.g.cfg.Now().Sub(sent))
	return event
}

// observe tells the health of the backend server the end of an attempt. A
// caller that cancels, or leaves far less time than the service does, says
// nothing about the backend server.
func (x *exchange) observe(e request.Event, waited time.Duration) {
	if e.Kind == request.CallerCancelled {
		return
	}
	if e.Kind == request.DeadlinePassed && waited < x.spec.Limits.Deadline()/2 {
		return
	}
	var response *http.Response
	if x.answer != nil {
		response = x.answer.response
	}
	x.g.health.observe(isFailure(e, response))
}

// attempt sends one attempt to the local backend server and waits for the head
// of the answer.
func (x *exchange) attempt(a request.Action) request.Event {
	body := x.body.open()
	response, err := x.g.backend.roundTrip(x.ctx, x, body) //nolint:bodyclose // dropAnswer closes it.
	if err == nil {
		x.answer = &answer{response: response, body: body}
		event := x.answerStarted()
		event.Attempt = a.Attempt
		event.Shed = response.StatusCode == http.StatusServiceUnavailable
		return event
	}
	x.body.end(body)
	x.releaseSlot()
	switch {
	case notSent(err):
		return request.Event{Kind: request.BackendUnreached, Attempt: a.Attempt}
	case x.ctx.Err() != nil:
		return x.ended()
	default:
		return request.Event{Kind: request.BackendFailed, Attempt: a.Attempt}
	}
}

// ended says why the context of the exchange ended.
func (x *exchange) ended() request.Event {
	if errors.Is(context.Cause(x.ctx), errDeadline) {
		return request.Event{Kind: request.DeadlinePassed}
	}
	return request.Event{Kind: request.CallerCancelled}
}

func (x *exchange) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// outgoing returns the request as it goes to base.
func (x *exchange) outgoing(ctx context.Context, base *url.URL, body *attemptBody) *http.Request {
	target := *base
	target.Path = base.Path + x.r.URL.Path
	target.RawPath = ""
	if x.r.URL.RawPath != "" {
		target.RawPath = base.EscapedPath() + x.r.URL.EscapedPath()
	}
	target.RawQuery = x.r.URL.RawQuery
	out := &http.Request{
		Method:        x.r.Method,
		URL:           &target,
		Host:          x.r.Host,
		Header:        endToEnd(x.r.Header),
		Body:          body.reader(),
		ContentLength: x.r.ContentLength,
	}
	if body.source == nil {
		out.ContentLength = 0
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// Without this line net/http would send its own name.
		out.Header["User-Agent"] = []string{""}
	}
	return out.WithContext(ctx)
}
