package flowproc

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

const (
	// readTimeout bounds one read of the desired state from the store.
	readTimeout = 900 * time.Millisecond
	// fullReadPeriod is how often a state is read in full although the store reports
	// no change: a broken wait for changes must not go unnoticed for long.
	fullReadPeriod = 8 * time.Second
	// fetchPatience is how long one process is waited for before another is asked for
	// a newer state.
	fetchPatience = 250 * time.Millisecond
)

// role is the part of a process that differs between balancers and agents. Its
// methods are called with core.mu held.
type role interface {
	// homesChanged follows a change of the homes of flows.
	homesChanged()
	// routesChanged follows a new desired state.
	routesChanged(t *route.Table)
	// handlePeer takes a datagram of another member that is not about membership.
	handlePeer(now time.Time, from netip.AddrPort, datagram []byte)
	// tick lets time pass.
	tick(now time.Time)
}

// core is what balancers and agents have in common: membership, the desired state
// and the sockets between processes.
//
// The lock mu guards all decisions of the process and is held for one decision. It
// is not held while reading sockets, dialing or waiting; writes to UDP sockets do
// not wait. No other lock is taken under it except that of the logger's buffer.
type core struct {
	cfg     Common
	opt     Options
	peer    udpbatch.Conn
	streams net.Listener
	metrics *counters
	log     *eventLog
	role    role

	mu       sync.Mutex
	node     *fleet.Node
	board    *placement.Board
	follower *statesync.Follower
	// revision is the store's revision of the newest state read here, and lastRead when
	// that state was last read in full.
	revision int64
	lastRead time.Time
	// balancers are the balancers that are alive, in the order of reading the store.
	balancers []netip.AddrPort
	// fetching is until when no second process is asked for a state.
	fetching  time.Time
	storeDown bool
	leaving   bool
	started   time.Time
}

// newCore binds the sockets between processes.
func newCore(cfg Common, opt Options, self fleet.Member) (*core, error) {
	now := time.Now()
	rank := statesync.AgentRank
	if self.Role == fleet.Balancer {
		rank = 0
	}
	c := &core{
		cfg:      cfg,
		opt:      opt,
		log:      newEventLog(opt),
		board:    placement.NewBoard(now, cfg.Peer, cfg.DataCentre, opt.Rand),
		follower: statesync.NewFollower(now, rank, opt.Rand),
		started:  now,
	}
	self.Addr = cfg.Peer
	self.DataCentre = cfg.DataCentre
	self.Incarnation = uint64(now.UnixMilli())
	c.node = fleet.New(now, fleet.Config{
		Self:  self,
		Seeds: cfg.Seeds,
		Rand:  opt.Rand,
		Version: func() (uint64, time.Duration) {
			return c.follower.Table().Version(), c.follower.Age(time.Now())
		},
		Load: func() fleet.Load { return fleet.Load{} },
	})
	c.metrics = newCounters(c)
	var err error
	if c.peer, err = opt.Network.ListenUDP(cfg.Peer); err != nil {
		return nil, err
	}
	if c.streams, err = opt.Network.ListenTCP(cfg.Peer); err != nil {
		return nil, err
	}
	return c, nil
}

// start adds the goroutines of the core to group; they end with ctx.
func (c *core) start(ctx context.Context, group *errgroup.Group) {
	closeAtEnd(ctx, c.peer)
	closeAtEnd(ctx, c.streams)
	group.Go(func() error { return c.readPeers(ctx) })
	group.Go(func() error {
		statesync.Serve(c.streams, c.table)
		return nil
	})
	group.Go(func() error { return c.tickLoop(ctx) })
	group.Go(func() error {
		c.contactRoster(ctx)
		return nil
	})
}

// closeAtEnd closes a socket when ctx ends, which ends the reads of it. An error of
// closing is of no use to anybody then.
func closeAtEnd(ctx context.Context, socket io.Closer) {
	context.AfterFunc(ctx, func() { _ = socket.Close() })
}

// table returns the desired state in force, or nil.
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
	c.applyFleet(ctx, now)(c.node.Tick(now))
	if c.board.Settle() {
		c.role.homesChanged()
	}
	c.role.tick(now)
	if c.follower.ShouldRead(now) {
		go c.readStore(ctx, now)
	}
}

// applyFleet returns a function that carries out what the membership decided.
func (c *core) applyFleet(ctx context.Context, now time.Time) func([]fleet.Send, []fleet.Event) {
	return func(sends []fleet.Send, events []fleet.Event) {
		for _, s := range sends {
			c.sendMembership(s)
		}
		for _, e := range events {
			c.handleEvent(ctx, now, e)
		}
	}
}

