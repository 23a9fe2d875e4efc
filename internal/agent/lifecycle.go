package agent

import (
	"time"

	"github.com/almondledge/almondledge/internal/announce"
	"github.com/almondledge/almondledge/internal/member"
)

// warmUp is how long a backend server that has just started to serve receives a
// growing share of new flows.
const warmUp = 10 * time.Second

// condition holds the facts that determine the state of an agent.
type condition struct {
	// stopping reports that the process was asked to stop.
	stopping bool
	// drained reports that a change ticket or an operator drains this backend server.
	drained bool
	// removed reports that the service was removed or no longer admits this backend server.
	removed bool
	// announcing reports that the last announcement of the backend server is recent.
	announcing bool
	// announced is the state that the backend server announces.
	announced announce.State
	// since is when the backend server started to serve.
	since time.Time
}

// stateFor returns the state that the agent announces under condition c.
func stateFor(now time.Time, c condition) member.State {
	switch {
	case c.stopping, c.drained, c.removed, !c.announcing:
		return member.Draining
	case c.announced == announce.Draining:
		return member.Draining
	case c.announced == announce.Warming, now.Sub(c.since) < warmUp:
		return member.Warming
	default:
		return member.Serving
	}
}
