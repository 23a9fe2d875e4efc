package control

import (
	"net/netip"
	"slices"
	"time"
)

// Parameters of joining.
const (
	// joinRetry is the time between attempts to join.
	joinRetry = 500 * time.Millisecond
	// joinTimeout is how long a node looks for peers before it runs alone.
	joinTimeout = 5 * time.Second
	// joinContacts bounds the seeds contacted at a time.
	joinContacts = 3
)

// join contacts seeds until a peer's table is merged, or joinTimeout has passed.
// Afterwards it contacts unreachable seeds and balancers from time to time, so
// that parts of the fleet that declared each other dead reunite.
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
	seeds := b.n.seeds()
	for range min(joinContacts, len(seeds)) {
		b.contact(now, seeds[b.n.cfg.Rand.IntN(len(seeds))])
	}
}

func (b *balancer) rejoin(now time.Time) {
	unreached := slices.DeleteFunc(b.n.seeds(), func(a netip.AddrPort) bool {
		r := b.table.Get(a)
		return r != nil && isReachable(r)
	})
	b.n.cfg.Rand.Shuffle(len(unreached), func(i, j int) { unreached[i], unreached[j] = unreached[j], unreached[i] })
	for _, seed := range unreached[:min(joinContacts, len(unreached))] {
		b.contact(now, seed)
	}
	group := b.table.Balancers(b.n.self.DataCentre)
	if len(group) == 0 {
		return
	}
	if r := group[b.n.cfg.Rand.IntN(len(group))]; !isReachable(r) {
		b.contact(now, r.Addr)
	}
}

// contactRemote pings a seed and a balancer of another data centre, to find out
// whether this node can receive anything.
func (b *balancer) contactRemote(now time.Time) {
	if seeds := b.n.seeds(); len(seeds) > 0 {
		b.contact(now, seeds[b.n.cfg.Rand.IntN(len(seeds))])
	}
	if r := b.randomRemote(); r != nil {
		b.contact(now, r.Addr)
	}
}

// reachableBalancers returns the number of balancers in the table that are not suspect or dead, this one included.
func (b *balancer) reachableBalancers() (count int) {
	for _, dataCentre := range b.table.DataCentres() {
		for _, r := range b.table.Balancers(dataCentre) {
			if isReachable(r) {
				count++
			}
		}
	}
	return count
}

// contact pings a member. If this node considers it suspect or dead, the ping
// carries that record, so that the member can refute it.
func (b *balancer) contact(now time.Time, to netip.AddrPort) {
	if to == b.n.self.Addr {
		return
	}
	ping := &Ping{Sequence: b.n.nextSequence(), Self: b.n.selfRecord(), Revision: b.n.catalog.Revision()}
	if r := b.table.Get(to); r != nil && !isReachable(r) {
		ping.Updates = memberList{r.Member}
	}
	b.n.send(now, ClassProbe, to, ping)
}

// resume restarts all timeouts after a freeze of the process.
func (b *balancer) resume(now time.Time) {
	b.detector.resume(now)
	b.reach.resume(now)
	b.n.pull.until = time.Time{}
	b.repair.nextPull = time.Time{}
}
