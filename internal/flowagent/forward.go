package flowagent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
)

// HandleForward decides what to do with a caller's packet that a balancer or another agent
// forwarded to this agent.
func (a *Agent) HandleForward(now time.Time, f hop.Forward) Decision {
	p, err := a.cfg.Codec.Parse(f.Packet)
	if err != nil || p.Flags.Has(flow.Returned) {
		return Decision{Outcome: Malformed}
	}
	if p.Opens() {
		return a.handleOpening(now, f, &p)
	}
	key := p.CallerKey()
	e := a.flows.Get(key)
	if e == nil || !e.Matches(&p) {
		return a.handleUnknownFlow(now, f, &p)
	}
	a.flows.RecordCallerPacket(now, key, e, &p)
	d := Decision{Outcome: Delivered, Key: key, ToBackend: p.Raw}
	if !f.Search && !f.OwnerKnown {
		d.Sends = a.notify(f.Balancer, key, false)
	}
	return d
}

// handleOpening decides what to do with an opening packet.
func (a *Agent) handleOpening(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	key := p.CallerKey()
	if e := a.flows.Get(key); e != nil && e.IsOpenedBy(now, p) {
		if e.Phase == flowtable.Open {
			return Decision{Outcome: Duplicate, Key: key, Sends: a.notify(f.Balancer, key, false)}
		}
		if a.routeRefusal(f, p) == "" {
			return a.deliverOpening(now, f, p, e)
		}
	}
	if reason := a.refusalReason(f, p); reason != "" {
		a.queue.Remove(key)
		return a.forwardOpening(now, f, p, reason)
	}
	if d, avoided := a.avoidBackend(now, f, p); avoided {
		a.queue.Remove(key)
		return d
	}
	if a.queue.Holds(key) {
		return a.enqueue(now, f, p)
	}
	if !a.hasRoom() {
		return a.offloadOpening(now, f, p)
	}
	return a.deliverOpening(now, f, p, a.flows.Begin(now, key, f.Balancer))
}

func (a *Agent) deliverOpening(now time.Time, f hop.Forward, p *flow.Packet, e *flowtable.Entry) Decision {
	e.Balancer = f.Balancer
	a.flows.RecordCallerPacket(now, p.CallerKey(), e, p)
	a.rememberSent(f, p)
	opening := Opening{Copy: p.Ack, SenderVersion: f.Version}
	return Decision{Outcome: Opened, Key: p.CallerKey(), ToBackend: p.Raw, Opening: opening}
}

// refusalReason returns why the backend server must not receive a new flow, or "" if it may receive one.
func (a *Agent) refusalReason(f hop.Forward, p *flow.Packet) string {
	if a.backend.State != fleet.BackendReady {
		return "backend_" + a.backend.State.String()
	}
	if s := a.routes.Service(a.cfg.Service); s != nil && s.MaxFlows > 0 && a.flows.Open() >= int(s.MaxFlows) {
		return "backend_full"
	}
	return a.routeRefusal(f, p)
}

// routeRefusal returns why the route of an opening packet does not lead to the backend server, or "" if it does.
// The sender has chosen a service by its desired state. This agent's own state decides as well, unless the sender's
// is newer.
func (a *Agent) routeRefusal(f hop.Forward, p *flow.Packet) string {
	own := a.routes.Version()
	if f.Version >= own && f.Service != placement.ServiceHash(a.cfg.Service) {
		return "other_service"
	}
	r := a.routes.Lookup(p.Dst)
	switch {
	case f.Version > own, r != nil && r.Allows(a.cfg.Service):
		return ""
	case f.Version == own:
		return "other_service"
	default:
		return "older_state"
	}
}

// forwardOpening forwards an opening packet to another agent. If no other agent can be chosen, it answers
// with a reset at once, which tells the caller that no request has run.
func (a *Agent) forwardOpening(now time.Time, f hop.Forward, p *flow.Packet, reason string) Decision {
	d := Decision{Outcome: Refused, Key: p.CallerKey(), Reason: reason}
	d.Sends = a.notify(f.Balancer, d.Key, true)
	f.Visited = append(slices.Clip(f.Visited), a.self)
	service := a.chooseService(&f, p)
	skip := func(candidate netip.AddrPort) bool {
		return slices.Contains(f.Visited, flow.EndpointOf(candidate))
	}
	to, found := a.cfg.Directory.Choose(now, service, skip)
	if !found || len(f.Visited) >= hop.MaxVisited {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, 0)}}
		return d
	}
	a.cfg.Directory.RecordPlacement(to)
	d.Outcome = Forwarded
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d
}

