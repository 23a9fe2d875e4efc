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
	// ownerTableSize bounds the flows whose agents a balancer caches: twice the flows of one
	// balancer in the largest planned deployment.
	ownerTableSize = 16384
	// discoveryTime is how long a balancer that has just started waits for members before it
	// refuses flows that it cannot place.
	discoveryTime = 1500 * time.Millisecond
	// BalancerDrainTime is how long a balancer keeps forwarding after it has reported that it is not ready.
	// The fabric takes it out of rotation after two failed checks.
	BalancerDrainTime = 2 * time.Second
)

// Balancer is a running balancer, which forwards callers' packets to agents.
type Balancer struct {
	*core
	cfg      BalancerConfig
	callers  udpbatch.Conn
	balancer *flowbalancer.Balancer
	buffer   []byte
	ready    bool
	// wasReady is set once this balancer has been ready.
	wasReady bool
	// early buffers callers' packets that arrived before this balancer was ready.
	early []earlyPacket
}

// earlyPacket is a caller's packet that arrived before this balancer was ready.
type earlyPacket struct {
	received time.Time
	raw      []byte
}

const (
	// maxEarly bounds the buffered packets, and earlyTime the time that they are kept, after which the caller
	// has retransmitted them.
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
	b.balancer = flowbalancer.New(cfg.Peer, opt.Codec, b.directory, ownerTableSize)
	b.addTable("owners", b.balancer.Flows, ownerTableSize)
	b.addTable("early_packets", func() int { return len(b.early) }, maxEarly)
	b.callers, err = opt.Network.ListenUDP(cfg.Callers)
	return b, err
}

// Run forwards packets until ctx ends, or until BalancerDrainTime after drain ends.
func (b *Balancer) Run(ctx, drain context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	b.start(ctx, group)
	closeAtEnd(ctx, b.callers)
	group.Go(func() error { return b.readCallers(ctx) })
	group.Go(func() error {
		b.keepRosterEntry(ctx)
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

// waitFor waits for d or until ctx ends.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readCallers reads callers' packets until ctx ends.
func (b *Balancer) readCallers(ctx context.Context) error {
	reader := b.callers.NewReader()
	for {
		count, err := reader.Read()
		if err != nil {
			return readError(ctx, err, "cannot read from the socket for callers' packets")
		}
		b.mu.Lock()
		now := time.Now()
		for i := range count {
			b.handleCaller(now, reader.Datagram(i))
		}
		b.mu.Unlock()
	}
}

// handleCaller forwards or refuses a caller's packet, or buffers it while this balancer is not
// ready yet.
func (b *Balancer) handleCaller(now time.Time, raw []byte) {
	d := b.balancer.HandlePacket(now, raw, b.buffer)
	if d.Outcome == flowbalancer.NotReady && !b.ready && len(b.early) < maxEarly && now.Sub(b.started) < discoveryTime {
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

// logDecision logs a decision to place, reroute or refuse a flow, to send a copy of an opening packet to the
// owner of its flow, or to drop a packet because this balancer is not ready.
func (b *Balancer) logDecision(now time.Time, d *flowbalancer.Decision) {
	switch d.Outcome {
	case flowbalancer.Followed:
		if d.Service != "" {
			b.log.flow(now, d.Key, d.Outcome.String(), true, fields{
				"to": d.To, logging.FieldService: d.Service, "version": b.follower.Table().Version(), "owner_age": d.OwnerAge,
			})
		}
	case flowbalancer.Placed:
		b.log.flow(now, d.Key, d.Outcome.String(), false, fields{
			"to": d.To, logging.FieldService: d.Service, "version": b.follower.Table().Version(),
			"state_age": b.follower.Age(now), "agents": len(b.directory.Agents(d.Service)), "busy": b.directory.RequestsPerSlot(d.To),
		})
	case flowbalancer.Rerouted:
		b.log.flow(now, d.Key, d.Outcome.String(), true, fields{"to": d.To, "unanswered_by": d.Unresponsive, logging.FieldService: d.Service})
	case flowbalancer.NoRoute, flowbalancer.NoBackend, flowbalancer.NotReady:
		b.log.flow(now, d.Key, d.Outcome.String(), true, fields{
			logging.FieldService: d.Service, "version": b.follower.Table().Version(),
			"state_age": b.follower.Age(now), "agents": len(b.directory.Agents(d.Service)),
		})
	}
}

// reply sends a packet to a caller. Retransmissions of the flow make up for a lost packet.
func (c *core) reply(caller flow.Endpoint, packet []byte) {
	to := netip.AddrPortFrom(netip.AddrFrom4(caller.IP), c.cfg.CallerPort)
	if err := c.peer.WriteTo(packet, to); err != nil {
		c.metrics.sendErrors.Inc()
	}
}

func (*Balancer) homeAgentsChanged() {}

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
	b.updateReadiness(now)
	if b.ready && len(b.early) > 0 {
		early := b.early
		b.early = nil
		for _, p := range early {
			if now.Sub(p.received) < earlyTime {
				b.handleCaller(now, p.raw)
			}
		}
	}
}

// updateReadiness determines whether this balancer is ready for callers' packets, and whether it
// may refuse flows that it cannot place.
func (b *Balancer) updateReadiness(now time.Time) {
	waited := now.Sub(b.started) >= discoveryTime
	// Without a reachable agent this balancer can serve no flow, but other balancers may: callers' copies of
	// opening packets reach those balancers once the fabric has taken this one out of rotation.
	canServe := b.directory.HasAliveAgents() && !b.node.Isolated(now)
	ready := b.follower.Table() != nil && !b.leaving && canServe && (b.ready || b.everyServiceHasAgent() || waited)
	b.balancer.SetConverged((waited || b.ready) && canServe)
	if ready != b.ready {
		b.ready = ready
		if ready && !b.wasReady {
			b.wasReady = true
			b.metrics.readyTime.Update(now.Sub(b.started).Seconds())
		}
		b.log.event("readiness changed", fields{"ready": ready, "version": b.follower.Table().Version(), "since_start": now.Sub(b.started)})
	}
}

// everyServiceHasAgent reports whether each service with a weight in a route has an agent that
// accepts flows.
func (b *Balancer) everyServiceHasAgent() bool {
	if !b.node.Joined() {
		return false
	}
	for _, r := range b.follower.Table().State().Routes {
		for _, share := range r.Shares {
			if share.Weight > 0 && !b.hasAcceptingAgent(share.Service) {
				return false
			}
		}
	}
	return true
}

// hasAcceptingAgent reports whether any agent of a service accepts new flows.
func (b *Balancer) hasAcceptingAgent(service string) bool {
	for _, m := range b.directory.Agents(service) {
		if m.AcceptsFlows() {
			return true
		}
	}
	return false
}

// Ready returns nil if the process is ready for its packets, and otherwise an error with the
// reason.
func (c *core) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leaving:
		return telemetry.NotReady("the process is leaving", "none needed")
	case c.follower.Table() == nil:
		return telemetry.NotReady("no desired state has been received yet", "check the platform's store and the seeds")
	}
	if b, ok := c.role.(*Balancer); ok && !b.ready {
		return telemetry.NotReady("no agent is reachable, or some service has no agent that accepts flows", "check the network of this instance and the agents' logs")
	}
	return nil
}
