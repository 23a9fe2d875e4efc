// Package flowbalancer decides where a balancer sends callers' packets. A balancer remembers the owners of
// flows only to save hops: packets of an established flow with an unknown owner are sent to a home agent,
// which forwards them to the owner.
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

// Outcome is what a balancer did with a caller's packet.
type Outcome uint8

// Outcomes.
const (
	// Malformed packets could not be parsed and were dropped.
	Malformed Outcome = iota
	// Followed packets were sent to the owner of their flow, the agent that has it.
	Followed
	// Placed packets are opening packets that were sent to an agent chosen by this balancer.
	Placed
	// Rerouted packets are copies of an opening packet that an agent left unanswered; they were sent to
	// another agent.
	Rerouted
	// SentToHome packets were sent to a home agent of their flow because this balancer does not know the
	// owner.
	SentToHome
	// NoRoute packets were refused because no route has their service address.
	NoRoute
	// NoBackend packets were refused because no backend server accepts new flows.
	NoBackend
	// NotReady packets were dropped because this process does not yet know enough to refuse or
	// forward them.
	NotReady
)

// Outcomes lists the printed names of all outcomes, in the order of the constants.
var Outcomes = [...]string{"malformed", "followed", "placed", "replaced", "asked_home", "no_route", "no_backend", "not_ready"}

// String returns the outcome as logs show it.
func (o Outcome) String() string { return Outcomes[o] }

// Decision says what to do with a packet: send Forward to To, or Reset to the caller.
type Decision struct {
	Outcome Outcome
	Key     flow.Key
	// To is the address to send Forward to, or the zero address.
	To      netip.AddrPort
	Forward []byte
	// Reset is the packet to send to the caller, or nil.
	Reset []byte
	// Unresponsive is an agent that left an opening packet unanswered, or the zero address.
	Unresponsive netip.AddrPort
	// Service is the service of the agent that an opening packet goes to. It is empty for other packets.
	Service string
	// OwnerAge is the time since the owner that a copy of an opening packet follows was recorded.
	OwnerAge time.Duration
}

// owner is the agent that has a flow, as far as this balancer knows. The record may outlive the flow, the route by
// which the flow was placed, and the agent.
type owner struct {
	agent netip.AddrPort
	// confirmed is set once the agent has sent a notice that it has the flow.
	confirmed bool
	// recordedAt is when this balancer placed the flow, or received the last notice about it.
	recordedAt time.Time
}

// noticeTimeout is how long an agent has to confirm a flow that the balancer has placed at it. After that, a
// copy of the opening packet goes to another agent.
const noticeTimeout = 150 * time.Millisecond

// Balancer chooses where packets go. It is not safe for concurrent use.
type Balancer struct {
	self      flow.Endpoint
	codec     flow.Codec
	directory *placement.Directory
	routes    *route.Table
	owners    *simplelru.LRU[flow.Key, owner]
	// converged is set once the view of the members is complete enough to refuse flows.
	converged bool
}

// New returns a balancer that other members reach at self, and that remembers the owners of at most
// size flows.
func New(self netip.AddrPort, codec flow.Codec, directory *placement.Directory, size int) *Balancer {
	owners, err := simplelru.NewLRU[flow.Key, owner](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below one, which would be a programming error
	}
	return &Balancer{self: flow.EndpointOf(self), codec: codec, directory: directory, owners: owners}
}

// SetRoutes sets the active desired state.
func (b *Balancer) SetRoutes(t *route.Table) { b.routes = t }

// SetConverged sets whether the view of the members is complete enough to refuse flows.
func (b *Balancer) SetConverged(converged bool) { b.converged = converged }

// Flows returns the number of flows whose owners are remembered.
func (b *Balancer) Flows() int { return b.owners.Len() }

// HandlePacket decides what to do with a datagram of a caller. It appends the encoded datagram for
// the agent to buf.
func (b *Balancer) HandlePacket(now time.Time, raw, buf []byte) Decision {
	p, err := b.codec.Parse(raw)
	if err != nil || p.Flags.Has(flow.Returned) {
		return Decision{Outcome: Malformed}
	}
	if p.Opens() {
		return b.handleOpening(now, &p, buf)
	}
	return b.forwardToOwner(&p, buf)
}

