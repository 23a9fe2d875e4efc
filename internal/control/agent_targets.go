package control

import (
	"net/netip"
	"slices"
	"time"
)

// target is a balancer that observes this agent.
type target struct {
	addr    netip.AddrPort
	added   time.Time
	lastAck time.Time
	// leaving reports that the balancer is about to stop.
	leaving bool
	// attempts counts the announcements since the last answer.
	attempts int
	// nextTry is the earliest time to repeat an unanswered announcement.
	nextTry time.Time
	// stated is the sequence number of the first announcement of the current state.
	stated uint32
	// acked is the highest acknowledged sequence number.
	acked uint32
}

// heard returns when the balancer last answered, or when it was chosen.
func (t *target) heard() time.Time {
	if t.lastAck.IsZero() {
		return t.added
	}
	return t.lastAck
}

// dropSilentTargets gives up balancers that have not answered in time.
func (a *agent) dropSilentTargets(now time.Time) {
	timeout := a.n.cfg.Timing.AckTimeout
	a.targets = slices.DeleteFunc(a.targets, func(t *target) bool {
		if now.Sub(t.heard()) < timeout {
			return false
		}
		a.avoided[t.addr] = now.Add(avoidTime)
		return true
	})
	for addr, until := range a.avoided {
		if !now.Before(until) {
			delete(a.avoided, addr)
		}
	}
}

// fillTargets replaces lost balancers by known ones, the latest named first,
// then by the seeds.
func (a *agent) fillTargets(now time.Time) {
	if len(a.targets) == 0 {
		clear(a.avoided)
	}
	for i := len(a.known) - 1; i >= 0 && len(a.targets) < observers; i-- {
		a.addTarget(now, a.known[i])
	}
	if len(a.targets) >= observers || len(a.n.cfg.Seeds) == 0 {
		return
	}
	offset := a.n.cfg.Rand.IntN(len(a.n.cfg.Seeds))
	for i := range a.n.cfg.Seeds {
		if len(a.targets) < observers {
			a.addTarget(now, a.n.cfg.Seeds[(offset+i)%len(a.n.cfg.Seeds)])
		}
	}
}

func (a *agent) addTarget(now time.Time, addr netip.AddrPort) {
	if _, avoid := a.avoided[addr]; avoid || a.target(addr) != nil {
		return
	}
	a.targets = append(a.targets, &target{addr: addr, added: now})
	a.nextSend = now
}

func (a *agent) target(addr netip.AddrPort) *target {
	for _, t := range a.targets {
		if t.addr == addr {
			return t
		}
	}
	return nil
}

// followOwners announces to the balancers that own this agent by rendezvous, so
// that owners need not ask. One replacement at a time keeps the others stable.
func (a *agent) followOwners(now time.Time, owners []netip.AddrPort) {
	for _, addr := range owners {
		a.remember(addr)
		if a.target(addr) != nil {
			continue
		}
		if len(a.targets) < observers {
			a.addTarget(now, addr)
			continue
		}
		a.replaceTarget(now, addr, owners)
		return
	}
}

func (a *agent) replaceTarget(now time.Time, addr netip.AddrPort, owners []netip.AddrPort) {
	if _, avoid := a.avoided[addr]; avoid {
		return
	}
	for i, t := range a.targets {
		if !slices.Contains(owners, t.addr) {
			a.targets = slices.Delete(a.targets, i, i+1)
			a.addTarget(now, addr)
			return
		}
	}
}

// remember keeps addr as the latest named balancer.
func (a *agent) remember(addr netip.AddrPort) {
	if i := slices.Index(a.known, addr); i >= 0 {
		a.known = slices.Delete(a.known, i, i+1)
	}
	a.known = append(a.known, addr)
	if len(a.known) > maxKnownBalancers {
		a.known = slices.Delete(a.known, 0, 1)
	}
}

// replyTargets returns the balancers that answered lately and are not leaving,
// or the last known set when there is none.
func (a *agent) replyTargets(now time.Time) []netip.AddrPort {
	var set []netip.AddrPort
	for _, t := range a.targets {
		if !t.leaving && !t.lastAck.IsZero() && now.Sub(t.lastAck) < a.n.cfg.Timing.AckTimeout {
			set = append(set, t.addr)
		}
	}
	if len(set) > 0 {
		a.lastSet = set
	}
	return a.lastSet
}
