package spread

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/routing"
)

// policy is a way to place new flows and requests on hosts.
type policy struct {
	name string
	// offloads reports whether the host at forwards a flow to next although it could accept
	// the flow.
	offloads func(r *run, at *host, next netip.AddrPort) bool
	// reorder may change the order in which the balancer ranked the candidates.
	reorder func(r *run, candidates *[routing.MaxCandidates]netip.AddrPort, count int)
	// queriesSlots makes an agent query a peer for a free slot before a request waits.
	queriesSlots bool
}

// ownLoadMargin is used by the policy that considers only an agent's own load: the agent
// offloads flows if its load exceeds the offered load times ownLoadMargin.
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
// real agent would need additional messages to learn the load of the service.
func offloadsByOwnLoad(r *run, at *host, _ netip.AddrPort) bool {
	report := at.tracker.Report(r.now)
	return max(report.Flows, report.Slots) > r.options.Load*ownLoadMargin
}

func offloadsByClaims(r *run, at *host, next netip.AddrPort) bool {
	return at.tracker.ShouldOffload(r.now, next, r.systemRand.Float64())
}

// twoChoices orders the two best candidates by their last announced load, the lower load
// first.
func twoChoices(r *run, candidates *[routing.MaxCandidates]netip.AddrPort, count int) {
	if count < 2 {
		return
	}
	first, second := r.byAddr[candidates[0]], r.byAddr[candidates[1]]
	if second.announcedLoad < first.announcedLoad {
		candidates[0], candidates[1] = candidates[1], candidates[0]
	}
}