// chooseService returns the service for an opening packet by the newer of this agent's desired state and that
// of the packet's last sender, and records the choice in f.
func (a *Agent) chooseService(f *hop.Forward, p *flow.Packet) string {
	if f.Version > a.routes.Version() {
		return a.cfg.Directory.ServiceByHash(f.Service)
	}
	r := a.routes.Lookup(p.Dst)
	if r == nil {
		return ""
	}
	service := r.Pick(p.CallerKey().Hash())
	f.Version = a.routes.Version()
	f.Service = placement.ServiceHash(service)
	return service
}

// handleUnknownFlow decides what to do with a packet of a flow that this agent does not know.
func (a *Agent) handleUnknownFlow(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	key := p.CallerKey()
	d := Decision{Key: key}
	if f.Search && a.mayHoldUnseen(now, key) {
		return a.probeBackend(f, p, d)
	}
	return a.forwardToOwner(now, f, p, d)
}

// probeBackend sends a packet to the backend server, which returns it if it does not hold the flow.
func (a *Agent) probeBackend(f hop.Forward, p *flow.Packet, d Decision) Decision {
	d.Outcome = Probed
	a.rememberSent(f, p)
	d.ToBackend = p.Raw
	return d
}

// resetFlow answers a packet with a reset because its flow is certainly lost.
func (a *Agent) resetFlow(d Decision, p *flow.Packet, reason string) Decision {
	d.Outcome = FlowReset
	d.Reason = reason
	if !p.Flags.Has(flow.RST) {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, p.Ack)}}
	}
	return d
}

// forwardToOwner forwards a packet to the agent that has claimed its flow, or else to a home agent.
// A packet that was sent by a search is dropped, and the home agent gets the answer NotHeld.
func (a *Agent) forwardToOwner(now time.Time, f hop.Forward, p *flow.Packet, d Decision) Decision {
	if f.Search {
		answer := hop.Answer{Key: d.Key, Finding: hop.NotHeld}
		d.Outcome, d.Reason = Unresolved, "not_held"
		d.Sends = append(d.Sends, hop.Send{To: f.Balancer.AddrPort(), Payload: answer.AppendTo(nil)})
		return d
	}
	if owner, ok := a.claims.Get(d.Key); ok {
		if slices.Contains(f.Visited, owner) || a.isDead(owner) {
			a.claims.Remove(d.Key)
			return a.locate(now, f, p, d)
		}
		f.Visited = append(slices.Clip(f.Visited), a.self)
		return a.forwardTo(f, d, owner.AddrPort(), "claimed")
	}
	if len(f.Visited) >= hop.MaxVisited {
		d.Outcome, d.Reason = Unresolved, "too_many_hops"
		return d
	}
	return a.locate(now, f, p, d)
}

// isDead reports whether an agent has ended or is considered dead.
func (a *Agent) isDead(agent flow.Endpoint) bool {
	m, known := a.cfg.Directory.Member(agent.AddrPort())
	return known && m.Liveness == fleet.Dead
}

func (a *Agent) forwardTo(f hop.Forward, d Decision, to netip.AddrPort, reason string) Decision {
	// The balancer did not know the flow's owner or assumed another agent, so the receiver must send it a
	// notice.
	f.OwnerKnown = false
	d.Outcome = Forwarded
	d.Reason = reason
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d
}

// rememberSent writes a cookie into a packet for the backend server and stores its routing information under
// the cookie, in case the backend server returns the packet.
func (a *Agent) rememberSent(f hop.Forward, p *flow.Packet) {
	a.lastCookie++
	if a.lastCookie == 0 {
		a.lastCookie = 1
	}
	f.Packet = nil
	f.Visited = slices.Clone(f.Visited)
	a.sentPackets[a.lastCookie%maxSentPackets] = sentPacket{cookie: a.lastCookie, forward: f}
	a.cfg.Codec.SetCookie(p.Raw, a.lastCookie)
}
