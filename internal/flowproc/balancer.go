package flowproc

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowbalancer"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/telemetry"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

const (
	// ownerTableSize bounds the flows whose agents a balancer remembers: twice the
	// flows of one balancer at the size to design for.
	ownerTableSize = 16384
	// settleTime is how long a balancer that has just started waits for members before
	// it refuses flows that it cannot place.
	settleTime = 1500 * time.Millisecond
	// BalancerDrainTime is how long a balancer goes on forwarding after it has said that
	// it is not ready: the fabric notices after two missed checks.
	BalancerDrainTime = 2 * time.Second
)

// Balancer is a running balancer of callers' flows.
type Balancer struct {
	*core
	cfg      BalancerConfig
	callers  udpbatch.Conn
	balancer *flowbalancer.Balancer
	buffer   []byte
	ready    bool
	// wasReady is set once this balancer has been ready.
	wasReady bool
	// early holds callers' packets that came before this balancer knew where to send them.
	early []earlyPacket
}

// earlyPacket is a caller's packet that waits for this balancer to know its way.
type earlyPacket struct {
	at  time.Time
	raw []byte
}

const (
	// maxEarly bounds the packets that wait, and earlyTime how long they do; callers
	// send copies after that.
	maxEarly  = 512
	earlyTime = 180 * time.Millisecond
)

// NewBalancer binds the sockets of a balancer.
func NewBalancer(cfg BalancerConfig, opt Options) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, buffer: make([]byte, 0, udpbatch.MaxDatagram)}
	var err error
	if b.core, err = newCore(cfg.Common, opt, fleet.Member{Role: fleet.Balancer}); err != nil {
		return nil, err
	}
	b.role = b
	b.metrics.setOutcomes(flowbalancer.Outcomes[:])
	b.balancer = flowbalancer.New(cfg.Peer, opt.Codec, b.board, ownerTableSize)
	b.addTable("owners", b.balancer.Flows, ownerTableSize)
	b.addTable("early_packets", func() int { return len(b.early) }, maxEarly)
	b.callers, err = opt.Network.ListenUDP(cfg.Callers)
	return b, err
}

// Run forwards packets until ctx ends, or until some time after drain ends.
func (b *Balancer) Run(ctx, drain context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	b.start(ctx, group)
	closeAtEnd(ctx, b.callers)
	group.Go(func() error { return b.readCallers(ctx) })
	group.Go(func() error {
		b.holdRosterPlace(ctx)
		return nil
	})
	group.Go(func() error { return b.serveMetrics(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-drain.Done():
			b.leave()
			b.log.event("leaving", fields{"drain_time": BalancerDrainTime})
			waitFor(ctx, BalancerDrainTime)
		}
		cancel()
		return nil
	})
	b.log.event("started", fields{"callers": b.cfg.Callers, "seeds": b.cfg.Seeds})
	err := group.Wait()
	b.log.event("stopped", fields{})
	return err
}

// waitFor waits for d or the end of ctx.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readCallers takes callers' packets until ctx ends.
func (b *Balancer) readCallers(ctx context.Context) error {
	reader := b.callers.NewReader()
	for {
		count, err := reader.Read()
		if err != nil {
			return readError(ctx, err, "cannot read the callers' socket")
		}
		b.mu.Lock()
		now := time.Now()
		for i := range count {
			b.handleCaller(now, reader.Datagram(i))
		}
		b.mu.Unlock()
	}
}

// handleCaller forwards or refuses a caller's packet, or keeps it while this balancer
// does not know its way yet.
func (b *Balancer) handleCaller(now time.Time, raw []byte) {
	d := b.balancer.HandlePacket(now, raw, b.buffer)
	if d.Outcome == flowbalancer.NotReady && !b.ready && len(b.early) < maxEarly && now.Sub(b.started) < settleTime {
		b.early = append(b.early, earlyPacket{now, bytes.Clone(raw)})
	}
	b.metrics.outcomes[d.Outcome].Inc()
	if d.To.IsValid() {
		b.send(d.To, d.Forward)
	}
	if d.Reset != nil {
		b.reply(d.Key.Caller, d.Reset)
	}
	if d.Unresponsive.IsValid() {
		b.node.Probe(now, d.Unresponsive)
		sends, _ := b.node.Flush()
		b.sendMembership(sends)
	}
	b.logDecision(now, &d)
}

