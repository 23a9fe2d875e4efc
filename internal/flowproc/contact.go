package flowproc

import (
	"context"
	"errors"
	"time"

	"github.com/almondledge/almondledge/internal/roster"
)

const (
	// rosterTimeout bounds one read of the rosters at the start.
	rosterTimeout = time.Second
	// rosterRetry is the pause after a failed read.
	rosterRetry = 300 * time.Millisecond
	// firstStartTime is how long a process waits for the seeds at the first start of a deployment, because
	// the rosters are still empty.
	firstStartTime = time.Second
	// rosterFirstCheck is the time within which a new balancer first checks its roster and adds its own
	// address.
	rosterFirstCheck = 3 * time.Second
)

// contactRoster adds the balancers in the rosters to the seeds. The seeds may all be down, or start
// later than this process; even after a loss of all processes the rosters still list the balancers
// that ran before.
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
		contacts, err := roster.Contacts(readCtx, c.opt.Roster, roster.AllDataCentres, nil)
		cancel()
		c.mu.Lock()
		c.node.AddSeeds(contacts)
		c.mu.Unlock()
		if errors.Is(err, roster.ErrDamaged) {
			c.log.failure("roster has entries of another program; they are left out", err, fields{"contacts": len(contacts)})
			return // reading them again would only load the store
		}
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

// keepRosterEntry keeps this balancer in the roster of its data centre.
func (c *core) keepRosterEntry(ctx context.Context) {
	if c.opt.Roster == nil {
		return
	}
	roster.Run(ctx, roster.Config{
		Store: c.opt.Roster, DataCentre: c.cfg.DataCentre, Self: c.cfg.Peer,
		FirstCheck: rosterFirstCheck, Restored: c.opt.Restored, Log: c.opt.Log,
	})
}
