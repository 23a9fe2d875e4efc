package agent

import (
	"time"

	"github.com/almondledge/almondledge/internal/announce"
	"github.com/almondledge/almondledge/internal/member"
)

// warmUp is how long a backend server that has just appeared gets a growing
// share of new flows.
const warmUp = 10 * time.Second

// condition is what an agent knows about itself and its backend server.
type condition struct {
	// stopping reports that the process was told to stop.
	stopping bool
	// drained reports that the ticket in force or an operator drains this backend server.
	drained bool
	// removed reports that the service was removed or no longer allows this backend server.
	removed bool
	// heard reports that the backend server's announcements are fresh.
	heard bool
	// announced is the state that the backend server announces.
	announced announce.State
	// since is when the backend server began to serve.
	since time.Time
}

// stateFor returns the state that the agent announces.
func stateFor(now time.Time, c condition) member.State {
	switch {
	case c.stopping, c.drained, c.removed, !c.heard:
		return member.Draining
	case c.announced == announce.Draining:
		return member.Draining
	case c.announced == announce.Warming, now.Sub(c.since) < warmUp:
		return member.Warming
	default:
		return member.Serving
	}
}
