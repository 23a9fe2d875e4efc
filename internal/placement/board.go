// Package placement decides which backend server gets a new flow, from what the
// agents have said of their load and from what this process itself has placed
// since. It also ranks the agents that keep track of a flow's owner.
package placement

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/route"
)

// Weights of the cost of a backend server, in flows a slot.
const (
	// activeWeight counts a request in progress as so many flows: it says more about
	// the near future than an idle flow.
	activeWeight = 3.0
	// warmingFactor is how much slower a backend server is after its start.
	warmingFactor = 1.6
	// remoteCost is what a backend server in another data centre must be less busy by.
	remoteCost = 8.0
	// remoteFactor scales the load of a backend server in another data centre.
	remoteFactor = 1.15
)

// Requests in progress for each slot.
const (
	// overloaded is from where on a service's flows go to another service of the route,
	// and spare how busy that one may be.
	overloaded = 2.0
	spare      = 1.0
)

// Times of what is remembered of agents.
const (
	// doubtTime is how long an agent that left an opening packet unanswered gets no
	// further one.
	doubtTime = 600 * time.Millisecond
	// fullTime is how long a backend server that refused a flow gets no further one.
	fullTime = 150 * time.Millisecond
)

// load is what this process knows of one agent.
type load struct {
	flows, active float64
	// placed counts flows placed here since the agent's last word.
	placed float64
	// doubted is until when the agent is avoided.
	doubted time.Time
}

// Directory is the agents as one process sees them. It is not safe for concurrent use.
type Directory struct {
	self       netip.AddrPort
	dataCentre string
	rand       *rand.Rand
	loads      map[netip.AddrPort]*load
	services   map[string][]fleet.Member
	members    map[netip.AddrPort]fleet.Member
	ring       ring
	// askable and answering count agents: those whose backend servers may have flows, and
	// those that are believed to answer.
	askable, answering int
	// doubtful holds the agents that have gone silent, with the time from which on they are
	// taken for dead; zero for suspects. They may be back, and their backend servers may
	// hold flows meanwhile.
	doubtful map[netip.AddrPort]time.Time
	// old counts the askable agents whose backend servers started long before this process.
	old int
	// lastNew is when an agent was first seen.
	lastNew time.Time
	started time.Time
}

// NewDirectory returns the board of the process at self.
func NewDirectory(now time.Time, self netip.AddrPort, dataCentre string, random *rand.Rand) *Directory {
	return &Directory{
		started:    now,
		self:       self,
		dataCentre: dataCentre,
		rand:       random,
		doubtful:   map[netip.AddrPort]time.Time{},
		loads:      map[netip.AddrPort]*load{},
		services:   map[string][]fleet.Member{},
		members:    map[netip.AddrPort]fleet.Member{},
	}
}

// RecordLoad takes over an agent's own word about its load.
func (b *Directory) RecordLoad(agent netip.AddrPort, flows, active uint16) {
	l := b.load(agent)
	l.flows, l.active, l.placed = float64(flows), float64(active), 0
}

// MarkUnresponsive notes that an agent left an opening packet unanswered.
func (b *Directory) MarkUnresponsive(now time.Time, agent netip.AddrPort) {
	b.load(agent).doubted = now.Add(doubtTime)
}

// MarkFull notes that an agent's backend server refused a flow.
func (b *Directory) MarkFull(now time.Time, agent netip.AddrPort) {
	b.load(agent).doubted = now.Add(fullTime)
}

// MarkResponsive ends the doubt about an agent that has answered.
func (b *Directory) MarkResponsive(agent netip.AddrPort) {
	if l := b.loads[agent]; l != nil {
		l.doubted = time.Time{}
	}
}

func (b *Directory) load(agent netip.AddrPort) *load {
	l := b.loads[agent]
	if l == nil {
		l = &load{}
		b.loads[agent] = l
	}
	return l
}

// Choose returns the agent for a new flow to a service, or false if no agent
// outside of skip is willing. Agents in doubt are chosen only if there is no other.
func (b *Directory) Choose(now time.Time, service string, skip func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	best, found := b.best(now, service, skip)
	if found {
		b.load(best).placed++
	}
	return best, found
}

// ChooseAmong returns the agent for a new flow to a route that has picked service.
// When that service is overloaded, another service of the route helps out.
func (b *Directory) ChooseAmong(now time.Time, r *route.Route, service string, skip func(netip.AddrPort) bool) (agent netip.AddrPort, chosen string, found bool) {
	agent, found = b.best(now, service, skip)
	chosen = service
	if !found || b.RequestsPerSlot(agent) >= overloaded {
		for _, share := range r.Shares {
			if share.Weight == 0 || share.Service == service {
				continue
			}
			other, ok := b.best(now, share.Service, skip)
			if ok && (!found || b.RequestsPerSlot(other) <= spare) {
				agent, chosen, found = other, share.Service, true
				break
			}
		}
	}
	if found {
		b.load(agent).placed++
	}
	return agent, chosen, found
}

// RequestsPerSlot returns the requests in progress at a backend server for each of its slots,
// counting flows that were placed here since its agent's last word.
func (b *Directory) RequestsPerSlot(agent netip.AddrPort) float64 {
	l := b.load(agent)
	return (l.active + l.placed) / max(1, float64(b.members[agent].Backend.Slots))
}

func (b *Directory) best(now time.Time, service string, skip func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	best, found := netip.AddrPort{}, false
	bestCost, bestDoubted := 0.0, false
	for i := range b.services[service] {
		m := &b.services[service][i]
		if !m.AcceptsFlows() || skip(m.Addr) {
			continue
		}
		doubted := now.Before(b.load(m.Addr).doubted)
		cost := b.cost(m)
		better := cost < bestCost
		if doubted != bestDoubted {
			better = !doubted
		}
		if !found || better {
			best, bestCost, bestDoubted, found = m.Addr, cost, doubted, true
		}
	}
	return best, found
}

// cost is how busy a backend server is for a flow that comes from here, in flows a
// slot. A small random part keeps processes with the same view from choosing alike.
func (b *Directory) cost(m *fleet.Member) float64 {
	l := b.load(m.Addr)
	slots := max(1, float64(m.Backend.Slots))
	cost := (l.flows + l.placed + activeWeight*l.active) / slots
	if m.Backend.Warming {
		cost = (cost + 1) * warmingFactor
	}
	if m.DataCentre != b.dataCentre {
		cost = cost*remoteFactor + remoteCost
	}
	return cost + b.rand.Float64()/slots
}
