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

// exchange holds one request that this agent serves, and its answer.
type exchange struct {
	g    *Gateway
	w    http.ResponseWriter
	r    *http.Request
	spec service.Spec

	// ctx ends when the request ends or is cancelled, or at the deadline if the answer has not
	// started by that time.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	deadline time.Time

	caller netip.Addr
	// hops is the number of times that the request was relayed before it reached this agent.
	hops        int
	repeatable  bool
	body        *requestBody
	key         *idempotency.Key
	keyText     string
	fingerprint idempotency.Fingerprint
	// record identifies the record that this agent keeps of the request.
	record request.RecordID

	machine *request.Machine
	peers   []member.Member
	// forwarded is set if another agent holds the record of the request's key. This agent then only
	// forwards the request to the holder, and the holder's reply to the caller.
	forwarded bool
	grant     idempotency.Grant
	// freeSlotOnly is set for a slot query from a peer: the request is refused if it would have to
	// wait here.
	freeSlotOnly bool
	slotRequest  admission.RequestID
	hasSlot      bool
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

// close releases everything that the exchange still holds, also after a panic. A record without an
// outcome is marked as unknown.
func (x *exchange) close() {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.dropAnswer()
	x.cancel(errFinished)
	x.releaseSlot()
	x.recordUnknown()
}

// startClock sets the deadline to limit from now.
func (x *exchange) startClock(limit time.Duration) {
	x.deadline = x.g.cfg.Now().Add(limit)
	x.timer = time.AfterFunc(limit, func() { x.cancel(errDeadline) })
}

func (x *exchange) remaining() time.Duration {
	return x.deadline.Sub(x.g.cfg.Now())
}

// run performs the actions of the request's state machine until the request ends.
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
	e.BodyConsumed = x.body.consumed || x.answer != nil && x.answer.body.isConsumed()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.machine.Handle(now, e)
}

// perform performs an action and returns the resulting event, or false if the exchange has ended.
func (x *exchange) perform(a request.Action) (request.Event, bool) {
	if a.Retry {
		x.g.counters.retries.Inc()
		x.discardAttempt()
	}
	if a.Delay > 0 && !x.sleep(a.Delay) {
		return x.contextEvent(), true
	}
	switch a.Kind {
	case request.Admit:
		return x.admit(), true
	case request.Dispatch:
		return x.dispatch(a), true
	case request.Relay:
		return x.relay(a), true
	case request.ForwardAnswer:
		return x.forwardAnswer(a), true
	case request.ReplyNotRun:
		x.replyNotRun(a)
	case request.ReplyUnknown:
		x.replyUnknown(a)
	case request.Finish:
	default:
		x.abort()
	}
	return request.Event{}, false
}

// discardAttempt ends an attempt whose answer is not forwarded, so that another attempt can follow:
// it releases the slot, drops the answer and restarts the deadline timer.
func (x *exchange) discardAttempt() {
	x.releaseSlot()
	if x.answer != nil {
		x.dropAnswer()
		x.timer.Reset(x.remaining())
	}
}

// admit requests a local slot and waits in the queue if necessary.
func (x *exchange) admit() request.Event {
	id, decision, wait := x.g.slots.offer(x.caller, x.deadline, x.freeSlotOnly)
	if decision.Verdict == admission.Queued {
		x.handle(request.Event{Kind: request.Enqueued})
		select {
		case decision = <-wait:
		case <-x.ctx.Done():
			x.g.slots.release(id)
			return x.contextEvent()
		}
	}
	if decision.Verdict == admission.Admitted {
		x.slotRequest, x.hasSlot = id, true
		return request.Event{Kind: request.Admitted}
	}
	if decision.Reason == admission.ReasonDeadline && x.remaining() <= 0 {
		return request.Event{Kind: request.DeadlinePassed}
	}
	return request.Event{Kind: request.Refused, RetryAfter: decision.RetryAfter, Overloaded: true}
}

func (x *exchange) releaseSlot() {
	if x.hasSlot {
		x.hasSlot = false
		x.g.slots.release(x.slotRequest)
	}
}

// dispatch sends the request to the local backend server and records the result for the backend
// server's health. It sends no request that was cancelled or whose deadline has passed.
func (x *exchange) dispatch(a request.Action) request.Event {
	if x.ctx.Err() != nil || x.remaining() <= 0 {
		// The request was not sent, so it certainly did not run.
		x.releaseSlot()
		return request.Event{Kind: request.BackendUnreached, Attempt: a.Attempt}
	}
	sent := x.g.cfg.Now()
	event := x.sendToBackend(a)
	x.recordHealth(event, x.g.cfg.Now().Sub(sent))
	return event
}

// recordHealth records the result of a local attempt for the backend server's health. It ignores
// attempts that the caller cancelled. It also ignores attempts that reached their deadline after
// less than half of the service's limit, because the backend server had too little time.
func (x *exchange) recordHealth(e request.Event, waited time.Duration) {
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

// sendToBackend sends one attempt to the local backend server and waits for the head of the answer.
func (x *exchange) sendToBackend(a request.Action) request.Event {
	body := x.body.open()
	response, err := x.g.backend.roundTrip(x.ctx, x, body) //nolint:bodyclose // dropAnswer closes it.
	if err == nil {
		x.answer = &answer{response: response, body: body}
		event := x.answerStarted()
		event.Attempt = a.Attempt
		event.Shed = response.StatusCode == http.StatusServiceUnavailable
		return event
	}
	x.body.closeAttempt(body)
	x.releaseSlot()
	switch {
	case provesNotSent(err):
		return request.Event{Kind: request.BackendUnreached, Attempt: a.Attempt}
	case x.ctx.Err() != nil:
		return x.contextEvent()
	default:
		return request.Event{Kind: request.BackendFailed, Attempt: a.Attempt}
	}
}

// contextEvent returns the event for the reason why ctx ended.
func (x *exchange) contextEvent() request.Event {
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

// outgoingRequest returns the request to send to base.
func (x *exchange) outgoingRequest(ctx context.Context, base *url.URL, body *attemptBody) *http.Request {
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
		// Otherwise net/http would send its own User-Agent.
		out.Header["User-Agent"] = []string{""}
	}
	return out.WithContext(ctx)
}
