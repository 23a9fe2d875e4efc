package gateway

import (
	"net/http"

	"github.com/almondledge/almondledge/internal/request"
)

// serveCaller serves a request that came from a caller.
func (x *exchange) serveCaller() {
	if p, bad := x.checkRequest(); bad {
		x.writeProblem(p)
		return
	}
	limit := x.spec.Limits.Deadline()
	if text := x.r.Header.Get(DeadlineField); text != "" {
		requested, ok := parseMillis(text)
		if !ok {
			x.writeProblem(newProblem("bad-deadline", http.StatusBadRequest, x.refuseEarly(), "Bad deadline field",
				DeadlineField+" holds the remaining time in milliseconds"))
			return
		}
		limit = min(limit, requested)
	}
	x.startClock(limit)
	if limit <= 0 {
		x.writeProblem(newProblem("deadline", http.StatusGatewayTimeout, x.refuseEarly(), "The deadline has passed",
			"send the request again with a later deadline"))
		return
	}
	if x.repeatable {
		x.run(x.route())
		return
	}
	x.serveNonRepeatable()
}

// checkRequest returns a problem if no agent of the service can serve the request.
func (x *exchange) checkRequest() (problem, bool) {
	switch {
	case x.spec.ID == 0:
		outcome := OutcomeNotRun
		if !x.repeatable && x.r.Header.Get(KeyField) != "" {
			// The same request may have run before the service was removed.
			outcome = OutcomeUnknown
		}
		return newProblem("no-service", http.StatusServiceUnavailable, outcome, "The service does not exist",
			"it was removed, or this agent has not received it yet").after(defaultRetryAfter), true
	case x.r.Method == http.MethodConnect:
		return newProblem("method", http.StatusNotImplemented, OutcomeNotRun, "CONNECT is not supported",
			"use another method"), true
	case !servesHost(x.spec, x.r.Host):
		x.g.counters.wrongHost.Inc()
		return newProblem("wrong-host", http.StatusMisdirectedRequest, OutcomeNotRun, "The service has no such host name",
			"send the request to the address of its service"), true
	}
	return problem{}, false
}

// route returns the targets of a request that this agent may dispatch.
func (x *exchange) route() request.Route {
	draining := x.g.isDraining(x.spec)
	if x.mayRelay() {
		x.peers = x.g.candidates(x.spec.ID)
	}
	route := request.Route{
		Repeatable: x.repeatable,
		Local:      true,
		PeersFirst: draining || x.g.health.isOutlier(),
		Draining:   draining,
		Peers:      len(x.peers),
		Deadline:   x.deadline,
	}
	route.SlotQuery = !route.PeersFirst && x.sendsSlotQuery()
	if !x.repeatable {
		route.MaxResends = maxResends
	}
	if draining && len(x.peers) == 0 {
		x.routeWithoutPeers(&route)
	}
	return route
}

// routeWithoutPeers adapts the route of a request at a draining agent without peers. The request is
// served locally if it came from a caller, or if this agent issued its key. Other relayed requests
// are refused, because the sending agent can try another peer.
func (x *exchange) routeWithoutPeers(route *request.Route) {
	if x.hops > 0 && x.key == nil {
		route.Local = false
		return
	}
	x.g.counters.servedDraining.Inc()
}

// mayRelay reports whether this agent may relay the request: it came from a caller, or this agent
// issued its key.
func (x *exchange) mayRelay() bool {
	return x.hops == 0 || (x.key != nil && x.hops < maxHops)
}
