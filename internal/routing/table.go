// Package routing decides which agent a caller's packet goes to. It holds no
// flow state: established flows are routed by their connection ID, opening
// packets by weighted rendezvous hashing.
package routing

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/service"
)

// MaxCandidates is the number of agents that an opening packet is offered to.
const MaxCandidates = 3

// Agent is a backend server's agent that may be offered new flows.
type Agent struct {
	Addr netip.AddrPort
	// Weight is the agent's share relative to the other agents of its service.
	Weight float64
}

// Service is a service as a balancer routes it.
type Service struct {
	ID   service.ID
	Addr netip.AddrPort
	// Removed reports that a ticket removed the service: running flows end, none begin.
	Removed bool
	// Agents may be offered new flows; those that only hold established flows are absent.
	Agents []Agent
}

// Table is an immutable view of the services and their agents.
type Table struct {
	byAddr map[netip.AddrPort]*Service
	byID   map[service.ID]*Service
}

// NewTable returns a table of services.
func NewTable(services []Service) *Table {
	table := &Table{
		byAddr: make(map[netip.AddrPort]*Service, len(services)),
		byID:   make(map[service.ID]*Service, len(services)),
	}
	for i := range services {
		table.byAddr[services[i].Addr] = &services[i]
		table.byID[services[i].ID] = &services[i]
	}
	return table
}

// WithRemoved adds the services of the table before that are no longer there, as
// removed ones: their running flows end, none begin. A service that has taken
// the address of a removed one comes first. It must be called before t is shared.
func (t *Table) WithRemoved(previous *Table) *Table {
	for id, known := range previous.byID {
		if t.byID[id] != nil || t.byAddr[known.Addr] != nil {
			continue
		}
		removed := &Service{ID: id, Addr: known.Addr, Removed: true}
		t.byID[id] = removed
		t.byAddr[known.Addr] = removed
	}
	return t
}

// ByAddr returns the service at addr, or nil.
func (t *Table) ByAddr(addr netip.AddrPort) *Service {
	return t.byAddr[addr]
}

// ByID returns the service with the given ID, or nil.
func (t *Table) ByID(id service.ID) *Service {
	return t.byID[id]
}

// Len returns the number of services.
func (t *Table) Len() int {
	return len(t.byAddr)
}

// Candidates stores the best agents for a flow in chosen, best first, and
// returns how many there are.
func (s *Service) Candidates(flow uint64, chosen *[MaxCandidates]netip.AddrPort) int {
	var scores [MaxCandidates]float64
	count := 0
	for _, agent := range s.Agents {
		score := Score(flow, agent.Addr, agent.Weight)
		at := count
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at >= MaxCandidates {
			continue
		}
		count = min(count+1, MaxCandidates)
		copy(scores[at+1:count], scores[at:count-1])
		copy(chosen[at+1:count], chosen[at:count-1])
		scores[at] = score
		chosen[at] = agent.Addr
	}
	return count
}
