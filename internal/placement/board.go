// Package placement decides which backend server gets a new flow, from what the
// agents have said of their load and from what this process itself has placed
// since. It also ranks the agents that keep track of a flow's owner.
package placement

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
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

// Board is the agents as one process sees them. It is not safe for concurrent use.
type Board struct {
	self       netip.AddrPort
	dataCentre string
	rand       *rand.Rand
	loads      map[netip.AddrPort]*load
	services   map[string][]fleet.Member
	members    map[netip.AddrPort]fleet.Member
	ring       []point
	agents     []netip.AddrPort
	// doubt is set while some agent has gone without a word: it may be back, and its
	// backend server may hold flows meanwhile.
	doubt bool
	// lastNew is when an agent was first seen.
	lastNew time.Time
	started time.Time
}

// settleTime is how long no new agent must have appeared until the agents are
// taken as known, and startTime how long a process must run for that.
const (
	settleTime = 300 * time.Millisecond
	startTime  = 500 * time.Millisecond
)

// point is a place of an agent on the ring of homes.
type point struct {
	hash  uint64
	agent netip.AddrPort
}

// HomesPerFlow is the number of agents that keep track of one flow's owner.
const HomesPerFlow = 2

// pointsPerAgent evens out the parts of the ring.
const pointsPerAgent = 8

// NewBoard returns the board of the process at self.
func NewBoard(now time.Time, self netip.AddrPort, dataCentre string, random *rand.Rand) *Board {
	return &Board{
		started:    now,
		self:       self,
		dataCentre: dataCentre,
		rand:       random,
		loads:      map[netip.AddrPort]*load{},
		services:   map[string][]fleet.Member{},
		members:    map[netip.AddrPort]fleet.Member{},
	}
}

// SetMembers takes over a new view of the members.
func (b *Board) SetMembers(now time.Time, members []fleet.Member) {
	known := len(b.agents)
	b.agents = b.agents[:0]
	b.doubt = false
	clear(b.services)
	clear(b.members)
	b.ring = b.ring[:0]
	for _, m := range members {
		b.members[m.Addr] = m
		if m.Role != fleet.Agent {
			continue
		}
		if m.Liveness >= fleet.Suspect && m.Backend.State != fleet.BackendGone {
			b.doubt = true
		}
		if m.Liveness == fleet.Dead {
			continue
		}
		if m.Backend.State != fleet.BackendGone {
			b.agents = append(b.agents, m.Addr)
		}
		b.services[m.Backend.Service] = append(b.services[m.Backend.Service], m)
		for i := range pointsPerAgent {
			if m.Liveness == fleet.Leaving {
				break // its successors are told of its flows while it still answers
			}
			b.ring = append(b.ring, point{hash: pointHash(m.Addr, i), agent: m.Addr})
		}
	}
	slices.SortFunc(b.ring, func(a, o point) int {
		return cmp.Or(cmp.Compare(a.hash, o.hash), a.agent.Compare(o.agent))
	})
	if len(b.agents) > known {
		b.lastNew = now
	}
	for a := range b.loads {
		if _, ok := b.members[a]; !ok {
			delete(b.loads, a)
		}
	}
}

func pointHash(a netip.AddrPort, i int) uint64 {
	ip := a.Addr().As4()
	return xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port()), byte(i)})
}

// IsSettled reports whether the agents that are known are certainly all that may
// have flows: none has gone without a word, and no new one has appeared for a while.
func (b *Board) IsSettled(now time.Time) bool {
	return !b.doubt && now.Sub(b.started) >= startTime && now.Sub(b.lastNew) >= settleTime
}

// AnyWilling reports whether any agent takes new flows.
func (b *Board) AnyWilling() bool {
	for _, m := range b.members {
		if m.Willing() {
			return true
		}
	}
	return false
}

// AllAgents returns the agents whose backend servers may have flows. The slice must
// not be changed.
func (b *Board) AllAgents() []netip.AddrPort { return b.agents }