func (c *core) sendMembership(s fleet.Send) {
	datagram := make([]byte, 0, len(s.Payload)+1)
	datagram = append(datagram, byte(hop.TypeMembership))
	c.send(s.To, append(datagram, s.Payload...))
}

// send writes one datagram to another member. What is lost is made up for by
// retransmissions of the flow or by later messages, so a failure is only counted.
func (c *core) send(to netip.AddrPort, datagram []byte) {
	c.metrics.peerBytes.Add(len(datagram))
	if err := c.peer.WriteTo(datagram, to); err != nil {
		c.metrics.sendErrors.Inc()
	}
}

func (c *core) handleEvent(ctx context.Context, now time.Time, e fleet.Event) {
	switch e.Kind {
	case fleet.MemberChanged:
		c.log.member(e.Member)
		c.memberChanged(now, e.Member)
	case fleet.SelfChanged:
		c.memberChanged(now, e.Member)
	case fleet.MemberForgotten:
		c.board.Forget(e.Member.Addr)
	case fleet.Frozen:
		c.log.event("process stood still", fields{"gap": e.Gap})
	case fleet.Refuted:
		c.log.event("objected to an older or false statement about this process", fields{"incarnation": e.Member.Incarnation, "held": e.Member.Liveness})
	case fleet.LoadReported:
		c.board.Report(e.Member.Addr, e.Load.Flows, e.Load.Active)
	case fleet.VersionReported:
		c.follower.Heard(now, e.Version, e.Age)
		if e.Version > c.follower.Table().Version() && !now.Before(c.fetching) {
			c.fetching = now.Add(fetchPatience)
			go c.fetchState(ctx, e.Member.Addr)
		}
	}
}

// memberChanged follows a new statement about a member.
func (c *core) memberChanged(now time.Time, m fleet.Member) {
	c.board.Apply(now, m)
	if m.Role == fleet.Balancer {
		c.orderBalancer(m.Addr, m.Liveness == fleet.Alive)
	}
	c.follower.SetRank(c.rank(), c.node.Len())
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

func (c *core) readPeers(ctx context.Context) error {
	reader := c.peer.NewReader()
	for {
		count, err := reader.Read()
		if err != nil {
			return readError(ctx, err, "cannot read the socket between processes")
		}
		c.mu.Lock()
		now := time.Now()
		for i := range count {
			c.handleDatagram(ctx, now, reader.From(i), reader.Datagram(i))
		}
		c.mu.Unlock()
	}
}

// readError returns why the reads of a socket ended, or nil if the process ends.
func readError(ctx context.Context, cause error, message string) error {
	if ctx.Err() == nil {
		return errkind.Wrap(cause, errkind.Unavailable, message, "check that the address belongs to this instance")
	}
	return nil
}

func (c *core) handleDatagram(ctx context.Context, now time.Time, from netip.AddrPort, datagram []byte) {
	if len(datagram) == 0 {
		c.metrics.badDatagrams.Inc()
		return
	}
	if hop.Type(datagram[0]) != hop.TypeMembership {
		c.role.handlePeer(now, from, datagram)
		return
	}
	sends, events, err := c.node.Handle(now, from, datagram[1:])
	if err != nil {
		c.metrics.badDatagrams.Inc()
		return
	}
	c.applyFleet(ctx, now)(sends, events)
}

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
	c.metrics.storeReads.Inc()
	c.metrics.storeTime.Update(time.Since(begun).Seconds())
	if c.storeDown {
		c.storeDown = false
		c.log.event("platform's store answers again", fields{"revision": revision})
	}
	if state.Version == 0 {
		c.follower.Unchanged(begun)
	} else {
		c.revision, c.lastRead = max(c.revision, revision), begun
		if c.follower.Read(begun, state) {
			c.stateInForce("store", time.Since(begun))
		}
	}
	// The other readers need not read now.
	sends, _ := c.node.Tell(c.readers())
	for _, s := range sends {
		c.sendMembership(s)
	}
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
	c.metrics.storeErrors.Inc()
	c.follower.Failed(now)
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
	sends, _ := c.node.Announce()
	for _, s := range sends {
		c.sendMembership(s)
	}
}

// leave tells the other members that this process is about to end.
func (c *core) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	sends, _ := c.node.Leave(time.Now())
	for _, s := range sends {
		c.sendMembership(s)
	}
}

// SetSeeds replaces the members to contact first.
func (c *core) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.SetSeeds(seeds)
}
