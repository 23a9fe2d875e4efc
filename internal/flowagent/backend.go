package flowagent

import (
	"time"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
	"github.com/almondledge/almondledge/internal/hop"
)

// HandleBackend decides about a packet that the backend server sent.
func (a *Agent) HandleBackend(now time.Time, raw []byte) Decision {
	p, err := a.cfg.Codec.Parse(raw)
	if err != nil {
		return Decision{Outcome: Malformed}
	}
	if p.Flags.Has(flow.Returned) {
		return a.returned(now, &p)
	}
	key := p.BackendKey()
	d := Decision{Outcome: Replied, Key: key, Replies: []Reply{{key.Caller, raw}}}
	before := flowtable.Ended
	if e := a.flows.Get(key); e != nil {
		before = e.Phase
	}
	e, unknown := a.flows.RecordBackendPacket(now, key, &p)
	if e == nil {
		return d
	}
	answered := before == flowtable.Opening && e.Phase != flowtable.Opening
	if answered {
		d.AnswerLatency = max(1, e.Age(now))
	}
	if answered && e.Balancer != (flow.Endpoint{}) {
		d.Sends = a.notify(e.Balancer, key, false)
	}
	if answered || unknown {
		d.Sends = append(d.Sends, a.claim(key, e)...)
	}
	return d
}

// returned decides about a caller's packet that the backend server did not take.
func (a *Agent) returned(now time.Time, p *flow.Packet) Decision {
	key := p.CallerKey()
	j := a.journeys[p.Cookie%cookies]
	if p.Cookie == 0 || j.cookie != p.Cookie {
		j = journey{}
	}
	a.cfg.Codec.Restore(p.Raw)
	p.Flags &^= flow.Returned
	f := j.forward
	f.Packet = p.Raw
	e := a.flows.Get(key)
	if p.Opens() {
		if e != nil && e.Phase == flowtable.Opening {
			a.flows.Remove(key)
		}
		return a.passOpening(now, f, p, "returned")
	}
	a.foreign.Add(key, now.Add(foreignTime))
	d := Decision{Key: key}
	if e != nil && e.Matches(p) {
		wasOpen := e.Phase == flowtable.Open
		a.flows.Remove(key)
		if wasOpen {
			return a.end(d, p, "backend_lost_flow")
		}
	}
	return a.passOn(now, f, p, d)
}

// notify tells a balancer that this agent has a flow, or has refused it.
func (a *Agent) notify(balancer flow.Endpoint, key flow.Key, refused bool) []hop.Send {
	if balancer == (flow.Endpoint{}) {
		return nil
	}
	load := a.Load()
	n := hop.Notice{Key: key, Flows: load.Flows, Active: load.Active, Refused: refused}
	return []hop.Send{{To: balancer.AddrPort(), Payload: n.AppendTo(nil)}}
}