// Member returns what is known of the process at a.
func (b *Board) Member(a netip.AddrPort) (fleet.Member, bool) {
	m, ok := b.members[a]
	return m, ok
}

// Agents returns the agents of a service that are not dead.
func (b *Board) Agents(service string) []fleet.Member { return b.services[service] }

// AnsweringHome returns the first home of a flow that is believed to answer, or the
// first one if none is, and false if there are no agents.
func (b *Board) AnsweringHome(key flow.Key) (netip.AddrPort, bool) {
	homes := b.Homes(key, HomesPerFlow)
	for _, home := range homes {
		if b.members[home].Liveness == fleet.Alive {
			return home, true
		}
	}
	if len(homes) == 0 {
		return netip.AddrPort{}, false
	}
	return homes[0], true
}

// Homes returns up to count different agents that keep track of who owns a flow,
// the first of them most likely. They depend on nothing but the set of agents.
func (b *Board) Homes(key flow.Key, count int) []netip.AddrPort {
	if len(b.ring) == 0 {
		return nil
	}
	homes := make([]netip.AddrPort, 0, count)
	hash := key.Hash()
	start, _ := slices.BinarySearchFunc(b.ring, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range b.ring {
		agent := b.ring[(start+i)%len(b.ring)].agent
		if slices.Contains(homes, agent) {
			continue
		}
		homes = append(homes, agent)
		if len(homes) == count {
			break
		}
	}
	return homes
}

// Report takes over an agent's own word about its load.
func (b *Board) Report(agent netip.AddrPort, flows, active uint16) {
	l := b.load(agent)
	l.flows, l.active, l.placed = float64(flows), float64(active), 0
}

// Doubt notes that an agent left an opening packet unanswered.
func (b *Board) Doubt(now time.Time, agent netip.AddrPort) {
	b.load(agent).doubted = now.Add(doubtTime)
}

// Full notes that an agent's backend server refused a flow.
func (b *Board) Full(now time.Time, agent netip.AddrPort) {
	b.load(agent).doubted = now.Add(fullTime)
}

// Trust ends the doubt about an agent that has answered.
func (b *Board) Trust(agent netip.AddrPort) {
	if l := b.loads[agent]; l != nil {
		l.doubted = time.Time{}
	}
}

func (b *Board) load(agent netip.AddrPort) *load {
	l := b.loads[agent]
	if l == nil {
		l = &load{}
		b.loads[agent] = l
	}
	return l
}

// Choose returns the agent for a new flow to a service, or false if no agent
// outside of skip is willing. Agents in doubt are chosen only if there is no other.
func (b *Board) Choose(now time.Time, service string, skip func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	best, found := b.best(now, service, skip)
	if found {
		b.load(best).placed++
	}
	return best, found
}

// ChooseAmong returns the agent for a new flow to a route that has picked service.
// When that service is overloaded, another service of the route helps out.
func (b *Board) ChooseAmong(now time.Time, r *route.Route, service string, skip func(netip.AddrPort) bool) (agent netip.AddrPort, chosen string, found bool) {
	agent, found = b.best(now, service, skip)
	chosen = service
	if !found || b.Busy(agent) >= overloaded {
		for _, share := range r.Shares {
			if share.Weight == 0 || share.Service == service {
				continue
			}
			other, ok := b.best(now, share.Service, skip)
			if ok && (!found || b.Busy(other) <= spare) {
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

// Busy returns the requests in progress at a backend server for each of its slots,
// counting flows that were placed here since its agent's last word.
func (b *Board) Busy(agent netip.AddrPort) float64 {
	l := b.load(agent)
	return (l.active + l.placed) / max(1, float64(b.members[agent].Backend.Slots))
}

func (b *Board) best(now time.Time, service string, skip func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	best, found := netip.AddrPort{}, false
	bestCost, bestDoubted := 0.0, false
	for i := range b.services[service] {
		m := &b.services[service][i]
		if !m.Willing() || skip(m.Addr) {
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
func (b *Board) cost(m *fleet.Member) float64 {
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
