package flowproc

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowagent"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

const (
	// claimRefreshPeriod is the minimum time between two passes over all flows. After a change of members, a
	// pass sends ownership claims to new home agents.
	claimRefreshPeriod = 100 * time.Millisecond
	// agentDrainTime is how long a stopping agent still forwards packets, so that balancers learn of its
	// leave before it ends.
	agentDrainTime = 250 * time.Millisecond
)

// Agent is a running agent, which serves one backend server.
type Agent struct {
	*core
	cfg         AgentConfig
	fromBackend udpbatch.Conn
	agent       *flowagent.Agent
	reports     *flowagent.ReportTracker
	// badReports counts the reports and leave messages that describe no backend server, or another one.
	badReports       *metrics.Counter
	refreshClaims    bool
	nextClaimRefresh time.Time
}

// NewAgent binds the sockets of an agent.
func NewAgent(cfg AgentConfig, opt Options) (*Agent, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	identity := flowagent.Identity{Service: cfg.Service, Addr: cfg.Backend, DataCentre: cfg.DataCentre}
	a := &Agent{cfg: cfg, reports: flowagent.NewReportTracker(identity)}
	self := fleet.Member{Role: fleet.Agent, Backend: fleet.Backend{Service: cfg.Service}}
	var err error
	if a.core, err = newCore(cfg.Common, opt, self); err != nil {
		return nil, err
	}
	a.role = a
	a.metrics.setOutcomes(flowagent.Outcomes[:])
	a.badReports = a.metrics.telemetry.Set().NewCounter("almondledge_bad_reports_total")
	a.agent = flowagent.New(time.Now(), flowagent.Config{
		Self: cfg.Peer, Service: cfg.Service, FlowLifetime: cfg.FlowLifetime, Codec: opt.Codec, Directory: a.directory,
	})
	a.node.SetLoad(a.agent.Load)
	a.registerGauges()
	a.fromBackend, err = opt.Network.ListenUDP(cfg.FromBackend)
	return a, err
}

func (a *Agent) registerGauges() {
	for _, t := range a.agent.Tables() {
		a.addTable(t.Name, t.Entries, t.Limit)
	}
	a.addGauge("almondledge_open_flows", func() int { return int(a.agent.Load().Flows) })
	a.addGauge("almondledge_backend_avoided", func() int {
		if a.agent.Avoided() {
			return 1
		}
		return 0
	})
	a.addGauge("almondledge_active_requests", func() int { return int(a.agent.Load().Active) })
}

// Run forwards packets until ctx ends, or until agentDrainTime after drain ends.
func (a *Agent) Run(ctx, drain context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	a.start(ctx, group)
	closeAtEnd(ctx, a.fromBackend)
	group.Go(func() error { return a.readBackend(ctx) })
	group.Go(func() error {
		a.checkBackend(ctx)
		return nil
	})
	group.Go(func() error { return a.serveMetrics(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-drain.Done():
			a.leave()
			a.emptyQueue()
			a.log.event("leaving", fields{"drain_time": agentDrainTime})
			waitFor(ctx, agentDrainTime)
		}
		cancel()
		return nil
	})
	a.log.event("started", fields{"backend": a.cfg.Backend, "service_of_backend": a.cfg.Service, "seeds": a.cfg.Seeds})
	err := group.Wait()
	a.log.event("stopped", fields{})
	return err
}

// Report applies a report of the backend server. It returns an error of kind Invalid if the report describes
// another backend server, and an error of kind Stale if the report is outdated.
func (a *Agent) Report(r flowagent.Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	b, err := a.reports.Apply(now, r)
	if err != nil {
		a.ignoreReport(now, err, fields{"backend_id": r.ID, "sequence": r.Sequence, "born": r.StartMillis})
		return err
	}
	a.setBackend(now, b, r.ID)
	return nil
}

// RefuseReport counts and logs a report or leave message that states the ID of a backend server, but could not be translated for
// the given reason.
func (a *Agent) RefuseReport(id string, reason error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ignoreReport(time.Now(), reason, fields{"backend_id": id})
}

func (a *Agent) ignoreReport(now time.Time, reason error, pairs fields) {
	if errkind.Is(reason, errkind.Invalid) {
		a.badReports.Inc()
	}
	a.log.boundedFailure(now, "backend server report ignored", reason, pairs)
}

