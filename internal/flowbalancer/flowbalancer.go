// Package flowbalancer decides, at a balancer, where callers' packets go. What it
// remembers of flows only saves hops: a balancer that has forgotten everything
// sends packets to the agents that keep track of the flows' owners.
package flowbalancer

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
)

// Outcome is what became of a caller's packet.
type Outcome uint8

// Outcomes.
const (
	// Malformed packets are dropped.
	Malformed Outcome = iota
	// Followed packets went to the agent that has the flow.
	Followed
	// Placed packets opened a flow at an agent chosen here.
	Placed
	// Rerouted packets were copies of an opening packet that an agent left unanswered.
	Rerouted
	// SentToHome packets went to an agent that keeps track of the flow's owner.
	SentToHome
	// NoRoute packets were refused: nothing is reached by their address.
	NoRoute
	// NoBackend packets were refused: no backend server takes new flows.
	NoBackend
	// NotReady packets were dropped: this process has just started.
	NotReady
)

// Outcomes lists the names of all outcomes, for metrics.
var Outcomes = [...]string{"malformed", "followed", "placed", "replaced", "asked_home", "no_route", "no_backend", "not_ready"}

// String returns the outcome as logs show it.
func (o Outcome) String() string { return Outcomes[o] }

// Decision is what to do with a packet: send Forward to To, or Reset to the caller.
type Decision struct {
	Outcome Outcome
	Key     flow.Key
	// To gets Forward, unless it is the zero address.
	To      netip.AddrPort
	Forward []byte
	// Reset goes to the caller, unless it is nil.
	Reset []byte
	// Unresponsive is an agent that left an opening packet unanswered, or the zero address.
	Unresponsive netip.AddrPort
	// Service is the service of an opening packet.
	Service string
}

// owner is the agent that has a flow, as far as this balancer knows.
type owner struct {
	agent netip.AddrPort
	// confirmed is set once the agent itself has said so.
	confirmed bool
	placed    time.Time
}

// placementTime is how long an unconfirmed placement is trusted.
const placementTime = 150 * time.Millisecond

// Balancer routes packets. It is not safe for concurrent use.
type Balancer struct {
	self   flow.Endpoint
	codec  flow.Codec
	board  *placement.Directory
	routes *route.Table
	owners *simplelru.LRU[flow.Key, owner]
	// settled is set once the members are known well enough to refuse flows.
	settled bool
}

// New returns a balancer that other members reach at self, and that remembers the
// owners of at most size flows.
func New(self netip.AddrPort, codec flow.Codec, board *placement.Directory, size int) *Balancer {
	owners, err := simplelru.NewLRU[flow.Key, owner](size, nil)
	if err != nil {
		panic(err) // only a size below one is refused, which is a fault of the program
	}
	return &Balancer{self: flow.EndpointOf(self), codec: codec, board: board, owners: owners}
}

// SetRoutes puts a desired state in force.
func (b *Balancer) SetRoutes(t *route.Table) { b.routes = t }

// SetConverged says whether the members are known well enough to refuse flows.
func (b *Balancer) SetConverged(settled bool) { b.settled = settled }

// Flows returns the number of flows whose owner is remembered.
func (b *Balancer) Flows() int { return b.owners.Len() }

// HandlePacket decides about a datagram of a caller. The forwarded datagram is
// appended to buf.
func (b *Balancer) HandlePacket(now time.Time, raw, buf []byte) Decision {
	p, err := b.codec.Parse(raw)
	if err != nil || p.Flags.Has(flow.Returned) {
		return Decision{Outcome: Malformed}
	}
	if p.Opens() {
		return b.open(now, &p, buf)
	}
	return b.follow(&p, buf)
}

// open places a new flow, or sends a copy of its opening packet after the first one.
func (b *Balancer) open(now time.Time, p *flow.Packet, buf []byte) Decision {
	key := p.CallerKey()
	d := Decision{Key: key}
	known, ok := b.owners.Get(key)
	isCopy := ok && p.Ack > 0
	if isCopy && known.confirmed {
		d.Outcome = Followed
		return b.forward(d, known.agent, hop.Forward{Version: b.routes.Version(), Service: b.serviceOf(known.agent)}, p, buf)
	}
	r := b.routes.Lookup(p.Dst)
	if r == nil {
		return b.refuse(d, NoRoute, b.routes.Version() > 0)
	}
	d.Outcome = Placed
	d.Service = r.Pick(key.Hash())
	var avoid netip.AddrPort
	if isCopy && now.Sub(known.placed) >= placementTime {
		avoid = known.agent
		d.Unresponsive, d.Outcome = avoid, Rerouted
		b.board.MarkUnresponsive(now, avoid)
	}
	agent, service, found := b.board.ChooseAmong(now, r, d.Service, func(a netip.AddrPort) bool { return a == avoid })
	d.Service = service
	if !found {
		return b.refuse(d, NoBackend, b.settled)
	}
	b.owners.Add(key, owner{agent: agent, placed: now})
	f := hop.Forward{Version: b.routes.Version(), Service: placement.ServiceHash(d.Service)}
	return b.forward(d, agent, f, p, buf)
}

// serviceOf returns the hash of the service at an agent.
func (b *Balancer) serviceOf(agent netip.AddrPort) uint32 {
	m, _ := b.board.Member(agent)
	return placement.ServiceHash(m.Backend.Service)
}

// refuse answers an opening packet with a reset, if what is known here suffices
// for that. The flow was never open, so the caller knows that nothing has run.
func (b *Balancer) refuse(d Decision, why Outcome, certain bool) Decision {
	d.Outcome = NotReady
	if certain {
		d.Outcome = why
		// A flow that is open by another copy must not take this reset for its own:
		// its acknowledged numbers are very likely far from zero.
		d.Reset = b.codec.Reset(d.Key, 0)
	}
	return d
}

// follow sends a packet of an established flow to the flow's agent, or to an agent
// that keeps track of it.
func (b *Balancer) follow(p *flow.Packet, buf []byte) Decision {
	key := p.CallerKey()
	d := Decision{Key: key}
	if known, ok := b.owners.Get(key); ok && b.runs(known.agent) {
		d.Outcome = Followed
		f := hop.Forward{OwnerKnown: known.confirmed}
		return b.forward(d, known.agent, f, p, buf)
	}
	d.Outcome = SentToHome
	home, ok := b.board.PreferredHomeAgent(key)
	if !ok {
		d.Outcome = NotReady
		return d
	}
	return b.forward(d, home, hop.Forward{}, p, buf)
}

// runs reports whether an agent is not known to have ended.
func (b *Balancer) runs(agent netip.AddrPort) bool {
	m, ok := b.board.Member(agent)
	return !ok || m.Liveness != fleet.Dead
}

func (b *Balancer) forward(d Decision, to netip.AddrPort, f hop.Forward, p *flow.Packet, buf []byte) Decision {
	f.Balancer = b.self
	f.Packet = p.Raw
	d.To = to
	d.Forward = f.AppendTo(buf)
	return d
}

// HandleNotice learns which agent has a flow.
func (b *Balancer) HandleNotice(now time.Time, from netip.AddrPort, n hop.Notice) {
	b.board.RecordLoad(from, n.Flows, n.Active)
	if n.Refused {
		b.board.MarkFull(now, from)
		if known, ok := b.owners.Peek(n.Key); ok && known.agent == from {
			b.owners.Remove(n.Key)
		}
		return
	}
	b.board.MarkResponsive(from)
	b.owners.Add(n.Key, owner{agent: from, confirmed: true, placed: now})
}
