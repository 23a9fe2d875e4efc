package presence

import (
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// recordFailure starts or extends self-preservation of r's group if too many of its
// members failed within the window: a wrong view of this node is then likelier than
// actual failures.
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
	if !now.Before(g.preservedUntil) {
		g.preservedFrom = windowStart
	}
	g.preservedUntil = now.Add(t.cfg.SelfPreservationTime)
}

// Routable reports whether a member may be offered new flows: it is warming or
// serving, or it is one of the failed members that self-preservation of its group
// covers. A member that announced that it is draining or leaving is never routable.
func (t *Table) Routable(now time.Time, r *Record) bool {
	if r.State.TakesNewFlows() {
		return true
	}
	g := t.groups[keyOf(r.Member)]
	if r.failedAt.IsZero() || g.preservedUntil.IsZero() || r.failedAt.Before(g.preservedFrom) {
		return false
	}
	return now.Before(g.preservedUntil) || !g.anyAlive()
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

// Weight returns the weight, in slots, by which a member gets new flows. The weight
// of a warming member starts at a tenth of its capacity and grows to all of it over
// RampTime.
func (t *Table) Weight(now time.Time, r *Record) float64 {
	capacity := float64(max(r.Capacity, 1))
	if r.State != member.Warming {
		return capacity
	}
	const start = 0.1
	ramp := min(1, float64(now.Sub(r.Since))/float64(t.cfg.RampTime))
	return capacity * (start + (1-start)*max(0, ramp))
}
