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
	a.flows.FromCaller(now, key, e, &p)
	d := Decision{Outcome: Delivered, Key: key, Backend: p.Raw}
	if !f.Expected || f.Born != a.backend.Born {
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
	return a.deliverOpening(now, f, p, a.flows.Begin(now, key, f.Balancer))
}

func (a *Agent) deliverOpening(now time.Time, f hop.Forward, p *flow.Packet, e *flowtable.Entry) Decision {
	e.Balancer = f.Balancer
	a.flows.FromCaller(now, p.CallerKey(), e, p)
	e.Cookie = a.embark(f, p)
	return Decision{Outcome: Opened, Key: p.CallerKey(), Backend: p.Raw}
}

// unwilling returns why the backend server must not be offered a flow, or "".
func (a *Agent) unwilling(f hop.Forward, p *flow.Packet) string {
	if a.backend.State != fleet.BackendReady {
		return "backend_" + a.backend.State.String()
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
	to, found := a.cfg.Board.Choose(now, service, skip)
	if !found || len(f.Visited) >= hop.MaxVisited {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, 0)}}
		return d
	}
	d.Outcome = Passed
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d
}

// serviceFor returns the service for an opening packet by the newer of two desired
// states, this agent's or that of the packet's last sender, and notes it in f.
func (a *Agent) serviceFor(f *hop.Forward, p *flow.Packet) string {
	if f.Version > a.routes.Version() {
		return a.cfg.Board.ServiceByHash(f.Service)
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
	if f.Expected && f.Born != 0 && a.backend.Born > f.Born {
		return a.end(d, p, "backend_restarted")
	}
	if a.mayHoldUnseen(now, key) {
		d.Outcome = Probed
		a.embark(f, p)
		d.Backend = p.Raw
		return d
	}
	return a.passOn(f, p, d)
}

// end resets a flow whose backend server is certainly gone.
func (a *Agent) end(d Decision, p *flow.Packet, reason string) Decision {
	d.Outcome = Ended
	d.Reason = reason
	if !p.Flags.Has(flow.RST) {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, p.Ack)}}
	}
	return d
}

// passOn sends a packet to the next agent that may have its flow.
func (a *Agent) passOn(f hop.Forward, p *flow.Packet, d Decision) Decision {
	f.Visited = append(slices.Clip(f.Visited), a.self)
	f.Expected, f.Born = false, 0
	if c, ok := a.claims.Get(d.Key); ok && !slices.Contains(f.Visited, c.owner) {
		if m, known := a.cfg.Board.Member(c.owner.AddrPort()); known && m.Backend.Born > c.born && c.born != 0 {
			return a.end(d, p, "claimed_backend_restarted")
		}
		f.Expected, f.Born = true, c.born
		return a.passTo(f, d, c.owner.AddrPort(), "claimed")
	}
	if len(f.Visited) < hop.MaxVisited {
		if to, ok := a.nextUnvisited(&f, p); ok {
			return a.passTo(f, d, to, "unknown")
		}
	}
	d.Outcome = Lost
	return d
}

func (a *Agent) passTo(f hop.Forward, d Decision, to netip.AddrPort, reason string) Decision {
	// The receiver's notice goes to the balancer even if it expected the flow there.
	f.Born = 0
	f.Expected = false
	d.Outcome = Passed
	d.Reason = reason
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d
}

// nextUnvisited returns the next agent to ask about a flow: first its homes, then
// the agents of the services of its route, then all others.
func (a *Agent) nextUnvisited(f *hop.Forward, p *flow.Packet) (netip.AddrPort, bool) {
	visited := func(to netip.AddrPort) bool { return slices.Contains(f.Visited, flow.EndpointOf(to)) }
	key := p.CallerKey()
	for _, home := range a.cfg.Board.Homes(key, homesTold) {
		if !visited(home) {
			return home, true
		}
	}
	if r := a.routes.Lookup(p.Dst); r != nil {
		for _, share := range r.Shares {
			for _, m := range a.cfg.Board.Agents(share.Service) {
				if !visited(m.Addr) {
					return m.Addr, true
				}
			}
		}
	}
	for _, other := range a.cfg.Board.Homes(key, hop.MaxVisited) {
		if !visited(other) {
			return other, true
		}
	}
	return netip.AddrPort{}, false
}

// embark remembers the way of a packet that goes to the backend server, so that
// it can go on if it is returned.
func (a *Agent) embark(f hop.Forward, p *flow.Packet) uint32 {
	a.lastCookie++
	if a.lastCookie == 0 {
		a.lastCookie = 1
	}
	f.Packet = nil
	f.Visited = slices.Clone(f.Visited)
	a.journeys[a.lastCookie%cookies] = journey{cookie: a.lastCookie, forward: f}
	a.cfg.Codec.SetCookie(p.Raw, a.lastCookie)
	return a.lastCookie
}
