package spread

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/spread"
)

const (
	serviceID = 1
	// warmupFlowMeans is the length of the warm-up in mean flow durations.
	warmupFlowMeans = 5
	// warmingTime is how long a host that joined stays in the warming state.
	warmingTime = 30 * time.Second
	// drainViewDelay is how long balancers still send new flows to a host that drains.
	drainViewDelay = time.Second
	// reconnectTime is the time within which callers leave a draining host after GOAWAY.
	reconnectTime = 5 * time.Second
	// requestDeadline bounds the wait of a request.
	requestDeadline = 10 * time.Second
	// hopDelay is the one-way delay between data centres.
	hopDelay = 5 * time.Millisecond
	// samplePeriod is how often open flows are compared.
	samplePeriod = time.Second
	// activeShare is the share of flows that together send activeRequestShare of the
	// requests when work is skewed.
	activeShare        = 0.05
	activeRequestShare = 0.5
	// maxRelays bounds the peers to which a request is relayed.
	maxRelays = 2
)

// run simulates one policy in one scenario on one service.
type run struct {
	options  Options
	workload workload
	scenario scenario
	policy   policy

	now    time.Time
	start  time.Time
	events eventQueue
	hosts  []*host
	byAddr map[netip.AddrPort]*host
	view   *presence.Table
	table  routing.Service
	seed   uint64

	// callerRand draws the random behaviour of the callers, systemRand all other random
	// choices.
	callerRand, systemRand *rand.Rand
	openFlows, activeFlows []*flow
	recorder               recorder
}

func newRun(options Options, w workload, number uint64, sc scenario, p policy) *run {
	start := time.Unix(1_800_000_000, 0)
	r := &run{
		options: options, workload: w, scenario: sc, policy: p,
		now: start, start: start, seed: options.Seed,
		byAddr:     make(map[netip.AddrPort]*host),
		view:       presence.NewTable(presence.Config{}),
		callerRand: rand.New(rand.NewPCG(options.Seed, number)),
		systemRand: rand.New(rand.NewPCG(options.Seed, number+1000)),
	}
	for i := range w.hosts {
		h := newHost(i, start)
		r.hosts = append(r.hosts, h)
		r.byAddr[h.addr] = h
		if !sc.joins || i > 0 {
			h.present = true
			r.announceState(h, member.Serving)
		}
	}
	r.hosts[0].speed = sc.firstHostSpeed
	r.buildTable()
	return r
}

// run processes all events up to the end of the measured time and returns the metrics.
func (r *run) run() Metrics {
	warmupEnd := r.start.Add(warmupFlowMeans * r.workload.flowMean)
	end := warmupEnd.Add(r.options.Span)
	r.recorder.from = warmupEnd
	r.scheduleInitialEvents(warmupEnd)
	for r.now.Before(end) {
		e := r.events.pop()
		r.now = e.at
		e.run()
	}
	return r.recorder.metrics(r.hosts)
}

// scheduleInitialEvents schedules the first events, which schedule all later events.
func (r *run) scheduleInitialEvents(warmupEnd time.Time) {
	r.after(0, r.nextFlow)
	r.after(0, r.nextRequest)
	r.after(samplePeriod, r.sample)
	r.after(time.Second, r.refreshTable)
	for _, h := range r.hosts {
		phase := time.Duration(r.systemRand.Float64() * float64(r.scenario.staleness))
		r.after(phase, func() { r.announce(h) })
	}
	if r.scenario.joins {
		r.recorder.from = warmupEnd.Add(warmingTime)
		r.events.push(warmupEnd, r.join)
	}
	if r.scenario.leaves {
		r.events.push(warmupEnd, r.leave)
	}
}

func (r *run) after(d time.Duration, do func()) { r.events.push(r.now.Add(d), do) }

// nominalHosts returns the number of hosts by whose capacity Options.Load is multiplied. It
// excludes a host that joins or leaves.
func (r *run) nominalHosts() float64 {
	if r.scenario.joins || r.scenario.leaves {
		return float64(r.workload.hosts - 1)
	}
	return float64(r.workload.hosts)
}

// requestCapacity returns the capacity for requests as a number of full-speed hosts.
func (r *run) requestCapacity() float64 { return r.nominalHosts() - 1 + r.scenario.firstHostSpeed }

// refreshTable rebuilds the balancers' routing table every second, as real balancers do.
func (r *run) refreshTable() {
	r.buildTable()
	r.after(time.Second, r.refreshTable)
}

func (r *run) announceState(h *host, state member.State) {
	r.view.Merge(r.now, member.Member{
		Addr: h.addr, Kind: member.Agent, State: state, Incarnation: 1,
		DataCentre: "one", Service: serviceID, Capacity: slotsPerHost,
	})
}

func (r *run) buildTable() {
	r.table.Agents = r.table.Agents[:0]
	for _, c := range r.view.Candidates(r.now, serviceID) {
		r.table.Agents = append(r.table.Agents, routing.Agent{Addr: c.Addr, Weight: c.Weight})
	}
}

