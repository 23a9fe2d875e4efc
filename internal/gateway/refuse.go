package gateway

import (
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/request"
)

// defaultRetryAfter is the suggested wait if there is no better estimate.
const defaultRetryAfter = time.Second

// writeProblem sends p and a fresh key as the answer.
func (x *exchange) writeProblem(p problem) {
	x.addFreshKey()
	x.addPeerFields(p)
	x.g.counters.outcomes[p.Outcome].Inc()
	p.write(x.w)
}

// addPeerFields adds the fields from which the agent that relayed the request decides on its next
// attempt.
func (x *exchange) addPeerFields(p problem) {
	if x.hops == 0 {
		return
	}
	h := x.w.Header()
	if p.retryAfter > 0 {
		h.Set(relayRetryMsField, formatMillis(p.retryAfter))
	}
	if p.overloaded {
		h.Set(relayOverloadedField, "1")
	}
}

// addFreshKey adds a fresh key to the answer, so that callers always have an unused key. An answer
// to a peer carries the epoch of this agent instead; the agent that serves the caller adds the key.
func (x *exchange) addFreshKey() {
	switch {
	case x.hops > 0:
		x.w.Header().Set(relayEpochField, x.g.epoch().String())
	case x.spec.ID != 0:
		x.w.Header().Set(KeyField, x.g.freshKey(x.spec.ID))
	}
}

// replyNotRun tells the caller that the request was not run. It first refuses the request in its
// record, so that no copy of the request can run afterwards.
func (x *exchange) replyNotRun(a request.Action) {
	if x.forwardPeerProblem() {
		return
	}
	x.recordNotRun()
	x.writeProblem(x.notRunProblem(a))
}

func (x *exchange) notRunProblem(a request.Action) problem {
	wait := a.RetryAfter
	if wait <= 0 {
		wait = defaultRetryAfter + time.Duration(x.g.cfg.Rand()*float64(defaultRetryAfter))
	}
	switch a.Cause {
	case request.CauseOverloaded:
		p := newProblem("overloaded", http.StatusServiceUnavailable, OutcomeNotRun, "The service has no room",
			"the request was not run; send it again after the given wait, with a fresh key").after(wait)
		p.overloaded = true
		return p
	case request.CauseDeadline:
		return newProblem("deadline", http.StatusGatewayTimeout, OutcomeNotRun, "The deadline passed before dispatch",
			"the request was not run; send it again with a later deadline").after(wait)
	default:
		return newProblem("unavailable", http.StatusServiceUnavailable, OutcomeNotRun, "No backend server could be reached",
			"the request was not run; send it again after the given wait, with a fresh key").after(wait)
	}
}

// replyUnknown tells the caller that the request may have run.
func (x *exchange) replyUnknown(a request.Action) {
	if x.forwardPeerProblem() {
		return
	}
	x.recordUnknown()
	status := http.StatusBadGateway
	if a.Cause == request.CauseDeadline {
		status = http.StatusGatewayTimeout
	}
	x.writeProblem(unknownProblem(status, "the request may have run; check before you send it with a fresh key"))
}

func unknownProblem(status int, detail string) problem {
	return newProblem("outcome-unknown", status, OutcomeUnknown, "The outcome of the request is unknown", detail)
}

// forwardPeerProblem forwards the problem that the holder of the key's record returned. It returns
// false if the holder returned no problem.
func (x *exchange) forwardPeerProblem() bool {
	if !x.forwarded || x.answer == nil {
		return false
	}
	x.writeHead()
	if x.copyBody().Kind != request.AnswerEnded {
		x.abort()
	}
	return true
}
