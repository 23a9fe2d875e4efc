package balancer

import (
	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/service"
)

// buildTable returns the routing table of the services in force, and their
// bounds of new flows. Candidates returns the agents that may be offered new
// flows of a service. A removed service stays in the table of the balancer that
// knew it, so that its running flows end: previous is the table before.
func buildTable(config *catalog.Catalog, candidates func(service.ID) []presence.Candidate, previous *routing.Table) (*routing.Table, []FlowLimit) {
	entries := config.All()
	services := make([]routing.Service, 0, len(entries))
	var limits []FlowLimit
	for _, entry := range entries {
		if entry.Removed {
			services = appendRemoved(services, entry.ID, previous)
			continue
		}
		services = append(services, routing.Service{
			ID:     entry.ID,
			Addr:   entry.Spec.Address,
			Agents: allowedAgents(&entry.Spec, candidates(entry.ID)),
		})
		if entry.Spec.Limits.FlowsPerSecond > 0 {
			limits = append(limits, FlowLimit{Service: entry.ID, FlowsPerSecond: entry.Spec.Limits.FlowsPerSecond})
		}
	}
	return routing.NewTable(services), limits
}

func appendRemoved(services []routing.Service, id service.ID, previous *routing.Table) []routing.Service {
	known := previous.ByID(id)
	if known == nil {
		return services
	}
	return append(services, routing.Service{ID: id, Addr: known.Addr, Removed: true})
}

// allowedAgents returns the agents that the service admits and does not drain.
func allowedAgents(spec *service.Spec, candidates []presence.Candidate) []routing.Agent {
	agents := make([]routing.Agent, 0, len(candidates))
	for _, candidate := range candidates {
		if !spec.Admits(candidate.Addr, candidate.DataCentre) || spec.Drains(candidate.Addr) {
			continue
		}
		agents = append(agents, routing.Agent{Addr: candidate.Addr, Weight: candidate.Weight})
	}
	return agents
}
