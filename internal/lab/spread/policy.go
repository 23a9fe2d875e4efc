package spread

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/routing"
)

// policy is a way to place new flows and requests on hosts.
type policy struct {
	name string
	// offloads reports whether a host forwards to next a flow that it could accept itself.
	offloads func(r *run, at *host, next netip.AddrPort) bool
	// reorder may change the order in which the balancer ranked the candidates.
	reorder func(r *run, candidates *[routing.MaxCandidates]netip.AddrPort, count int)
	// queriesSlots makes a request that would wait first query a peer for a free slot.
	queriesSlots bool
}

// ownLoadMargin is the factor over the offered load above which an agent that uses only its
// own load offloads flows.
const ownLoadMargin = 1.05

func policies() []policy {
	return []policy{
		{name: "rendezvous"},
		{name: "own load", offloads: offloadsByOwnLoad},
		{name: "two choices", reorder: twoChoices},
		{name: "ask", queriesSlots: true},
		{name: "claims", offloads: offloadsByClaims},
		{name: "claims, ask", offloads: offloadsByClaims, queriesSlots: true},
	}
}

// offloadsByOwnLoad compares the host's load with the offered load of the whole service. A
// real agent would need additional messages to learn the latter.
func offloadsByOwnLoad(r *run, at *host, _ netip.AddrPort) bool {
	report := at.tracker.Report(r.now)
	return max(report.Flows, report.Slots) > r.options.Load*ownLoadMargin
}

func offloadsByClaims(r *run, at *host, next netip.AddrPort) bool {
	return at.tracker.ShouldOffload(r.now, next, r.systemRand.Float64())
}

// twoChoices puts the less loaded of the two best candidates first, by the load that each
// host announced last.
func twoChoices(r *run, candidates *[routing.MaxCandidates]netip.AddrPort, count int) {
	if count < 2 {
		return
	}
	first, second := r.byAddr[candidates[0]], r.byAddr[candidates[1]]
	if second.announcedLoad < first.announcedLoad {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
}
