// Package routing decides which agent a caller's packet goes to. It keeps no
// per-flow state: established flows are routed by their connection ID, opening
// packets by weighted rendezvous hashing.
package routing

import (
	"net/netip"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/rendezvous"
	"github.com/almondledge/almondledge/internal/service"
)

// MaxCandidates is the maximum number of agents that are tried for an opening packet.
const MaxCandidates = 3

// Agent is a backend server's agent that may be offered new flows.
type Agent struct {
	Addr netip.AddrPort
	// Weight is the agent's share relative to the other agents of its service.
	Weight float64
}

// Service holds what a balancer needs to route packets of a service.
type Service struct {
	ID   service.ID
	Addr netip.AddrPort
	// Removed reports that a change ticket removed the service: its open flows are
	// still forwarded until they end, but it accepts no new ones.
	Removed bool
	// Agents are the agents that may be offered new flows. Agents that only serve
	// established flows are not listed.
	Agents []Agent
}

// Table holds the services and their agents. The set of services is fixed. SetAgents
// replaces all agents of a service while packets are routed concurrently.
type Table struct {
	byAddr map[netip.AddrPort]*tableEntry
	byID   map[service.ID]*tableEntry
}

// tableEntry holds the current state of one service. A stored Service is immutable.
type tableEntry struct{ atomic.Pointer[Service] }

func newTableEntry(s *Service) *tableEntry {
	created := &tableEntry{}
	created.Store(s)
	return created
}

func (e *tableEntry) service() *Service {
	if e == nil {
		return nil
	}
	return e.Load()
}

// NewTable returns a table of services.
func NewTable(services []Service) *Table {
	table := &Table{
		byAddr: make(map[netip.AddrPort]*tableEntry, len(services)),
		byID:   make(map[service.ID]*tableEntry, len(services)),
	}
	for i := range services {
		created := newTableEntry(&services[i])
		table.byAddr[services[i].Addr] = created
		table.byID[services[i].ID] = created
	}
	return table
}

// WithRemoved adds the services of the previous table that are missing in t, marked
// as removed, so that packets of their open flows are still forwarded. A removed
// service whose address t gives to another service is left out. WithRemoved must be
// called before t is shared.
func (t *Table) WithRemoved(previous *Table) *Table {
	for id, known := range previous.byID {
		addr := known.Load().Addr
		if t.byID[id] != nil || t.byAddr[addr] != nil {
			continue
		}
		removed := newTableEntry(&Service{ID: id, Addr: addr, Removed: true})
		t.byID[id] = removed
		t.byAddr[addr] = removed
	}
	return t
}

// SetAgents replaces the agents of a service. One goroutine at a time may call it.
func (t *Table) SetAgents(id service.ID, agents []Agent) {
	known := t.byID[id]
	if known == nil || known.Load().Removed {
		return
	}
	next := *known.Load()
	next.Agents = agents
	known.Store(&next)
}

// ByAddr returns the service with the address addr, or nil.
func (t *Table) ByAddr(addr netip.AddrPort) *Service {
	return t.byAddr[addr].service()
}

// ByID returns the service with the given ID, or nil.
func (t *Table) ByID(id service.ID) *Service {
	return t.byID[id].service()
}

// Len returns the number of services.
func (t *Table) Len() int {
	return len(t.byAddr)
}

// Candidates stores the agents with the highest rendezvous scores for a flow in
// chosen, best first, and returns their number.
func (s *Service) Candidates(flow rendezvous.Hash, chosen *[MaxCandidates]netip.AddrPort) int {
	var scores [MaxCandidates]float64
	count := 0
	for _, agent := range s.Agents {
		score := rendezvous.WeightedScore(flow, rendezvous.HashAddr(agent.Addr), agent.Weight)
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
