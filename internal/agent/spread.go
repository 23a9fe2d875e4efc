package agent

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/almondledge/almondledge/internal/opening"
)

// onLoad announces a new load of the backend server's slots, 0 to 255, and uses it to
// place flows.
func (a *Agent) onLoad(load uint8) {
	a.driver.SetLoad(load)
	a.link.setSlots(float64(load) / math.MaxUint8)
}

// flowShare returns the share of the connections that would be occupied if more flows
// were open in addition to the current ones.
func (a *Agent) flowShare(more int) float64 {
	limit := max(a.spec.Load().Limits.Connections, 1)
	return float64(a.endpoint.flows.Load()+int64(more)) / float64(limit)
}

func (l *link) setSlots(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load.SetSlots(time.Now(), share)
}

// shouldOffload reports whether the flow of an opening packet that this agent could
// accept should go to the next candidate. The caller holds mu.
func (l *link) shouldOffload(now time.Time, packet opening.Packet) bool {
	next, ok := l.openings.OffloadTarget(packet)
	if !ok {
		return false
	}
	l.load.SetFlows(now, l.flowShare(0))
	return l.load.ShouldOffload(now, next, rand.Float64())
}

// ownClaim returns the claim for a flow that this agent has just accepted. The flow is
// not among the open flows yet, so the load report counts one more.
func (l *link) ownClaim(now time.Time, destID []byte) claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load.SetFlows(now, l.flowShare(1))
	return claim{owner: l.self, destID: destID, report: l.load.Report(now), hasLoad: true}
}
