package balancer

import (
	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/service"
)

// buildTable returns the routing table of the configured services, and their limits of
// new flows. candidates returns the agents that may be offered new flows of a service.
// Removed services of the previous table stay in the new table, so that packets of
// their open flows are still forwarded.
func buildTable(config *catalog.Catalog, candidates func(service.ID) []presence.Candidate, previous *routing.Table) (*routing.Table, []FlowLimit) {
	entries := config.All()
	services := make([]routing.Service, 0, len(entries))
	var limits []FlowLimit
	for _, entry := range entries {
		services = append(services, routing.Service{
			ID:     entry.ID,
			Addr:   entry.Spec.Address,
			Agents: allowedAgents(&entry.Spec, candidates(entry.ID)),
		})
		if entry.Spec.Limits.FlowsPerSecond > 0 {
			limits = append(limits, FlowLimit{Service: entry.ID, FlowsPerSecond: entry.Spec.Limits.FlowsPerSecond})
		}
	}
	table := routing.NewTable(services)
	return table.WithRemoved(previous), limits
}

// allowedAgents returns the candidates that the service admits and does not drain.
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
