package flowproc

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

// role is the part of a process that differs between balancers and agents. Its methods are called
// with core.mu held.
type role interface {
	// homeAgentsChanged is called when the home agents of some flows have changed.
	homeAgentsChanged()
	// routesChanged is called when a new desired state has become active.
	routesChanged(t *route.Table)
	// handlePeer processes a datagram of another member, other than membership messages.
	handlePeer(now time.Time, from netip.AddrPort, datagram []byte)
	// tick runs the timers of the role.
	tick(now time.Time)
}

// core is the part that balancers and agents share: membership, the desired state and the sockets
// between processes.
//
// The lock mu guards all state of the process and is held for one decision at a time. It is not held while
// reading sockets, dialing or waiting; writes to UDP sockets do not block. While it is held, no other lock is
// taken except the lock of the log buffer.
type core struct {
	cfg     Common
	opt     Options
	peer    udpbatch.Conn
	streams net.Listener
	metrics *counters
	log     *eventLog
	role    role

	mu        sync.Mutex
	node      *fleet.Node
	directory *placement.Directory
	follower  *statesync.Follower
	// position is the position in the store of the newest state that this process has read, and lastRead
	// when it last read a full state.
	position store.Position
	lastRead time.Time
	// balancers lists the alive balancers in the order of reading the store.
	balancers []netip.AddrPort
	// fetchPendingUntil is the time before which this process does not ask another process for a state.
	fetchPendingUntil time.Time
	storeDown         bool
	// joined and isolated are the values that were last logged.
	joined, isolated bool
	leaving          bool
	started          time.Time
}

// newCore binds the sockets between processes.
func newCore(cfg Common, opt Options, self fleet.Member) (*core, error) {
	now := time.Now()
	rank := statesync.AgentRank
	if self.Role == fleet.Balancer {
		rank = 0
	}
	c := &core{
		cfg:       cfg,
		opt:       opt,
		log:       newEventLog(opt),
		directory: placement.NewDirectory(now, cfg.Peer, cfg.DataCentre, opt.Rand),
		follower:  statesync.NewFollower(now, rank, opt.Rand),
		started:   now,
	}
	self.Addr = cfg.Peer
	self.DataCentre = cfg.DataCentre
	self.Incarnation = uint64(now.UnixMilli())
	if err := self.Validate(); err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "settings make a record that other processes would leave out", "shorten the names in the settings, and give an IPv4 address")
	}
	c.node = fleet.New(now, fleet.Config{
		Self:  self,
		Seeds: cfg.Seeds,
		Rand:  opt.Rand,
		Version: func() (uint64, time.Duration) {
			return c.follower.Table().Version(), c.follower.Age(time.Now())
		},
		Load: func() fleet.Load { return fleet.Load{} },
	})
	c.directory.SetView(false, false)
	c.metrics = newCounters(c)
	c.countStoreCalls()
	var err error
	if c.peer, err = opt.Network.ListenUDP(cfg.Peer); err != nil {
		return nil, err
	}
	if c.streams, err = opt.Network.ListenTCP(cfg.Peer); err != nil {
		return nil, err
	}
	return c, nil
}

// countStoreCalls wraps the clients of the store so that their calls are counted.
func (c *core) countStoreCalls() {
	calls := storeCalls{set: c.metrics.telemetry.Set()}
	c.opt.States = countedStates{StateSource: c.opt.States, calls: calls}
	if c.opt.Roster != nil {
		if c.opt.RosterReader == nil {
			c.opt.RosterReader = c.opt.Roster
		}
		c.opt.RosterReader = countedReader{Reader: c.opt.RosterReader, calls: calls}
		c.opt.Roster = countedRoster{Store: c.opt.Roster, calls: calls}
	}
}

// start adds the goroutines of the core to group; they end with ctx.
func (c *core) start(ctx context.Context, group *errgroup.Group) {
	closeAtEnd(ctx, c.peer)
	closeAtEnd(ctx, c.streams)
	group.Go(func() error { return c.readPeers(ctx) })
	group.Go(func() error {
		statesync.Serve(c.streams, source{c})
		return nil
	})
	group.Go(func() error { return c.tickLoop(ctx) })
	group.Go(func() error {
		c.discoverBalancers(ctx)
		return nil
	})
}

// closeAtEnd closes a socket when ctx ends, which ends the reads from it. An error of Close is ignored, since
// no caller could act on it.
func closeAtEnd(ctx context.Context, socket io.Closer) {
	context.AfterFunc(ctx, func() { _ = socket.Close() })
}

// table returns the active desired state, or nil.
func (c *core) table() *route.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Table()
}

func (c *core) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(fleet.TickPeriod)
	defer ticker.Stop()
	c.tick(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

func (c *core) tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sends, events := c.node.Tick(now)
	c.applyMembership(ctx, now, sends, events)
	if c.directory.UpdateHomes() {
		c.role.homeAgentsChanged()
	}
	c.role.tick(now)
	c.logConnectivity(now)
	if c.follower.ShouldRead(now) {
		go c.readStore(ctx, now)
	}
}