// logDecision writes a line about an opening packet.
func (b *Balancer) logDecision(now time.Time, d *flowbalancer.Decision) {
	switch d.Outcome {
	case flowbalancer.Placed:
		b.log.flow(now, d.Key, d.Outcome.String(), false, fields{
			"to": d.To, logging.FieldService: d.Service, "version": b.follower.Table().Version(),
			"state_age": b.follower.Age(now), "agents": len(b.board.Agents(d.Service)), "busy": b.board.RequestsPerSlot(d.To),
		})
	case flowbalancer.Rerouted:
		b.log.flow(now, d.Key, d.Outcome.String(), true, fields{"to": d.To, "unanswered_by": d.Unresponsive, logging.FieldService: d.Service})
	case flowbalancer.NoRoute, flowbalancer.NoBackend, flowbalancer.NotReady:
		b.log.flow(now, d.Key, d.Outcome.String(), true, fields{
			logging.FieldService: d.Service, "version": b.follower.Table().Version(),
			"state_age": b.follower.Age(now), "agents": len(b.board.Agents(d.Service)),
		})
	}
}

// reply sends a packet to a caller. Its end of the flow makes up for a lost one.
func (c *core) reply(caller flow.Endpoint, packet []byte) {
	to := netip.AddrPortFrom(netip.AddrFrom4(caller.IP), c.cfg.CallerPort)
	if err := c.peer.WriteTo(packet, to); err != nil {
		c.metrics.sendErrors.Inc()
	}
}

func (*Balancer) homesChanged() {}

func (b *Balancer) routesChanged(t *route.Table) { b.balancer.SetRoutes(t) }

func (b *Balancer) handlePeer(now time.Time, from netip.AddrPort, datagram []byte) {
	n, err := hop.DecodeNotice(datagram)
	if err != nil {
		b.metrics.badDatagrams.Inc()
		return
	}
	b.balancer.HandleNotice(now, from, n)
}

func (b *Balancer) tick(now time.Time) {
	b.settle(now)
	if b.ready && len(b.early) > 0 {
		early := b.early
		b.early = nil
		for _, p := range early {
			if now.Sub(p.at) < earlyTime {
				b.handleCaller(now, p.raw)
			}
		}
	}
}

// settle finds out whether enough is known to take callers' packets, and to refuse flows.
func (b *Balancer) settle(now time.Time) {
	waited := now.Sub(b.started) >= settleTime
	// Cut off from all agents, this balancer can serve nobody, but others may: callers'
	// copies of opening packets will reach them once the fabric has noticed.
	useful := b.board.HasAliveAgents() && !b.node.Isolated(now)
	ready := b.follower.Table() != nil && !b.leaving && useful && (b.ready || b.knowsEnough() || waited)
	b.balancer.SetConverged((waited || b.ready) && useful)
	if ready != b.ready {
		b.ready = ready
		if ready && !b.wasReady {
			b.wasReady = true
			b.metrics.readyTime.Update(now.Sub(b.started).Seconds())
		}
		b.log.event("readiness changed", fields{"ready": ready, "version": b.follower.Table().Version(), "since_start": now.Sub(b.started)})
	}
}

// knowsEnough reports whether each service with a route has a willing agent.
func (b *Balancer) knowsEnough() bool {
	if !b.node.Joined() {
		return false
	}
	for _, r := range b.follower.Table().State().Routes {
		for _, share := range r.Shares {
			if share.Weight > 0 && !b.anyWilling(share.Service) {
				return false
			}
		}
	}
	return true
}

// anyWilling reports whether any agent of a service takes new flows.
func (b *Balancer) anyWilling(service string) bool {
	for _, m := range b.board.Agents(service) {
		if m.AcceptsFlows() {
			return true
		}
	}
	return false
}

// Ready returns nil if the balancer takes callers' packets.
func (c *core) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaving:
		return telemetry.NotReady("the process is leaving", "none needed")
	case c.follower.Table() == nil:
		return telemetry.NotReady("no desired state is in force", "check the platform's store and the seeds")
	}
	if b, ok := c.role.(*Balancer); ok && !b.ready {
		return telemetry.NotReady("no agent answers, or some service has no willing one", "check the network of this instance and the agents' logs")
	}
	return nil
}
