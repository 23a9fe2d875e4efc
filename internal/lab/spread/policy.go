package spread

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/routing"
)

// policy says who decides about a new flow and about a request, and by what.
type policy struct {
	name string
	// yields reports whether a host passes a flow that it could take.
	yields func(r *run, at *host, next netip.AddrPort) bool
	// order may change the balancer's order of candidates.
	order func(r *run, chosen *[routing.MaxCandidates]netip.AddrPort, count int)
	// asks makes a request that would wait ask a peer for a free slot first.
	asks bool
}

// ownLoadMargin is how far an agent may be above the offered load before it
// passes flows by its own load alone.
const ownLoadMargin = 1.05

func policies() []policy {
	return []policy{
		{name: "rendezvous"},
		{name: "own load", yields: yieldsByOwnLoad},
		{name: "two choices", order: twoChoices},
		{name: "ask", asks: true},
		{name: "claims", yields: yieldsByClaims},
		{name: "claims, ask", yields: yieldsByClaims, asks: true},
	}
}

// yieldsByOwnLoad compares with the load that the whole service should have,
// which a real agent would have to be told.
func yieldsByOwnLoad(r *run, at *host, _ netip.AddrPort) bool {
	report := at.tracker.Report(r.now)
	return max(report.Flows, report.Slots) > r.options.Load*ownLoadMargin
}

func yieldsByClaims(r *run, at *host, next netip.AddrPort) bool {
	return at.tracker.ShouldOffload(r.now, next, r.choices.Float64())
}

// twoChoices puts the less loaded of the best two candidates first, by the
// loads that hosts announced last.
func twoChoices(r *run, chosen *[routing.MaxCandidates]netip.AddrPort, count int) {
	if count < 2 {
		return
	}
	first, second := r.byAddr[chosen[0]], r.byAddr[chosen[1]]
	if second.announced < first.announced {
		chosen[0], chosen[1] = chosen[1], chosen[0]
	}
}
