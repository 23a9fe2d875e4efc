package presence

import (
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// recordFailure starts or extends a hold when too much of a group failed at
// once: then it is likelier that the view is wrong than that all are dead.
func (t *Table) recordFailure(now time.Time, r *Record) {
	g := t.groups[keyOf(r.Member)]
	windowStart := now.Add(-t.cfg.SelfPreservationWindow)
	failures, total := 0, 0
	for _, other := range g.members {
		if other.State.TakesNewFlows() {
			total++
		}
		if !other.failedAt.IsZero() && !other.failedAt.Before(windowStart) {
			failures++
			total++
		}
	}
	if failures < t.cfg.SelfPreservationMinimum || float64(failures) <= t.cfg.SelfPreservationShare*float64(total) {
		return
	}
	if !now.Before(g.heldUntil) {
		g.heldFrom = windowStart
	}
	g.heldUntil = now.Add(t.cfg.SelfPreservationTime)
}

// Routable reports whether a member may be offered new flows: it is warming or
// serving, or it failed together with so many of its group that the last known
// set is kept. A member that said it is draining or leaving is never routable.
func (t *Table) Routable(now time.Time, r *Record) bool {
	if r.State.TakesNewFlows() {
		return true
	}
	g := t.groups[keyOf(r.Member)]
	if r.failedAt.IsZero() || g.heldUntil.IsZero() || r.failedAt.Before(g.heldFrom) {
		return false
	}
	return now.Before(g.heldUntil) || !g.anyAlive()
}

// anyAlive reports whether a member of the group takes new flows.
func (g *group) anyAlive() bool {
	for _, r := range g.members {
		if r.State.TakesNewFlows() {
			return true
		}
	}
	return false
}

// Weight returns the share of new flows that a member should get, in slots. A
// warming member starts at a tenth of its capacity and gains the rest over the
// ramp time.
func (t *Table) Weight(now time.Time, r *Record) float64 {
	capacity := float64(max(r.Capacity, 1))
	if r.State != member.Warming {
		return capacity
	}
	const start = 0.1
	ramp := min(1, float64(now.Sub(r.Since))/float64(t.cfg.RampTime))
	return capacity * (start + (1-start)*max(0, ramp))
}
