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
	// stateSequence is the sequence number of the first announcement of the current state.
	stateSequence uint32
	// acked is the highest acknowledged sequence number.
	acked uint32
}

// lastAnswer returns when the balancer last answered, or when it was chosen if it has not answered yet.
func (t *target) lastAnswer() time.Time {
	if t.lastAck.IsZero() {
		return t.added
	}
	return t.lastAck
}

// dropSilentTargets drops balancers that have not answered in time, and avoids them for a while.
func (a *agent) dropSilentTargets(now time.Time) {
	timeout := a.n.cfg.Timing.AckTimeout
	a.targets = slices.DeleteFunc(a.targets, func(t *target) bool {
		if now.Sub(t.lastAnswer()) < timeout {
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

// fillTargets replaces lost targets. Balancers that did not answer lately are tried again
// only if there is no other one.
func (a *agent) fillTargets(now time.Time) {
	a.addCandidates(now)
	if len(a.targets) == 0 {
		clear(a.avoided)
		a.addCandidates(now)
	}
}

// addCandidates adds known balancers, the most recently named first, and then seeds.
func (a *agent) addCandidates(now time.Time) {
	for i := len(a.knownBalancers) - 1; i >= 0 && len(a.targets) < observers; i-- {
		a.addTarget(now, a.knownBalancers[i])
	}
	seeds := a.n.seeds()
	if len(a.targets) >= observers || len(seeds) == 0 {
		return
	}
	offset := a.n.cfg.Rand.IntN(len(seeds))
	for i := range seeds {
		if len(a.targets) < observers {
			a.addTarget(now, seeds[(offset+i)%len(seeds)])
		}
	}
}

// acknowledged returns the number of balancers that have acknowledged an announcement within AckTimeout.
func (a *agent) acknowledged(now time.Time) (count int) {
	for _, t := range a.targets {
		if !t.lastAck.IsZero() && now.Sub(t.lastAck) < a.n.cfg.Timing.AckTimeout {
			count++
		}
	}
	return count
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

// followOwners makes the owners of this agent, which rendezvous hashing selects,
// its targets, so that they need not probe it. Each call replaces at most one
// target, so that the reply set stays stable.
func (a *agent) followOwners(now time.Time, owners []netip.AddrPort) {
	for _, addr := range owners {
		a.rememberBalancer(addr)
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

// rememberBalancer puts addr at the end of the known balancers, as the most recently named.
func (a *agent) rememberBalancer(addr netip.AddrPort) {
	if i := slices.Index(a.knownBalancers, addr); i >= 0 {
		a.knownBalancers = slices.Delete(a.knownBalancers, i, i+1)
	}
	a.knownBalancers = append(a.knownBalancers, addr)
	if len(a.knownBalancers) > maxKnownBalancers {
		a.knownBalancers = slices.Delete(a.knownBalancers, 0, 1)
	}
}

// replyTargets returns the balancers that acknowledged within AckTimeout and are
// not leaving. If there is no such balancer, it returns the last set that was not
// empty.
func (a *agent) replyTargets(now time.Time) []netip.AddrPort {
	var set []netip.AddrPort
	for _, t := range a.targets {
		if !t.leaving && !t.lastAck.IsZero() && now.Sub(t.lastAck) < a.n.cfg.Timing.AckTimeout {
			set = append(set, t.addr)
		}
	}
	if len(set) > 0 {
		a.lastReplySet = set
	}
	return a.lastReplySet
}
