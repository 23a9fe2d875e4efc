package gateway

import (
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/request"
)

// defaultRetryAfter is suggested when nothing better is known.
const defaultRetryAfter = time.Second

// writeProblem answers the exchange with p and a fresh key.
func (x *exchange) writeProblem(p problem) {
	x.addFreshKey()
	x.addPeerFields(p)
	x.g.counters.outcomes[p.Outcome].Inc()
	p.write(x.w)
}

// addPeerFields tells a peer what its next step depends on.
func (x *exchange) addPeerFields(p problem) {
	if x.hops == 0 {
		return
	}
	h := x.w.Header()
	if p.retryAfter > 0 {
		h.Set(relayRetryMsField, formatMillis(p.retryAfter))
	}
	if p.overloaded {
		h.Set(relayOverloadField, "1")
	}
}

// addFreshKey puts a fresh key into the answer, so that callers have one in
// hand. A peer gets the life of this agent: the caller's own agent adds its key.
func (x *exchange) addFreshKey() {
	switch {
	case x.hops > 0:
		x.w.Header().Set(relayLifeField, x.g.life().String())
	case x.spec.ID != 0:
		x.w.Header().Set(KeyField, x.g.freshKey(x.spec.ID))
	}
}

// refuse tells the caller that the request was not run. The record is settled
// first: from then on no copy of the request can run.
func (x *exchange) refuse(a request.Action) {
	if x.passPeerProblem() {
		return
	}
	x.settleRefused()
	x.writeProblem(x.refusal(a))
}

func (x *exchange) refusal(a request.Action) problem {
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

// answerUnknown tells the caller that the request may or may not have run.
func (x *exchange) answerUnknown(a request.Action) {
	if x.passPeerProblem() {
		return
	}
	x.settleUnknown()
	status := http.StatusBadGateway
	if a.Cause == request.CauseDeadline {
		status = http.StatusGatewayTimeout
	}
	x.writeProblem(unknownOutcome(status, "the request may have run; check before you send it with a fresh key"))
}

func unknownOutcome(status int, detail string) problem {
	return newProblem("outcome-unknown", status, OutcomeUnknown, "The outcome of the request is unknown", detail)
}

// passPeerProblem passes the word of the key's granting agent on, if there is one.
func (x *exchange) passPeerProblem() bool {
	if !x.forward || x.answer == nil {
		return false
	}
	x.writeHead()
	if x.copyBody().Kind != request.AnswerEnded {
		x.abort()
	}
	return true
}
