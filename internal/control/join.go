package control

import (
	"net/netip"
	"time"
)

// Joining.
const (
	// joinRetry is the time between attempts to join.
	joinRetry = 500 * time.Millisecond
	// joinTimeout is how long a node looks for peers before it runs alone.
	joinTimeout = 5 * time.Second
	// joinContacts is the number of seeds contacted at a time.
	joinContacts = 3
)

// join contacts seeds until a peer's table is merged. Afterwards it goes on
// contacting seeds and dead balancers now and then, so that parts of the fleet
// that gave each other up find together again.
func (b *balancer) join(now time.Time) {
	if now.Before(b.nextJoin) {
		return
	}
	if !b.joined && now.Sub(b.started) >= joinTimeout {
		b.joined = true
	}
	if b.joined {
		b.nextJoin = now.Add(b.n.cfg.Timing.RejoinPeriod + b.n.jitter(b.n.cfg.Timing.RejoinPeriod))
		b.rejoin(now)
		return
	}
	b.nextJoin = now.Add(joinRetry)
	seeds := b.n.cfg.Seeds
	for range min(joinContacts, len(seeds)) {
		b.contact(now, seeds[b.n.cfg.Rand.IntN(len(seeds))])
	}
}

func (b *balancer) rejoin(now time.Time) {
	if seeds := b.n.cfg.Seeds; len(seeds) > 0 {
		seed := seeds[b.n.cfg.Rand.IntN(len(seeds))]
		if r := b.table.Get(seed); r == nil || !isReachable(r) {
			b.contact(now, seed)
		}
	}
	group := b.table.Balancers(b.n.self.DataCentre)
	if len(group) == 0 {
		return
	}
	if r := group[b.n.cfg.Rand.IntN(len(group))]; !isReachable(r) {
		b.contact(now, r.Addr)
	}
}

// contactFar pings a seed and a balancer of another data centre, to find out
// whether this node can receive at all.
func (b *balancer) contactFar(now time.Time) {
	if seeds := b.n.cfg.Seeds; len(seeds) > 0 {
		b.contact(now, seeds[b.n.cfg.Rand.IntN(len(seeds))])
	}
	if r := b.randomRemote(); r != nil {
		b.contact(now, r.Addr)
	}
}

// contact pings a member and tells it what this node holds against it.
func (b *balancer) contact(now time.Time, to netip.AddrPort) {
	if to == b.n.self.Addr {
		return
	}
	ping := &Ping{Sequence: b.n.nextSequence(), Self: b.n.record(), Revision: b.n.catalog.Revision()}
	if r := b.table.Get(to); r != nil && !isReachable(r) {
		ping.Updates = memberList{r.Member}
	}
	b.n.send(now, ClassProbe, to, ping)
}

// resume restarts all waits after the process was frozen.
func (b *balancer) resume(now time.Time) {
	b.detector.resume(now)
	b.reach.resume(now)
	b.n.pull.until = time.Time{}
	b.repair.pulling = time.Time{}
}
