package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// Timeouts of failure detection.
const (
	// ownLinkTimeout is how long a node receives no message at all before it
	// suspects its own link instead of the other members.
	ownLinkTimeout = time.Second
	// relayLifetime is how long a node waits for the answer to a relayed probe.
	relayLifetime = time.Second
)

// observation is an agent whose heartbeats this balancer expects.
type observation struct {
	addr     netip.AddrPort
	lastSeen time.Time
	// announced is set while the agent announces itself to this balancer.
	announced bool
	// revision is the catalog revision that the agent announced.
	revision int64
	probing  bool
}

// suspicion is a suspected member that this node declares dead unless it refutes
// the suspicion before the deadline.
type suspicion struct {
	addr        netip.AddrPort
	incarnation uint64
	deadline    time.Time
}

// detector detects failed members of the data centres that this node monitors. It
// probes a silent member, and gossips a suspicion if the probe fails. It declares
// the member dead only if the member does not refute the suspicion in time.
type detector struct {
	b            *balancer
	observed     map[netip.AddrPort]*observation
	order        []*observation
	probes       []*probe
	relayed      map[uint32]relayedProbe
	suspicions   []suspicion
	lastInbound  time.Time
	nextBalancer time.Time
	// round lists the balancers that are still to be probed in this round, in random order.
	round []netip.AddrPort
}

func newDetector(now time.Time, b *balancer) *detector {
	return &detector{
		b:            b,
		observed:     map[netip.AddrPort]*observation{},
		relayed:      map[uint32]relayedProbe{},
		lastInbound:  now,
		nextBalancer: now.Add(b.n.jitter(b.n.cfg.Timing.ProbePeriod)),
	}
}

// recordInbound records a message that this node received.
func (d *detector) recordInbound(now time.Time, from netip.AddrPort) {
	d.lastInbound = now
	if o := d.observed[from]; o != nil && !d.contested(from) {
		o.lastSeen = now
	}
}

// contested reports whether a member is unknown, suspect or dead. Messages of such
// a member do not show that it is alive.
func (d *detector) contested(a netip.AddrPort) bool {
	r := d.b.table.Get(a)
	return r == nil || r.State == member.Suspect || r.State == member.Dead
}

func (d *detector) observes(a netip.AddrPort) bool { return d.observed[a] != nil }

// observe starts to expect heartbeats of an agent.
func (d *detector) observe(now time.Time, a netip.AddrPort) *observation {
	o := d.observed[a]
	if o == nil {
		o = &observation{addr: a, lastSeen: now}
		d.observed[a] = o
		d.order = append(d.order, o)
	}
	return o
}

// recordAnnouncement records an announcement that no known record overrides.
func (d *detector) recordAnnouncement(now time.Time, m member.Member, revision int64) {
	o := d.observe(now, m.Addr)
	o.lastSeen = now
	o.announced = true
	o.revision = max(o.revision, revision)
}

// stateChanged starts the timeout of a new suspicion.
func (d *detector) stateChanged(now time.Time, m member.Member) {
	if m.State == member.Suspect && d.b.monitors(m.DataCentre) {
		deadline := now.Add(d.b.n.cfg.Timing.SuspectTimeout)
		d.suspicions = append(d.suspicions, suspicion{m.Addr, m.Incarnation, deadline})
	}
}

func (d *detector) tick(now time.Time) {
	d.checkSilence(now)
	d.probeBalancer(now)
	d.continueProbes(now)
	d.checkSuspicions(now)
	for sequence, r := range d.relayed {
		if !now.Before(r.until) {
			delete(d.relayed, sequence)
		}
	}
}

// checkSilence probes agents that have been silent for SilenceTimeout, and stops
// observing dead and forgotten agents.
func (d *detector) checkSilence(now time.Time) {
	d.order = slices.DeleteFunc(d.order, func(o *observation) bool {
		r := d.b.table.Get(o.addr)
		if r != nil && r.State != member.Dead {
			return false
		}
		delete(d.observed, o.addr)
		return true
	})
	for _, o := range d.order {
		silent := now.Sub(o.lastSeen) >= d.b.n.cfg.Timing.SilenceTimeout
		if silent && !o.probing && d.b.table.Get(o.addr).State != member.Suspect {
			o.probing = true
			d.startProbe(now, o.addr)
		}
	}
}

// ownLinkSuspect reports whether this node receives no message at all although it
// expects messages of several members: a fault of its own link is then likelier.
// Any message, such as an answer from another data centre or a seed, ends the
// suspicion.
func (d *detector) ownLinkSuspect(now time.Time) bool {
	expected := len(d.order) + len(d.b.table.Balancers(d.b.n.self.DataCentre)) - 1
	return expected > 1 && now.Sub(d.lastInbound) >= ownLinkTimeout
}

// checkSuspicions declares members dead that have not refuted a suspicion in time.
func (d *detector) checkSuspicions(now time.Time) {
	var due []suspicion
	d.suspicions = slices.DeleteFunc(d.suspicions, func(s suspicion) bool {
		if now.Before(s.deadline) {
			return false
		}
		due = append(due, s)
		return true
	})
	for _, s := range due {
		r := d.b.table.Get(s.addr)
		if r == nil || r.State != member.Suspect || r.Incarnation != s.incarnation {
			continue
		}
		m := r.Member
		m.State = member.Dead
		d.b.n.counters.Deaths++
		d.b.mergeUpdate(now, m)
	}
}

// resume restarts all timeouts and drops all probes, because it was this process
// that did not run.
func (d *detector) resume(now time.Time) {
	d.lastInbound = now
	d.probes = nil
	for _, o := range d.order {
		o.lastSeen = now
		o.probing = false
	}
	for i := range d.suspicions {
		d.suspicions[i].deadline = now.Add(d.b.n.cfg.Timing.SuspectTimeout)
	}
}

// announcedAgents calls visit for each agent that announces itself to this
// balancer and has it as the first of its owners.
func (d *detector) announcedAgents(visit func(*observation, *presence.Record)) {
	for _, o := range d.order {
		r := d.b.table.Get(o.addr)
		if r == nil || r.State == member.Dead || !o.announced {
			continue
		}
		owners := d.b.owners(o.addr, r.DataCentre)
		if len(owners) > 0 && owners[0] == d.b.n.self.Addr {
			visit(o, r)
		}
	}
}