// handleOpening places a new flow by its route. A copy of an opening packet goes to the owner if the owner has
// confirmed the flow.
func (b *Balancer) handleOpening(now time.Time, p *flow.Packet, buf []byte) Decision {
	key := p.CallerKey()
	d := Decision{Key: key, Outcome: Placed}
	r := b.routes.Lookup(p.Dst)
	if r == nil {
		return b.refuse(d, NoRoute, b.routes.Version() > 0)
	}
	known, isCopy := b.ownerOfOpening(now, key, p)
	if isCopy && known.confirmed && b.mayTakeCopy(r, known.agent) {
		d.Outcome, d.OwnerAge = Followed, now.Sub(known.recordedAt)
		d.Service = b.serviceOf(known.agent)
		return b.forward(d, known.agent, b.openingForward(d.Service), p, buf)
	}
	var avoid netip.AddrPort
	if isCopy && !known.confirmed && now.Sub(known.recordedAt) >= noticeTimeout {
		avoid = known.agent
		d.Unresponsive, d.Outcome = avoid, Rerouted
		b.directory.MarkUnresponsive(now, avoid)
	}
	picked := r.Pick(key.Hash())
	agent, service, found := b.directory.ChooseAmong(now, r, picked, func(a netip.AddrPort) bool { return a == avoid })
	d.Service = service
	if !found {
		return b.refuse(d, NoBackend, b.converged)
	}
	b.directory.RecordPlacement(agent)
	b.owners.Add(key, owner{agent: agent, recordedAt: now})
	return b.forward(d, agent, b.openingForward(service), p, buf)
}

// ownerOfOpening returns the owner of the flow that a copy of an opening packet belongs to. It returns false for the
// first opening packet of a flow, and if the recorded owner is that of an earlier flow of the same key: callers use
// their ports again, and the first opening packet of the new flow may have been lost.
func (b *Balancer) ownerOfOpening(now time.Time, key flow.Key, p *flow.Packet) (owner, bool) {
	known, ok := b.owners.Get(key)
	return known, ok && p.Ack > 0 && now.Sub(known.recordedAt) < flow.OpeningTimeout
}

// mayTakeCopy reports whether a copy of an opening packet may go to the owner of its flow: the route may have moved
// since the owner was recorded, the owner may have ended, and its address may have gone to another service.
func (b *Balancer) mayTakeCopy(r *route.Route, agent netip.AddrPort) bool {
	m, ok := b.directory.Member(agent)
	return ok && m.Liveness != fleet.Dead && r.Allows(m.Backend.Service)
}

// openingForward returns the header of an opening packet for an agent of a service of its route.
func (b *Balancer) openingForward(service string) hop.Forward {
	return hop.Forward{Version: b.routes.Version(), Service: placement.ServiceHash(service)}
}

// serviceOf returns the service at an agent, or "" if the agent is unknown.
func (b *Balancer) serviceOf(agent netip.AddrPort) string {
	m, _ := b.directory.Member(agent)
	return m.Backend.Service
}

// refuse answers an opening packet with a reset, which tells the caller that no request has run. If
// this process does not know enough to refuse (certain is false), the packet is dropped.
func (b *Balancer) refuse(d Decision, outcome Outcome, certain bool) Decision {
	d.Outcome = NotReady
	if certain {
		d.Outcome = outcome
		// If another copy has opened the flow, the caller must ignore this reset. The caller does, because
		// the reset has number zero, which is very likely far from the numbers that the flow acknowledges.
		d.Reset = b.codec.Reset(d.Key, 0)
	}
	return d
}

// forwardToOwner sends a packet of an established flow to the flow's owner, or to a home agent if
// the owner is unknown or dead.
func (b *Balancer) forwardToOwner(p *flow.Packet, buf []byte) Decision {
	key := p.CallerKey()
	d := Decision{Key: key}
	if known, ok := b.owners.Get(key); ok && b.mayBeAlive(known.agent) {
		d.Outcome = Followed
		f := hop.Forward{OwnerKnown: known.confirmed}
		return b.forward(d, known.agent, f, p, buf)
	}
	d.Outcome = SentToHome
	home, ok := b.directory.PreferredHomeAgent(key)
	if !ok {
		d.Outcome = NotReady
		return d
	}
	return b.forward(d, home, hop.Forward{}, p, buf)
}

// mayBeAlive reports whether an agent is not considered dead. An agent that this balancer does not know may
// be alive.
func (b *Balancer) mayBeAlive(agent netip.AddrPort) bool {
	m, ok := b.directory.Member(agent)
	return !ok || m.Liveness != fleet.Dead
}

func (b *Balancer) forward(d Decision, to netip.AddrPort, f hop.Forward, p *flow.Packet, buf []byte) Decision {
	f.Balancer = b.self
	f.Packet = p.Raw
	d.To = to
	d.Forward = f.AppendTo(buf)
	return d
}

// HandleNotice records an agent's load, and that the agent has a flow or has refused it.
func (b *Balancer) HandleNotice(now time.Time, from netip.AddrPort, n hop.Notice) {
	b.directory.RecordLoad(from, n.Flows, n.Active)
	if n.Refused {
		if !n.Overloaded {
			b.directory.MarkFull(now, from)
		}
		if known, ok := b.owners.Peek(n.Key); ok && known.agent == from {
			b.owners.Remove(n.Key)
		}
		return
	}
	b.directory.MarkResponsive(from)
	b.owners.Add(n.Key, owner{agent: from, confirmed: true, recordedAt: now})
}
