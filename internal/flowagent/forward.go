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

// HandleForward decides about a caller's packet that a balancer or another agent sent here.
func (a *Agent) HandleForward(now time.Time, f hop.Forward) Decision {
	p, err := a.cfg.Codec.Parse(f.Packet)
	if err != nil || p.Flags.Has(flow.Returned) {
		return Decision{Outcome: Malformed}
	}
	if p.Opens() {
		return a.open(now, f, &p)
	}
	key := p.CallerKey()
	e := a.flows.Get(key)
	if e == nil || !e.Matches(&p) {
		return a.search(now, f, &p)
	}
	a.flows.RecordCallerPacket(now, key, e, &p)
	d := Decision{Outcome: Delivered, Key: key, ToBackend: p.Raw}
	if !f.Search && !f.OwnerKnown {
		d.Sends = a.notify(f.Balancer, key, false)
	}
	return d
}

// open decides about an opening packet.
func (a *Agent) open(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	key := p.CallerKey()
	if e := a.flows.Get(key); e != nil && e.Phase != flowtable.Ended && (p.Ack > 0 || e.Phase != flowtable.Open) {
		return a.deliverOpening(now, f, p, e)
	}
	if reason := a.unwilling(f, p); reason != "" {
		return a.passOpening(now, f, p, reason)
	}
	if a.isCrowded(p) {
		return a.relieve(now, f, p)
	}
	return a.deliverOpening(now, f, p, a.flows.Begin(now, key, f.Balancer))
}

func (a *Agent) deliverOpening(now time.Time, f hop.Forward, p *flow.Packet, e *flowtable.Entry) Decision {
	e.Balancer = f.Balancer
	a.flows.RecordCallerPacket(now, p.CallerKey(), e, p)
	a.embark(f, p)
	return Decision{Outcome: Opened, Key: p.CallerKey(), ToBackend: p.Raw}
}

// unwilling returns why the backend server must not be offered a flow, or "".
func (a *Agent) unwilling(f hop.Forward, p *flow.Packet) string {
	if a.backend.State != fleet.BackendReady {
		return "backend_" + a.backend.State.String()
	}
	if s := a.routes.Service(a.cfg.Service); s != nil && s.MaxFlows > 0 && a.flows.Open() >= int(s.MaxFlows) {
		return "backend_full"
	}
	if f.Version >= a.routes.Version() {
		if f.Service != placement.ServiceHash(a.cfg.Service) {
			return "other_service"
		}
		return ""
	}
	r := a.routes.Lookup(p.Dst)
	if r == nil || !r.Allows(a.cfg.Service) {
		return "older_state"
	}
	return ""
}

// isCrowded reports whether a new flow's request would wait for long at the backend
// server. Copies of an opening packet give way to first ones: their requests have
// waited already, and are late in any case. Routes of the lowest priority give way
// to all others.
func (a *Agent) isCrowded(p *flow.Packet) bool {
	limit := crowdedFirst
	if p.Ack > 0 {
		limit = crowdedCopy
	}
	if r := a.routes.Lookup(p.Dst); r != nil && r.Priority < a.routes.LowestPriority() {
		limit += crowdedPriority
	}
	return a.flows.Active() >= limit*int(max(1, a.backend.Slots))
}

// relieve offers an opening packet to a less busy agent. If there is none, the
// caller's next copy may find room; only the last copy is refused, since the
// caller would otherwise wait for nothing.
func (a *Agent) relieve(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	d := Decision{Outcome: Deferred, Key: p.CallerKey(), Reason: "crowded"}
	d.Sends = a.notify(f.Balancer, d.Key, true)
	f.Visited = append(slices.Clip(f.Visited), a.self)
	if len(f.Visited) <= maxReliefs {
		to, found := a.lessBusy(now, &f, p)
		if found && a.cfg.Directory.RequestsPerSlot(to) < crowdedFirst {
			d.Outcome = Forwarded
			d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
			return d
		}
	}
	if p.Ack >= lastCopy {
		d.Outcome = Refused
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, 0)}}
	}
	return d
}

