package flowagent

import (
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/route"
)

// maxAvoidForwards bounds the agents in a row that forward one opening packet because requests fail at their
// backend servers. If so many avoid theirs, most backend servers of the service fail, and forwarding does not
// help (panic threshold).
const maxAvoidForwards = 3

// avoidBackend forwards an opening packet to another agent while requests fail at the backend server. It
// returns false if the flow may go to the backend server.
func (a *Agent) avoidBackend(now time.Time, f hop.Forward, p *flow.Packet) (Decision, bool) {
	if a.detector.Admit(now, a.mayRepeat(p)) {
		return Decision{}, false
	}
	f.Visited = append(slices.Clip(f.Visited), a.self)
	if len(f.Visited) > maxAvoidForwards {
		return Decision{}, false
	}
	to, found := a.chooseLessBusy(now, &f, p)
	if !found {
		return Decision{}, false
	}
	a.cfg.Directory.RecordPlacement(to)
	d := Decision{Outcome: Forwarded, Key: p.CallerKey(), Reason: "backend_fails"}
	d.Sends = append(a.notify(f.Balancer, d.Key, true), hop.Send{To: to, Payload: f.AppendTo(nil)})
	return d, true
}

// mayRepeat reports whether the caller may repeat the request of an opening packet's route.
func (a *Agent) mayRepeat(p *flow.Packet) bool {
	r := a.routes.Lookup(p.Dst)
	return r != nil && r.Repeat != route.NonIdempotent
}
