package flowproc

import (
	"context"
	"time"

	"github.com/almondledge/almondledge/internal/roster"
)

const (
	// rosterTimeout bounds the read of the rosters at start.
	rosterTimeout = time.Second
	// rosterRetry is the pause after a read that failed.
	rosterRetry = 300 * time.Millisecond
	// firstStartTime is how long a process waits for the seeds when rosters cannot hold
	// anything yet.
	firstStartTime = time.Second
	// rosterFirstLook is the time within which a balancer enters itself.
	rosterFirstLook = 3 * time.Second
)

// contactRoster adds the balancers of the rosters to the seeds. The seeds may all be
// down, or start later than this process; after the loss of everything the rosters
// still name all that ran before.
func (c *core) contactRoster(ctx context.Context) {
	if c.opt.Roster == nil {
		return
	}
	if c.cfg.FirstStart {
		waitFor(ctx, firstStartTime)
		if c.hasJoined() {
			return
		}
	}
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, rosterTimeout)
		contacts, err := roster.Contacts(readCtx, c.opt.Roster, roster.EveryDataCentre, nil)
		cancel()
		c.mu.Lock()
		c.node.AddSeeds(contacts)
		c.mu.Unlock()
		if err == nil || c.hasJoined() {
			c.log.event("roster read", fields{"contacts": len(contacts)})
			return
		}
		waitFor(ctx, rosterRetry)
	}
}

// hasJoined reports whether another member has answered.
func (c *core) hasJoined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Joined()
}

// holdRosterPlace keeps this balancer in the roster of its data centre.
func (c *core) holdRosterPlace(ctx context.Context) {
	if c.opt.Roster == nil {
		return
	}
	roster.Run(ctx, roster.Config{
		Store: c.opt.Roster, DataCentre: c.cfg.DataCentre, Self: c.cfg.Peer,
		FirstLook: rosterFirstLook, Log: c.opt.Log,
	})
}
