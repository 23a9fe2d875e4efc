package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// probe is a series of pings to one member, direct ones first.
type probe struct {
	addr     netip.AddrPort
	sequence uint32
	attempt  int
	next     time.Time
}

// relayedProbe is a ping sent on behalf of another balancer.
type relayedProbe struct {
	origin   netip.AddrPort
	sequence uint32
	until    time.Time
}

// probeBalancer probes the next balancer of the data centre. Each is probed once in a round.
func (d *detector) probeBalancer(now time.Time) {
	if now.Before(d.nextBalancer) {
		return
	}
	d.nextBalancer = now.Add(d.b.n.cfg.Timing.ProbePeriod)
	if len(d.round) == 0 {
		d.newRound()
	}
	for len(d.round) > 0 {
		a := d.round[0]
		d.round = d.round[1:]
		if r := d.b.table.Get(a); r != nil && isReachable(r) {
			d.startProbe(now, a)
			return
		}
	}
}

func (d *detector) newRound() {
	for _, r := range d.b.table.Balancers(d.b.n.self.DataCentre) {
		if r.Addr != d.b.n.self.Addr && isReachable(r) {
			d.round = append(d.round, r.Addr)
		}
	}
	d.b.n.cfg.Rand.Shuffle(len(d.round), func(i, j int) { d.round[i], d.round[j] = d.round[j], d.round[i] })
}

func (d *detector) startProbe(now time.Time, a netip.AddrPort) {
	for _, p := range d.probes {
		if p.addr == a {
			return
		}
	}
	p := &probe{addr: a, sequence: d.b.n.nextSequence()}
	d.probes = append(d.probes, p)
	d.sendAttempt(now, p)
}

// sendAttempt sends the next attempt: a direct ping and, after the first attempt,
// also requests to other balancers, whose path to the member may work if this
// node's does not. An attempt whose ping the budget does not allow does not count.
func (d *detector) sendAttempt(now time.Time, p *probe) {
	n := d.b.n
	ping := &Ping{Sequence: p.sequence, Self: n.selfRecord(), Revision: n.catalog.Revision()}
	if p.attempt == 0 {
		ping.Updates = d.b.gossip.piggyback()
	}
	if !n.send(now, ClassProbe, p.addr, ping) {
		p.next = now.Add(TickPeriod)
		return
	}
	if p.attempt > 0 {
		request := &PingRequest{Sequence: p.sequence, Target: addr(p.addr), Revision: n.catalog.Revision()}
		for _, helper := range d.b.randomBalancers(indirectProbes, p.addr) {
			n.send(now, ClassProbe, helper, request)
		}
	}
	p.attempt++
	p.next = now.Add(n.cfg.Timing.ProbeStep)
}

// continueProbes sends further attempts and ends the probes that have failed.
func (d *detector) continueProbes(now time.Time) {
	var failed []*probe
	d.probes = slices.DeleteFunc(d.probes, func(p *probe) bool {
		if now.Before(p.next) {
			return false
		}
		if p.attempt < probeAttempts {
			d.sendAttempt(now, p)
			return false
		}
		failed = append(failed, p)
		return true
	})
	for _, p := range failed {
		d.probeFailed(now, p.addr)
	}
}

// probeFailed declares a silent member suspect. A draining or leaving member takes
// no new work anyway and is declared dead at once. If a fault of this node's own
// link is likelier, it leaves the member's state unchanged and pings a seed and
// another data centre.
func (d *detector) probeFailed(now time.Time, a netip.AddrPort) {
	if o := d.observed[a]; o != nil {
		o.probing = false
	}
	r := d.b.table.Get(a)
	if r == nil {
		return
	}
	if d.ownLinkSuspect(now) {
		d.b.contactRemote(now)
		return
	}
	m := r.Member
	switch m.State {
	case member.Warming, member.Serving:
		m.State = member.Suspect
		d.b.n.counters.Suspicions++
	case member.Draining, member.Leaving:
		m.State = member.Dead
		d.b.n.counters.Deaths++
	default:
		return
	}
	d.b.mergeDirect(now, m)
}

// relay pings a member on behalf of another balancer.
func (d *detector) relay(now time.Time, origin netip.AddrPort, m *PingRequest) {
	sequence := d.b.n.nextSequence()
	d.relayed[sequence] = relayedProbe{origin, m.Sequence, now.Add(relayLifetime)}
	ping := &Ping{Sequence: sequence, Self: d.b.n.selfRecord(), Revision: d.b.n.catalog.Revision()}
	d.b.n.send(now, ClassProbe, netip.AddrPort(m.Target), ping)
}

// handleAck processes the answer to a probe, or forwards it to the balancer that requested the ping.
func (d *detector) handleAck(now time.Time, m member.Member, ack *PingAck) {
	if r, ok := d.relayed[ack.Sequence]; ok {
		delete(d.relayed, ack.Sequence)
		forwarded := *ack
		forwarded.Sequence = r.sequence
		forwarded.Updates = nil
		d.b.n.send(now, ClassProbe, r.origin, &forwarded)
		return
	}
	d.probes = slices.DeleteFunc(d.probes, func(p *probe) bool {
		return p.addr == m.Addr && p.sequence == ack.Sequence
	})
	o := d.observed[m.Addr]
	if o == nil {
		return
	}
	o.probing = false
	if known := d.b.table.Get(m.Addr); known != nil && overrides(known.Member, m) {
		return
	}
	d.b.mergeDirect(now, m)
	o.lastSeen = now
	if ack.Released {
		d.release(o)
	}
}

// release stops observing an agent that announces itself to other balancers,
// unless this node is one of its owners.
func (d *detector) release(o *observation) {
	o.announced = false
	if d.b.owns(o.addr, d.b.table.Get(o.addr).DataCentre) {
		return
	}
	delete(d.observed, o.addr)
	d.order = slices.DeleteFunc(d.order, func(other *observation) bool { return other == o })
}
