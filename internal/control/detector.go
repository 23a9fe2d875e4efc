package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// Rules of failure detection.
const (
	// ownLinkTimeout is the silence of everybody after which a node suspects its own link
	// rather than the others.
	ownLinkTimeout = time.Second
	// relayLifetime is how long the answer to a relayed probe is waited for.
	relayLifetime = time.Second
)

// observation is one agent whose heartbeats this balancer expects.
type observation struct {
	addr      netip.AddrPort
	lastHeard time.Time
	// announced is set while the agent announces itself to this balancer.
	announced bool
	// revision is the catalog revision that the agent announced.
	revision int64
	probing  bool
}

// suspicion is a member of this data centre that has time to answer until it is dead.
type suspicion struct {
	addr        netip.AddrPort
	incarnation uint64
	deadline    time.Time
}

// detector finds failed members of the data centre. Silence leads to a probe,
// a failed probe to a suspicion that others hear of, and only a suspicion that
// its subject leaves unanswered leads to death.
type detector struct {
	b            *balancer
	observed     map[netip.AddrPort]*observation
	order        []*observation
	probes       []*probe
	relayed      map[uint32]relayedProbe
	suspicions   []suspicion
	lastInbound  time.Time
	nextBalancer time.Time
	// round is the shuffled order in which balancers are probed.
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

// heard notes that this node can receive.
func (d *detector) heard(now time.Time, from netip.AddrPort) {
	d.lastInbound = now
	if o := d.observed[from]; o != nil && !d.contested(from) {
		o.lastHeard = now
	}
}

// contested reports whether a member is held suspect or dead, so that its old
// messages do not count as signs of life.
func (d *detector) contested(a netip.AddrPort) bool {
	r := d.b.table.Get(a)
	return r == nil || r.State == member.Suspect || r.State == member.Dead
}

func (d *detector) observes(a netip.AddrPort) bool { return d.observed[a] != nil }

// observe starts to expect heartbeats of an agent.
func (d *detector) observe(now time.Time, a netip.AddrPort) *observation {
	o := d.observed[a]
	if o == nil {
		o = &observation{addr: a, lastHeard: now}
		d.observed[a] = o
		d.order = append(d.order, o)
	}
	return o
}

// announced notes a trusted heartbeat.
func (d *detector) announced(now time.Time, m member.Member, revision int64) {
	o := d.observe(now, m.Addr)
	o.lastHeard = now
	o.announced = true
	o.revision = max(o.revision, revision)
}

// changed follows a new state of a member.
func (d *detector) changed(now time.Time, m member.Member) {
	if m.State == member.Suspect && d.b.judges(m.DataCentre) {
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

// checkSilence probes agents that were not heard for a while, and stops
// expecting anything of dead ones.
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
		silent := now.Sub(o.lastHeard) >= d.b.n.cfg.Timing.SilenceTimeout
		if silent && !o.probing && d.b.table.Get(o.addr).State != member.Suspect {
			o.probing = true
			d.startProbe(now, o.addr)
		}
	}
}

// ownLinkSuspect reports whether this node hears nobody at all though it expects
// to hear several: then its own link is the likelier fault. An answer from
// another data centre or a seed ends that.
func (d *detector) ownLinkSuspect(now time.Time) bool {
	expected := len(d.order) + len(d.b.table.Balancers(d.b.n.self.DataCentre)) - 1
	return expected > 1 && now.Sub(d.lastInbound) >= ownLinkTimeout
}

// checkSuspicions declares members dead that have not answered a suspicion.
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
		d.b.learn(now, m)
	}
}

// resume forgives all silence, because it was this process that did not run.
func (d *detector) resume(now time.Time) {
	d.lastInbound = now
	d.probes = nil
	for _, o := range d.order {
		o.lastHeard = now
		o.probing = false
	}
	for i := range d.suspicions {
		d.suspicions[i].deadline = now.Add(d.b.n.cfg.Timing.SuspectTimeout)
	}
}

// announcedAgents calls visit for each agent that announces itself to this
// balancer and belongs to it as the first of its owners.
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
