package gateway

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/request"
	"github.com/almondledge/almondledge/internal/service"
)

// servePeer checks and serves a request that a peer relays.
func (x *exchange) servePeer() {
	hops, err := strconv.Atoi(x.r.Header.Get(relayHopsField))
	if err != nil || hops < 1 || hops > maxHops {
		x.g.counters.relayHopLimit.Inc()
		x.hops = maxHops
		x.writeProblem(newProblem("hop-limit", http.StatusLoopDetected, OutcomeNotRun, "Too many relays",
			"the request was not run here"))
		return
	}
	x.hops = hops
	x.freeSlotOnly = x.r.Header.Get(relayFreeSlotField) != ""
	id, err := strconv.ParseUint(x.r.Header.Get(relayServiceField), 10, 16)
	if err != nil || service.ID(id) != x.spec.ID || x.spec.ID == 0 {
		x.g.counters.relayOtherService.Inc()
		x.writeProblem(newProblem("other-service", http.StatusMisdirectedRequest, OutcomeNotRun,
			"This agent serves another service", "the request was not run here"))
		return
	}
	if caller, err := netip.ParseAddr(x.r.Header.Get(relayCallerField)); err == nil {
		x.caller = caller
	}
	limit, ok := parseMillis(x.r.Header.Get(DeadlineField))
	if !ok {
		limit = 0
	}
	x.startClock(min(limit, x.spec.Limits.Deadline()))
	x.serveRelayed()
}

// serveRelayed serves the three kinds of relayed requests: requests with a key, requests with a
// grant, and repeatable requests without either.
func (x *exchange) serveRelayed() {
	keyText := x.r.Header.Get(relayKeyField)
	grantText := x.r.Header.Get(relayGrantField)
	x.repeatable = keyText == "" && grantText == ""
	switch {
	case keyText != "":
		if err := x.openKey(keyText); err != nil {
			x.refuseKey(err)
			return
		}
		if x.readKeyedBody() {
			x.serveKeyed()
		}
	case grantText != "":
		x.serveGrant(grantText)
	default:
		x.runBegun()
	}
}

// serveGrant runs a request under a grant of another agent.
func (x *exchange) serveGrant(text string) {
	grant, err := idempotency.ParseGrant(text)
	if err != nil {
		x.writeProblem(newProblem("bad-grant", http.StatusBadRequest, OutcomeNotRun, "Bad grant", err.Error()))
		return
	}
	x.fingerprint = fingerprint(x.r, nil)
	decision := x.beginRecord(request.RecordID{Kind: request.ByGrant, Grant: grant})
	if decision.Verdict != idempotency.Run {
		x.replyVerdict(decision)
		return
	}
	x.runBegun()
}
