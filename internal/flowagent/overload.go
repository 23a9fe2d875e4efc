package flowagent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/openqueue"
	"github.com/almondledge/almondledge/internal/placement"
)

const (
	// maxActivePerSlot is the number of requests in progress per slot up to which new flows go to the
	// backend server. It exceeds one because the request of a new flow arrives one round trip after its
	// opening packet.
	maxActivePerSlot = 1.5
	// minExtraActive is the least number of requests in progress beyond the slots. With few slots, the round
	// trips of some new flows would otherwise leave slots idle.
	minExtraActive = 3
	// maxOverloadForwards bounds the overloaded agents that forward one opening packet.
	maxOverloadForwards = 2
	// maxWait is how long after a caller's first opening packet its flow may still be opened. It is shorter than
	// flow.OpeningTimeout, so that the caller can try again while its time limit lasts.
	maxWait = time.Second
	// answerMargin is the time before the time limit of a request from which its flow is not opened any more,
	// because the answer would not reach the caller in time.
	answerMargin = 60 * time.Millisecond
)

// hasRoom reports whether the backend server would begin to work on a new flow's request soon.
func (a *Agent) hasRoom() bool {
	return float64(a.flows.Active()) < maxActive(a.backend.Slots)
}

// maxActive returns the number of requests in progress from which a backend server with the given number of
// slots is overloaded.
func maxActive(slots uint16) float64 {
	known := float64(max(1, slots))
	return max(maxActivePerSlot*known, known+minExtraActive)
}

// offloadOpening forwards an opening packet to an agent that is not overloaded. If there is none, the packet
// waits in the queue.
func (a *Agent) offloadOpening(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	if d, forwarded := a.forwardToLessBusy(now, f, p); forwarded {
		return d
	}
	return a.enqueue(now, f, p)
}

// forwardToLessBusy forwards an opening packet to an agent that is not overloaded, if there is one.
func (a *Agent) forwardToLessBusy(now time.Time, f hop.Forward, p *flow.Packet) (Decision, bool) {
	f.Visited = append(slices.Clip(f.Visited), a.self)
	if len(f.Visited) > maxOverloadForwards {
		return Decision{}, false
	}
	to, found := a.chooseLessBusy(now, &f, p)
	m, _ := a.cfg.Directory.Member(to)
	if !found || a.cfg.Directory.RequestsPerSlot(to)*float64(max(1, m.Backend.Slots)) >= maxActive(m.Backend.Slots) {
		return Decision{}, false
	}
	a.cfg.Directory.RecordPlacement(to)
	d := Decision{Outcome: Forwarded, Key: p.CallerKey(), Reason: "crowded"}
	d.Sends = a.sendNotice(f.Balancer, hop.Notice{Key: d.Key, Refused: true, Overloaded: true})
	d.Sends = append(d.Sends, hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d, true
}

// chooseLessBusy returns another agent for an opening packet, by the newer of this agent's desired state and
// that of the packet's last sender. It considers other services of the route only if this agent's state has
// the route and is not older than the sender's.
func (a *Agent) chooseLessBusy(now time.Time, f *hop.Forward, p *flow.Packet) (netip.AddrPort, bool) {
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

// enqueue adds an opening packet to the queue. The balancer learns that this agent has the flow, so that
// copies of the packet follow it. A full queue refuses the flow that it would serve last.
func (a *Agent) enqueue(now time.Time, f hop.Forward, p *flow.Packet) Decision {
	o := openqueue.Opening{Key: p.CallerKey(), Begun: now.Add(-flow.CopyDelay(p.Ack) - f.Waited), Forward: f}
	wait := maxWait
	if r := a.routes.Lookup(p.Dst); r != nil {
		o.Priority = r.Priority
		if r.Timeout > 0 {
			wait = min(wait, r.Timeout-answerMargin)
		}
	}
	o.Deadline = o.Begun.Add(wait)
	d := Decision{Outcome: Queued, Key: o.Key, Reason: "crowded"}
	if a.queue.IsFull() && !a.queue.Holds(o.Key) {
		if !a.queue.PrecedesLast(o) {
			return a.refuseQueued(&o, "queue_full")
		}
		last := *a.queue.Last()
		a.queue.Remove(last.Key)
		refused := a.refuseQueued(&last, "queue_full")
		d.Replies, d.Sends = refused.Replies, refused.Sends
	}
	a.queue.Add(o)
	d.Sends = append(d.Sends, a.notify(f.Balancer, o.Key, false)...)
	return d
}

// refuseQueued answers an opening packet that this agent has given up with a reset, which tells the caller
// that no request has run.
func (a *Agent) refuseQueued(o *openqueue.Opening, reason string) Decision {
	return Decision{
		Outcome: Refused, Key: o.Key, Reason: reason,
		Replies: []Reply{{o.Key.Caller, a.cfg.Codec.Reset(o.Key, 0)}},
		Sends:   a.sendNotice(o.Forward.Balancer, hop.Notice{Key: o.Key, Refused: true, Overloaded: true}),
	}
}

// ReleaseQueued returns the decision about the next opening packet that can leave the queue, or false if there
// is none. It must be called until it returns false, whenever the backend server has sent packets or its state
// has changed.
func (a *Agent) ReleaseQueued(now time.Time) (Decision, bool) {
	first := a.queue.First()
	if first == nil {
		return Decision{}, false
	}
	o := *first
	p, err := a.cfg.Codec.Parse(o.Forward.Packet)
	if err != nil {
		a.queue.Remove(o.Key)
		return Decision{Outcome: Malformed}, true
	}
	if reason := a.refusalReason(o.Forward, &p); reason != "" {
		a.queue.Remove(o.Key)
		return a.forwardOpening(now, leaveQueue(now, &o, &p), &p, reason), true
	}
	if d, avoided := a.avoidBackend(now, leaveQueue(now, &o, &p), &p); avoided {
		a.queue.Remove(o.Key)
		return d, true
	}
	if !a.hasRoom() {
		return Decision{}, false
	}
	a.queue.Remove(o.Key)
	d := a.deliverOpening(now, o.Forward, &p, a.flows.Begin(now, o.Key, o.Forward.Balancer))
	d.Waited = now.Sub(o.Begun)
	return d, true
}

// EmptyQueue returns the decisions that pass all waiting opening packets on to other agents, because this
// agent is about to end.
func (a *Agent) EmptyQueue(now time.Time) []Decision {
	var decisions []Decision
	for first := a.queue.First(); first != nil; first = a.queue.First() {
		o := *first
		a.queue.Remove(o.Key)
		p, err := a.cfg.Codec.Parse(o.Forward.Packet)
		if err != nil {
			continue // unreachable, since packets are parsed before they wait
		}
		d := a.forwardOpening(now, leaveQueue(now, &o, &p), &p, "agent_leaves")
		decisions = append(decisions, d)
	}
	return decisions
}

// leaveQueue returns a waiting packet for another agent. The agents that it has visited may have room again.
func leaveQueue(now time.Time, o *openqueue.Opening, p *flow.Packet) hop.Forward {
	f := o.Forward
	f.Visited = nil
	f.Waited = now.Sub(o.Begun) - flow.CopyDelay(p.Ack)
	return f
}

// expireQueue refuses the waiting flows that are too late to be opened.
func (a *Agent) expireQueue(now time.Time, decisions []Decision) []Decision {
	for o := a.queue.Expired(now); o != nil; o = a.queue.Expired(now) {
		expired := *o
		a.queue.Remove(o.Key)
		decisions = append(decisions, a.refuseQueued(&expired, "waited_too_long"))
	}
	return decisions
}
