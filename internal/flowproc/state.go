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
)

const (
	// readTimeout bounds one read of the desired state from the store.
	readTimeout = 900 * time.Millisecond
	// fullReadPeriod is how often a state is read in full although the store reports
	// no change: a report that leaves one out must not go unnoticed for long.
	fullReadPeriod = 8 * time.Second
	// fetchPatience is how long one process is waited for before another is asked for
	// a newer state.
	fetchPatience = 250 * time.Millisecond
)

// readStore asks the store for a newer desired state.
func (c *core) readStore(ctx context.Context, begun time.Time) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, revision, err := c.askStore(readCtx, begun)
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
		c.log.event("platform's store answers again", fields{"revision": revision})
	}
	if state.Version == 0 {
		c.follower.ReadUnchanged(begun)
	} else {
		c.revision, c.lastRead = max(c.revision, revision), begun
		if c.follower.ReadSucceeded(begun, state) {
			c.stateInForce("store", time.Since(begun))
		}
	}
	// The other readers need not read now.
	sends, _ := c.node.SendVersion(c.readers())
	c.sendMembership(sends)
}

// askStore asks for a change, or reads the whole state if none was read for long
// or the store has forgotten the changes. It returns a zero state when there is no change.
func (c *core) askStore(ctx context.Context, now time.Time) (route.State, int64, error) {
	c.mu.Lock()
	revision, lastRead := c.revision, c.lastRead
	c.mu.Unlock()
	if revision > 0 && now.Sub(lastRead) < fullReadPeriod {
		state, newest, err := c.opt.States.ReadChange(ctx, revision)
		if !errkind.Is(err, errkind.Stale) {
			return state, newest, err
		}
	}
	return c.opt.States.ReadState(ctx)
}

// storeFailed follows a failed call of the store.
func (c *core) storeFailed(err error) {
	now := time.Now()
	c.follower.ReadFailed(now)
	if !c.storeDown {
		c.storeDown = true
		c.log.failure("lost the platform's store; the state in force stays", err, fields{"version": c.follower.Table().Version(), "age": c.follower.Age(now)})
	}
}

// fetchState gets a newer desired state from another process.
func (c *core) fetchState(ctx context.Context, from netip.AddrPort) {
	begun := time.Now()
	have := c.table().Version()
	state, err := statesync.Fetch(ctx, c.opt.Network.DialTCP, from, have)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = time.Time{}
	if err != nil {
		c.metrics.fetchErrors.Inc()
		c.log.failure("cannot fetch a newer desired state", err, fields{logging.FieldPeer: from})
		return
	}
	if c.follower.Offer(state) {
		c.stateInForce(from.String(), time.Since(begun))
	}
}

// stateInForce follows a new desired state.
func (c *core) stateInForce(source string, took time.Duration) {
	t := c.follower.Table()
	c.metrics.stateChanges.Inc()
	c.metrics.stateTime.Update(took.Seconds())
	c.log.event("desired state in force", fields{"version": t.Version(), "source": source, "took": took, "routes": len(t.State().Routes)})
	c.role.routesChanged(t)
	sends, _ := c.node.GossipVersion()
	c.sendMembership(sends)
}

// readerCount is the number of balancers that hear at once of each read of the store.
const readerCount = 4

// orderBalancer puts a balancer in its place in the order of reading the store, or
// takes it out.
func (c *core) orderBalancer(addr netip.AddrPort, alive bool) {
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

// rank returns the place of this process in the order of reading the store.
func (c *core) rank() int {
	if c.node.Self().Role == fleet.Agent {
		return statesync.AgentRank
	}
	place, _ := slices.BinarySearchFunc(c.balancers, c.cfg.Peer, netip.AddrPort.Compare)
	return place
}