// announce updates the announced load of h and schedules the next announcement.
func (r *run) announce(h *host) {
	report := h.tracker.Report(r.now)
	h.announcedLoad = math.Round(max(report.Flows, report.Slots) * math.MaxUint8)
	r.after(r.scenario.staleness, func() { r.announce(h) })
}

func (r *run) join() {
	h := r.hosts[0]
	h.present = true
	h.accountSlotTime(r.now)
	r.announceState(h, member.Warming)
	r.buildTable()
	r.after(warmingTime, func() { r.announceState(h, member.Serving) })
}

// leave drains the last host: the host forwards new flows at once, balancers learn of the
// drain after drainViewDelay, and its callers reopen their flows on other hosts.
func (r *run) leave() {
	h := r.hosts[len(r.hosts)-1]
	h.draining = true
	r.after(drainViewDelay, func() {
		r.announceState(h, member.Draining)
		r.buildTable()
	})
	for _, f := range slices.Clone(r.openFlows) {
		if f.host == h {
			wait := time.Duration(r.systemRand.Float64() * float64(reconnectTime))
			r.after(wait, func() { r.reconnect(f) })
		}
	}
}

func (r *run) reconnect(f *flow) {
	if f.ended {
		return
	}
	f.host.setFlows(r.now, f.host.flows-1)
	f.host = nil
	r.openFlow(f, r.systemRand.Uint64())
}

// nextFlow opens a flow, schedules its end, and schedules the next flow.
func (r *run) nextFlow() {
	perSecond := r.options.Load * r.nominalHosts() * connectionsPerHost / r.workload.flowMean.Seconds()
	r.after(exponential(r.callerRand, time.Duration(float64(time.Second)/perSecond)), r.nextFlow)
	lifetime := duration(r.callerRand, r.workload.flowMean, r.scenario.skewed)
	id := r.callerRand.Uint64()
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], r.callerRand.Uint32())
	f := &flow{caller: netip.AddrFrom4(octets), active: r.callerRand.Float64() < activeShare}
	f.index = len(r.openFlows)
	r.openFlows = append(r.openFlows, f)
	if f.active {
		r.activeFlows = append(r.activeFlows, f)
	}
	r.openFlow(f, id)
	r.after(lifetime, func() { r.endFlow(f) })
}

func (r *run) endFlow(f *flow) {
	f.ended = true
	if f.host != nil {
		f.host.setFlows(r.now, f.host.flows-1)
	}
	last := r.openFlows[len(r.openFlows)-1]
	r.openFlows[f.index] = last
	last.index = f.index
	r.openFlows = r.openFlows[:len(r.openFlows)-1]
	if f.active {
		r.activeFlows = slices.DeleteFunc(r.activeFlows, func(other *flow) bool { return other == f })
	}
}

// openFlow sends the opening packet of a flow through a balancer.
func (r *run) openFlow(f *flow, id uint64) {
	destID := binary.BigEndian.AppendUint64(nil, id)
	var candidates [routing.MaxCandidates]netip.AddrPort
	count := r.table.Candidates(routing.FlowHash(r.seed, destID), &candidates)
	if r.policy.reorder != nil {
		r.policy.reorder(r, &candidates, count)
	}
	packet := opening.Packet{DestID: destID, Candidates: candidates[:count]}
	r.recorder.countFlow(r.now)
	f.host = r.routeOpening(r.byAddr[candidates[0]], packet)
	if f.host == nil {
		r.recorder.countRefusedFlow(r.now)
	}
}

// routeOpening delivers an opening packet to the agent of a host and returns the host that
// finally accepts the flow, or nil if no host accepts the flow.
func (r *run) routeOpening(at *host, packet opening.Packet) *host {
	acceptsFlows := at.acceptsFlows()
	if next, ok := at.openings.OffloadTarget(packet); ok && acceptsFlows && r.policy.offloads != nil {
		acceptsFlows = !r.policy.offloads(r, at, next)
	}
	action, sends := at.openings.HandlePacket(r.now, packet, acceptsFlows)
	if action == opening.Deliver {
		at.setFlows(r.now, at.flows+1)
		report := at.tracker.Report(r.now)
		for _, send := range sends {
			r.sendClaim(at, r.byAddr[send.To], send, report)
		}
		return at
	}
	if action != opening.Forward {
		return nil
	}
	r.recorder.countForward(r.now)
	return r.routeOpening(r.byAddr[sends[0].To], sends[0].Packet)
}

func (r *run) sendClaim(from, to *host, send opening.Send, report spread.Report) {
	to.openings.HandleClaim(r.now, send.DestID, send.Owner)
	if r.scenario.staleness < staleReports {
		to.tracker.RecordReport(r.now, from.addr, report)
		return
	}
	r.after(r.scenario.staleness, func() { to.tracker.RecordReport(r.now, from.addr, report) })
}
