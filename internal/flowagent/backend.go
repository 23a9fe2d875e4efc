package flowagent

import (
	"time"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
	"github.com/almondledge/almondledge/internal/hop"
)

// HandleBackend decides what to do with a packet that the backend server sent.
func (a *Agent) HandleBackend(now time.Time, raw []byte) Decision {
	p, err := a.cfg.Codec.Parse(raw)
	if err != nil {
		return Decision{Outcome: Malformed}
	}
	if p.Flags.Has(flow.Returned) {
		return a.handleReturned(now, &p)
	}
	key := p.BackendKey()
	d := Decision{Outcome: Replied, Key: key, Replies: []Reply{{key.Caller, raw}}}
	before := flowtable.Ended
	if e := a.flows.Get(key); e != nil {
		before = e.Phase
		d.JudgementChanged = a.recordResult(now, e, &p)
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

// recordResult records the result of a flow's request, if a packet of the backend server shows it, and reports
// whether the judgement on the backend server has changed.
func (a *Agent) recordResult(now time.Time, e *flowtable.Entry, p *flow.Packet) bool {
	switch {
	case !e.AwaitsAnswer():
		return false
	case p.Length > 0:
		return a.detector.Record(now, false)
	case e.EndsWithoutAnswer(p):
		return a.detector.Record(now, true)
	default:
		return false
	}
}

// handleReturned decides what to do with a caller's packet that the backend server did not accept and
// returned.
func (a *Agent) handleReturned(now time.Time, p *flow.Packet) Decision {
	key := p.CallerKey()
	sent := a.sentPackets[p.Cookie%maxSentPackets]
	if p.Cookie == 0 || sent.cookie != p.Cookie {
		sent = sentPacket{}
	}
	a.cfg.Codec.Restore(p.Raw)
	p.Flags &^= flow.Returned
	f := sent.forward
	f.Packet = p.Raw
	e := a.flows.Get(key)
	if p.Opens() {
		if e != nil && e.Phase == flowtable.Opening {
			a.flows.Remove(key)
		}
		return a.forwardOpening(now, f, p, "returned")
	}
	a.notHeld.Add(key, now.Add(notHeldTime))
	d := Decision{Key: key}
	if e != nil && e.Matches(p) {
		wasOpen := e.Phase == flowtable.Open
		a.flows.Remove(key)
		if wasOpen {
			return a.resetFlow(d, p, "backend_lost_flow")
		}
	}
	return a.forwardToOwner(now, f, p, d)
}

// notify returns a notice that informs a balancer that this agent has a flow or has refused it.
func (a *Agent) notify(balancer flow.Endpoint, key flow.Key, refused bool) []hop.Send {
	return a.sendNotice(balancer, hop.Notice{Key: key, Refused: refused})
}

// sendNotice adds this agent's load to a notice and returns it for a balancer.
func (a *Agent) sendNotice(balancer flow.Endpoint, n hop.Notice) []hop.Send {
	if balancer == (flow.Endpoint{}) {
		return nil
	}
	load := a.Load()
	n.Flows, n.Active = load.Flows, load.Active
	return []hop.Send{{To: balancer.AddrPort(), Payload: n.AppendTo(nil)}}
}
