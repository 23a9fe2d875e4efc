// Package routing decides which agent a caller's packet goes to. It holds no
// flow state: established flows are routed by their connection ID, opening
// packets by weighted rendezvous hashing.
package routing

import (
	"net/netip"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/rendezvous"
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

// Table holds the services and their agents. The set of services is fixed; the
// agents of one service are replaced as a whole while packets are routed.
type Table struct {
	byAddr map[netip.AddrPort]*slot
	byID   map[service.ID]*slot
}

// slot holds the state of one service; a Service is never changed.
type slot struct{ atomic.Pointer[Service] }

func newSlot(s *Service) *slot {
	created := &slot{}
	created.Store(s)
	return created
}

func (s *slot) service() *Service {
	if s == nil {
		return nil
	}
	return s.Load()
}

// NewTable returns a table of services.
func NewTable(services []Service) *Table {
	table := &Table{
		byAddr: make(map[netip.AddrPort]*slot, len(services)),
		byID:   make(map[service.ID]*slot, len(services)),
	}
	for i := range services {
		created := newSlot(&services[i])
		table.byAddr[services[i].Addr] = created
		table.byID[services[i].ID] = created
	}
	return table
}

// WithRemoved adds the services of the table before that are no longer there, as
// removed ones: their running flows end, none begin. A service that has taken
// the address of a removed one comes first. It must be called before t is shared.
func (t *Table) WithRemoved(previous *Table) *Table {
	for id, known := range previous.byID {
		addr := known.Load().Addr
		if t.byID[id] != nil || t.byAddr[addr] != nil {
			continue
		}
		removed := newSlot(&Service{ID: id, Addr: addr, Removed: true})
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

// ByAddr returns the service at addr, or nil.
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

// Candidates stores the best agents for a flow in chosen, best first, and
// returns how many there are.
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
