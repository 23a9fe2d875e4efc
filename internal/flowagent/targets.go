package flowagent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
)

// listTargets lists the agents that may have the flow of a search, as known now, and discards
// earlier answers.
func (a *Agent) listTargets(now time.Time, s *search) {
	agents, complete := a.searchTargets(now, s)
	s.remaining = slices.DeleteFunc(agents, func(agent flow.Endpoint) bool { return agent == a.self })
	s.targetsListed, s.complete = now, complete
	s.pending, s.inconclusive = s.pending[:0], nil
}

// splitByDistance returns the agents in the data centre of a balancer, and the agents in other data centres
// (others), both in the given order. If the balancer is unknown, it returns all agents as others.
func (a *Agent) splitByDistance(agents []flow.Endpoint, balancer flow.Endpoint) (nearby, others []flow.Endpoint) {
	m, known := a.cfg.Directory.Member(balancer.AddrPort())
	for _, agent := range agents {
		other, _ := a.cfg.Directory.Member(agent.AddrPort())
		if known && other.DataCentre == m.DataCentre {
			nearby = append(nearby, agent)
		} else {
			others = append(others, agent)
		}
	}
	return nearby, others
}

// searchTargets returns the agents that may have the flow of a search, in the order of querying them, and whether the
// list is complete. If there are more than maxQueried, agents that have restarted come first, because the flows that
// nobody has claimed are theirs, and among them those that have forwarded the packet: a balancer or a home agent took
// them for the owner. If there are more than maxSearched, the list ends with agents of the route's current services.
// It is incomplete then, because flows stay where they are when their route changes.
func (a *Agent) searchTargets(now time.Time, s *search) (agents []flow.Endpoint, complete bool) {
	count := a.cfg.Directory.SearchTargetCount()
	if count <= maxQueried {
		return appendNew(nil, a.cfg.Directory.SearchTargets()), true
	}
	agents = appendNew(nil, a.cfg.Directory.RestartedAgents(now, a.cfg.FlowLifetime))
	visited := s.forward.Visited
	slices.SortStableFunc(agents, func(one, other flow.Endpoint) int {
		return slices.Index(visited, other) - slices.Index(visited, one) // -1 for agents that have not forwarded it
	})
	if count <= maxSearched {
		return appendNew(agents, a.cfg.Directory.SearchTargets()), true
	}
	return a.appendAgentsOfRoute(agents, s.serviceAddr), false
}

// appendAgentsOfRoute appends agents of a route's current services to a list of agents, up to maxSearched.
func (a *Agent) appendAgentsOfRoute(agents []flow.Endpoint, serviceAddr flow.Endpoint) []flow.Endpoint {
	var addrs []netip.AddrPort
	if r := a.routes.Lookup(serviceAddr); r != nil {
		for _, share := range r.Shares {
			for _, m := range a.cfg.Directory.Agents(share.Service) {
				addrs = append(addrs, m.Addr)
			}
		}
	}
	agents = appendNew(agents, addrs)
	return agents[:min(len(agents), maxSearched)]
}

// appendNew appends the addresses that are not in a list of agents yet.
func appendNew(agents []flow.Endpoint, addrs []netip.AddrPort) []flow.Endpoint {
	listed := make(map[flow.Endpoint]bool, len(agents))
	for _, agent := range agents {
		listed[agent] = true
	}
	for _, addr := range addrs {
		if agent := flow.EndpointOf(addr); !listed[agent] {
			agents = append(agents, agent)
		}
	}
	return agents
}
