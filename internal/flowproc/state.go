package flowproc

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
	"github.com/almondledge/almondledge/internal/store"
)

const (
	// readTimeout bounds one read of the desired state from the store.
	readTimeout = 900 * time.Millisecond
	// fullReadPeriod is how often the full state is read although the store reports no change, to find
	// changes that the store failed to report.
	fullReadPeriod = 8 * time.Second
	// fetchRetryDelay is how long this process waits for a state from one process before it asks another.
	fetchRetryDelay = 250 * time.Millisecond
)

// readStore reads a newer desired state from the store.
func (c *core) readStore(ctx context.Context, begun time.Time) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, position, err := c.queryStore(readCtx, begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.storeFailed(err)
		return
	}
	if c.storeDown {
		c.storeDown = false
		c.log.event("platform's store is reachable again", fields{"revision": position.Revision})
	}
	if state.Version == 0 {
		c.follower.ReadUnchanged(begun)
	} else {
		if position.Epoch != c.position.Epoch || position.Revision > c.position.Revision {
			c.position = position
		}
		c.lastRead = begun
		if c.follower.ReadSucceeded(begun, state) {
			c.stateApplied("store", time.Since(begun))
		}
	}
	// Readers that receive this confirmation need not read the store themselves.
	sends, _ := c.node.SendVersion(c.readers())
	c.sendMembership(sends)
}

// queryStore reads changes since the last position. It reads the full state if the last full read
// was too long ago, if the store no longer has the changes or was restored from an earlier copy, or if the changes
// cannot be read: they may include items of other programs. It returns a zero state if nothing changed.
func (c *core) queryStore(ctx context.Context, now time.Time) (route.State, store.Position, error) {
	c.mu.Lock()
	position, lastRead := c.position, c.lastRead
	c.mu.Unlock()
	if position.Revision > 0 && now.Sub(lastRead) < fullReadPeriod {
		state, newest, err := c.opt.States.ReadChange(ctx, position)
		if !errkind.Is(err, errkind.Stale) && !errkind.Is(err, errkind.Invalid) {
			return state, newest, err
		}
	}
	return c.opt.States.ReadState(ctx)
}

// storeFailed handles a failed read of the store.
func (c *core) storeFailed(err error) {
	now := time.Now()
	c.follower.ReadFailed(now)
	if !c.storeDown {
		c.storeDown = true
		c.log.failure("lost the platform's store; the desired state stays unchanged", err, fields{"version": c.follower.Table().Version(), "age": c.follower.Age(now)})
	}
}

// fetchState fetches a newer desired state from another process.
func (c *core) fetchState(ctx context.Context, from netip.AddrPort) {
	begun := time.Now()
	have := c.table().Version()
	state, err := statesync.Fetch(ctx, c.opt.Network.DialTCP, from, have)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetchPendingUntil = time.Time{}
	if err != nil {
		c.metrics.fetchErrors.Inc()
		c.log.failure("cannot fetch a newer desired state", err, fields{logging.FieldPeer: from})
		return
	}
	if c.follower.Offer(state) {
		c.stateApplied(from.String(), time.Since(begun))
	}
}

// stateApplied logs a desired state that has just become active, passes it to the role and gossips
// its version.
func (c *core) stateApplied(source string, took time.Duration) {
	t := c.follower.Table()
	c.metrics.stateChanges.Inc()
	c.metrics.stateTime.Update(took.Seconds())
	c.log.event("desired state in force", fields{"version": t.Version(), "source": source, "took": took, "routes": len(t.State().Routes)})
	c.role.routesChanged(t)
	sends, _ := c.node.GossipVersion()
	c.sendMembership(sends)
}

// readerCount is the number of balancers that are immediately notified of each read of the store.
const readerCount = 4

// updateBalancerOrder adds an alive balancer to the order of reading the store, or removes one that is not
// alive.
func (c *core) updateBalancerOrder(addr netip.AddrPort, alive bool) {
	i, listed := slices.BinarySearchFunc(c.balancers, addr, netip.AddrPort.Compare)
	switch {
	case alive && !listed:
		c.balancers = slices.Insert(c.balancers, i, addr)
	case !alive && listed:
		c.balancers = slices.Delete(c.balancers, i, i+1)
	}
}

// readers returns the balancers that read the store before all others.
func (c *core) readers() []netip.AddrPort {
	return c.balancers[:min(readerCount, len(c.balancers))]
}

// rank returns the position of this process in the order of reading the store.
func (c *core) rank() int {
	if c.node.Self().Role == fleet.Agent {
		return statesync.AgentRank
	}
	position, _ := slices.BinarySearchFunc(c.balancers, c.cfg.Peer, netip.AddrPort.Compare)
	return position
}