// Leave records that the backend server is ending. It returns an error of kind Stale if the message is not of the
// current incarnation of the backend server.
func (a *Agent) Leave(m flowagent.Leave) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	b, err := a.reports.Leave(now, m)
	if err != nil {
		a.log.boundedFailure(now, "backend server's leave message ignored", err, fields{"backend_id": m.ID, "born": m.StartMillis})
		return err
	}
	a.setBackend(now, b, m.ID)
	return nil
}

// setBackend applies a new state of the backend server and publishes it to the other members.
func (a *Agent) setBackend(now time.Time, b fleet.Backend, id string) {
	before := a.agent.Backend()
	b.Service = a.cfg.Service
	if b == before {
		return
	}
	a.log.event("backend server changed", fields{"backend_id": id, "from": before.State, "to": b.State, "born": b.StartMillis, "warming": b.Warming, "slots": b.Slots, "sequence": a.reports.Sequence()})
	d := a.agent.SetBackend(b, a.reports.SawFirstReport())
	for _, reply := range d.Replies {
		a.metrics.outcomes[flowagent.FlowReset].Inc()
		a.reply(reply.Caller, reply.Packet)
	}
	if len(d.Replies) > 0 {
		a.log.event("reset the flows of the previous backend server", fields{"flows": len(d.Replies), "born": before.StartMillis})
	}
	sends, _ := a.node.SetBackend(now, b)
	a.sendMembership(sends)
	a.memberChanged(now, a.node.Self())
}

// readBackend reads packets of the backend server until ctx ends.
func (a *Agent) readBackend(ctx context.Context) error {
	reader := a.fromBackend.NewReader()
	for {
		count, err := reader.Read()
		if err != nil {
			return readError(ctx, err, "cannot read from the socket for the backend server's packets")
		}
		a.mu.Lock()
		now := time.Now()
		for i := range count {
			if !a.isFromInstance(reader.From(i)) {
				a.metrics.badDatagrams.Inc()
				continue
			}
			a.execute(now, a.agent.HandleBackend(now, reader.Datagram(i)))
			a.releaseQueued(now)
		}
		a.mu.Unlock()
	}
}

// isFromInstance reports whether a datagram comes from the agent's own instance. Only its backend server may send
// packets to the agent, and only from there.
func (a *Agent) isFromInstance(from netip.AddrPort) bool {
	return from.Addr() == a.cfg.Backend.Addr() || from.Addr() == a.cfg.FromBackend.Addr()
}

func (a *Agent) homeAgentsChanged() { a.refreshClaims = true }

func (a *Agent) routesChanged(t *route.Table) { a.agent.SetRoutes(t) }

func (a *Agent) handlePeer(now time.Time, from netip.AddrPort, datagram []byte) {
	switch hop.Type(datagram[0]) {
	case hop.TypeForward:
		f, err := hop.DecodeForward(datagram)
		if err != nil {
			a.metrics.badDatagrams.Inc()
			return
		}
		a.metrics.hops.Update(float64(len(f.Visited)))
		a.execute(now, a.agent.HandleForward(now, f))
	case hop.TypeClaim:
		c, err := hop.DecodeClaim(datagram)
		if err != nil || c.Owner != flow.EndpointOf(from) { // agents claim flows for themselves only
			a.metrics.badDatagrams.Inc()
			return
		}
		a.agent.HandleClaim(c)
	case hop.TypeQuery:
		q, err := hop.DecodeQuery(datagram)
		if err != nil || q.Home != flow.EndpointOf(from) {
			a.metrics.badDatagrams.Inc()
			return
		}
		for _, s := range a.agent.HandleQuery(now, q) {
			a.send(s.To, s.Payload)
		}
	case hop.TypeAnswer:
		answer, err := hop.DecodeAnswer(datagram)
		if err != nil {
			a.metrics.badDatagrams.Inc()
			return
		}
		a.execute(now, a.agent.HandleAnswer(now, from, answer))
	default:
		a.metrics.badDatagrams.Inc()
	}
}

func (a *Agent) tick(now time.Time) {
	refreshClaims := a.refreshClaims && !now.Before(a.nextClaimRefresh)
	if refreshClaims {
		a.refreshClaims = false
		a.nextClaimRefresh = now.Add(claimRefreshPeriod)
	}
	for _, d := range a.agent.Tick(now, refreshClaims) {
		a.execute(now, d)
	}
	if b, changed := a.reports.Tick(now); changed {
		a.setBackend(now, b, "")
	}
	a.releaseQueued(now)
}