// lessBusy returns another agent for an opening packet, by the newer of the desired
// states of this agent and of the packet's last sender. Only a state that is known
// here lets another service help out.
func (a *Agent) lessBusy(now time.Time, f *hop.Forward, p *flow.Packet) (netip.AddrPort, bool) {
	skip := func(candidate netip.AddrPort) bool {
		return slices.Contains(f.Visited, flow.EndpointOf(candidate))
	}
	r := a.routes.Lookup(p.Dst)
	if f.Version > a.routes.Version() || r == nil {
		return a.cfg.Directory.Choose(now, a.cfg.Service, skip)
	}
	to, service, found := a.cfg.Directory.ChooseAmong(now, r, a.cfg.Service, skip)
	f.Version, f.Service = a.routes.Version(), placement.ServiceHash(service)
	return to, found
}

// passOpening offers an opening packet to another agent, or refuses it at once
// when there is none: the caller then knows that nothing has run.
func (a *Agent) passOpening(now time.Time, f hop.Forward, p *flow.Packet, reason string) Decision {
	d := Decision{Outcome: Refused, Key: p.CallerKey(), Reason: reason}
	d.Sends = a.notify(f.Balancer, d.Key, true)
	f.Visited = append(slices.Clip(f.Visited), a.self)
	service := a.serviceFor(&f, p)
	skip := func(candidate netip.AddrPort) bool {
		return slices.Contains(f.Visited, flow.EndpointOf(candidate))
	}
	to, found := a.cfg.Directory.Choose(now, service, skip)
	if !found || len(f.Visited) >= hop.MaxVisited {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, 0)}}
		return d
	}
	d.Outcome = Forwarded
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d
}

// serviceFor returns the service for an opening packet by the newer of two desired
// states, this agent's or that of the packet's last sender, and notes it in f.
func (a *Agent) serviceFor(f *hop.Forward, p *flow.Packet) string {
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

// search decides about a packet of a flow that this agent does not know.
func (a *Agent) search(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	key := p.CallerKey()
	d := Decision{Key: key}
	if f.Search && a.mayHoldUnseen(now, key) {
		return a.probe(f, p, d)
	}
	return a.passOn(now, f, p, d)
}

// probe hands a packet to the backend server, which returns it if it does not hold the flow.
func (a *Agent) probe(f hop.Forward, p *flow.Packet, d Decision) Decision {
	d.Outcome = Probed
	a.embark(f, p)
	d.ToBackend = p.Raw
	return d
}

// end resets a flow whose backend server is certainly gone.
func (a *Agent) end(d Decision, p *flow.Packet, reason string) Decision {
	d.Outcome = FlowReset
	d.Reason = reason
	if !p.Flags.Has(flow.RST) {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, p.Ack)}}
	}
	return d
}

// passOn sends a packet to the agent that has claimed its flow, or to the flow's home.
func (a *Agent) passOn(now time.Time, f hop.Forward, p *flow.Packet, d Decision) Decision {
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
		return a.passTo(f, d, owner.AddrPort(), "claimed")
	}
	if len(f.Visited) >= hop.MaxVisited {
		d.Outcome, d.Reason = Unresolved, "too_many_hops"
		return d
	}
	return a.locate(now, f, p, d)
}

// isDead reports whether an agent is known to have ended, or taken for it.
func (a *Agent) isDead(agent flow.Endpoint) bool {
	m, known := a.cfg.Directory.Member(agent.AddrPort())
	return known && m.Liveness == fleet.Dead
}

func (a *Agent) passTo(f hop.Forward, d Decision, to netip.AddrPort, reason string) Decision {
	// The receiver's notice goes to the balancer even if it expected the flow there.
	f.OwnerKnown = false
	d.Outcome = Forwarded
	d.Reason = reason
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d
}

// embark remembers the way of a packet that goes to the backend server, so that
// it can go on if it is returned.
func (a *Agent) embark(f hop.Forward, p *flow.Packet) {
	a.lastCookie++
	if a.lastCookie == 0 {
		a.lastCookie = 1
	}
	f.Packet = nil
	f.Visited = slices.Clone(f.Visited)
	a.journeys[a.lastCookie%cookies] = journey{cookie: a.lastCookie, forward: f}
	a.cfg.Codec.SetCookie(p.Raw, a.lastCookie)
}
