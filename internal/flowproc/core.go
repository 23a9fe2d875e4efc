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
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
	"github.com/almondledge/almondledge/internal/udpbatch"
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
	// joined and isolated are what was last logged of the other members.
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

// countStoreCalls lets all calls of the platform's store be counted.
func (c *core) countStoreCalls() {
	calls := storeCalls{set: c.metrics.telemetry.Set()}
	c.opt.States = countedStates{StateSource: c.opt.States, calls: calls}
	if c.opt.Roster != nil {
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
	sends, events := c.node.Tick(now)
	c.followFleet(ctx, now, sends, events)
	if c.board.Settle() {
		c.role.homesChanged()
	}
	c.role.tick(now)
	c.logPeers(now)
	if c.follower.ShouldRead(now) {
		go c.readStore(ctx, now)
	}
}

// logPeers logs that the other members were met, lost, or are heard again.
func (c *core) logPeers(now time.Time) {
	if joined := c.node.Joined(); joined != c.joined {
		c.joined = joined
		c.log.event("met other members", fields{"members": c.node.Len(), "since_start": now.Sub(c.started)})
	}
	isolated := c.node.Isolated(now)
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	if isolated {
		c.log.event("lost all other members; nobody is heard", fields{"members": c.node.Len()})
		return
	}
	c.log.event("other members are heard again", fields{"members": c.node.Len()})
}

// followFleet carries out what the membership decided.
func (c *core) followFleet(ctx context.Context, now time.Time, sends []fleet.Send, events []fleet.Event) {
	c.sendMembership(sends)
	for _, e := range events {
		c.handleEvent(ctx, now, e)
	}
}

func (c *core) sendMembership(sends []fleet.Send) {
	for _, s := range sends {
		datagram := make([]byte, 0, len(s.Payload)+1)
		datagram = append(datagram, byte(hop.TypeMembership))
		c.send(s.To, append(datagram, s.Payload...))
	}
}

// send writes one datagram to another member. What is lost is made up for by
// retransmissions of the flow or by later messages, so a failure is only counted.
func (c *core) send(to netip.AddrPort, datagram []byte) {
	c.metrics.peerBytes[datagram[0]].Add(len(datagram))
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
	case fleet.FellBehind:
		go c.fetchMembers(ctx, e.Member.Addr)
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

// readPeers takes datagrams of other members until ctx ends.
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
	c.followFleet(ctx, now, sends, events)
}

// leave tells the other members that this process is about to end.
func (c *core) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	sends, _ := c.node.Leave(time.Now())
	c.sendMembership(sends)
}

// SetSeeds replaces the members to contact first.
func (c *core) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.SetSeeds(seeds)
}
