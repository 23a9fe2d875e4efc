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
	// warmupMeans is the warm-up in mean durations of a flow.
	warmupMeans = 5
	// warmTime is how long a host that joined is cold.
	warmTime = 30 * time.Second
	// viewDelay is how long balancers still offer flows to a host that drains.
	viewDelay = time.Second
	// moveTime is the time in which callers leave a draining host after GOAWAY.
	moveTime = 5 * time.Second
	// requestDeadline bounds the wait of a request.
	requestDeadline = 10 * time.Second
	// hopTime is the one-way delay between data centres.
	hopTime = 5 * time.Millisecond
	// samplePeriod is how often open flows are compared.
	samplePeriod = time.Second
	// activeShare is the share of flows that send activeRequests of the requests
	// when work is skewed.
	activeShare    = 0.05
	activeRequests = 0.5
	// maxRelays is the number of peers that are tried for a request.
	maxRelays = 2
)

// run is one policy in one case.
type run struct {
	options Options
	where   place
	scene   scenario
	policy  policy

	now    time.Time
	start  time.Time
	events eventQueue
	hosts  []*host
	byAddr map[netip.AddrPort]*host
	view   *presence.Table
	table  routing.Service
	seed   uint64

	// arrivals draws what callers do, choices what the system chooses.
	arrivals, choices *rand.Rand
	open, active      []*flow
	measure           recorder
}

func newRun(options Options, where place, number uint64, scene scenario, p policy) *run {
	start := time.Unix(1_800_000_000, 0)
	r := &run{
		options: options, where: where, scene: scene, policy: p,
		now: start, start: start, seed: options.Seed,
		byAddr:   make(map[netip.AddrPort]*host),
		view:     presence.NewTable(presence.Config{}),
		arrivals: rand.New(rand.NewPCG(options.Seed, number)),
		choices:  rand.New(rand.NewPCG(options.Seed, number+1000)),
	}
	for i := range where.hosts {
		h := newHost(i, start)
		r.hosts = append(r.hosts, h)
		r.byAddr[h.addr] = h
		if !scene.joins || i > 0 {
			h.present = true
			r.announceState(h, member.Serving)
		}
	}
	r.hosts[0].speed = scene.slow
	r.buildTable()
	return r
}

// run lets all events happen and returns the measures.
func (r *run) run() Metrics {
	warm := r.start.Add(warmupMeans * r.where.flowMean)
	end := warm.Add(r.options.Span)
	r.measure.from = warm
	r.plan(warm)
	for r.now.Before(end) {
		e := r.events.pop()
		r.now = e.at
		e.do()
	}
	return r.measure.result(r.hosts)
}

// plan enters the events that start everything.
func (r *run) plan(warm time.Time) {
	r.after(0, r.nextFlow)
	r.after(0, r.nextRequest)
	r.after(samplePeriod, r.sample)
	r.after(time.Second, r.second)
	for _, h := range r.hosts {
		phase := time.Duration(r.choices.Float64() * float64(r.scene.staleness))
		r.after(phase, func() { r.announce(h) })
	}
	if r.scene.joins {
		r.measure.from = warm.Add(warmTime)
		r.events.push(warm, r.join)
	}
	if r.scene.leaves {
		r.events.push(warm, r.leave)
	}
}

func (r *run) after(d time.Duration, do func()) { r.events.push(r.now.Add(d), do) }

// fullHosts is the number of hosts that the offered load is a share of.
func (r *run) fullHosts() float64 {
	if r.scene.joins || r.scene.leaves {
		return float64(r.where.hosts - 1)
	}
	return float64(r.where.hosts)
}

// speeds is the capacity for requests in hosts of full speed.
func (r *run) speeds() float64 { return r.fullHosts() - 1 + r.scene.slow }

// second repeats what processes do each second.
func (r *run) second() {
	r.buildTable()
	r.after(time.Second, r.second)
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

// announce replaces the load that balancers know of h.
func (r *run) announce(h *host) {
	report := h.tracker.Report(r.now)
	h.announced = math.Round(max(report.Flows, report.Slots) * math.MaxUint8)
	r.after(r.scene.staleness, func() { r.announce(h) })
}

func (r *run) join() {
	h := r.hosts[0]
	h.present = true
	h.count(r.now)
	r.announceState(h, member.Warming)
	r.buildTable()
	r.after(warmTime, func() { r.announceState(h, member.Serving) })
}

// leave drains the last host: it passes flows on at once, balancers learn of it
// later, and its callers open new flows elsewhere.
func (r *run) leave() {
	h := r.hosts[len(r.hosts)-1]
	h.draining = true
	r.after(viewDelay, func() {
		r.announceState(h, member.Draining)
		r.buildTable()
	})
	for _, f := range slices.Clone(r.open) {
		if f.host == h {
			wait := time.Duration(r.choices.Float64() * float64(moveTime))
			r.after(wait, func() { r.move(f) })
		}
	}
}

func (r *run) move(f *flow) {
	if f.ended {
		return
	}
	f.host.setFlows(r.now, f.host.flows-1)
	f.host = nil
	r.place(f, r.choices.Uint64())
}

// nextFlow opens a flow and plans its end.
func (r *run) nextFlow() {
	perSecond := r.options.Load * r.fullHosts() * connectionsPerHost / r.where.flowMean.Seconds()
	r.after(exponential(r.arrivals, time.Duration(float64(time.Second)/perSecond)), r.nextFlow)
	life := duration(r.arrivals, r.where.flowMean, r.scene.skewed)
	id := r.arrivals.Uint64()
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], r.arrivals.Uint32())
	f := &flow{caller: netip.AddrFrom4(octets), active: r.arrivals.Float64() < activeShare}
	f.index = len(r.open)
	r.open = append(r.open, f)
	if f.active {
		r.active = append(r.active, f)
	}
	r.place(f, id)
	r.after(life, func() { r.endFlow(f) })
}

func (r *run) endFlow(f *flow) {
	f.ended = true
	if f.host != nil {
		f.host.setFlows(r.now, f.host.flows-1)
	}
	last := r.open[len(r.open)-1]
	r.open[f.index] = last
	last.index = f.index
	r.open = r.open[:len(r.open)-1]
	if f.active {
		r.active = slices.DeleteFunc(r.active, func(other *flow) bool { return other == f })
	}
}

// place sends the opening packet of a flow through a balancer.
func (r *run) place(f *flow, id uint64) {
	destID := binary.BigEndian.AppendUint64(nil, id)
	var chosen [routing.MaxCandidates]netip.AddrPort
	count := r.table.Candidates(routing.FlowHash(r.seed, destID), &chosen)
	if r.policy.order != nil {
		r.policy.order(r, &chosen, count)
	}
	packet := opening.Packet{DestID: destID, Candidates: chosen[:count]}
	r.measure.flow(r.now)
	f.host = r.offer(r.byAddr[chosen[0]], packet)
	if f.host == nil {
		r.measure.refusedFlow(r.now)
	}
}

// offer hands an opening packet to an agent and returns the host that takes
// the flow in the end, or nil.
func (r *run) offer(at *host, packet opening.Packet) *host {
	willing := at.takesFlows()
	if next, ok := at.opens.OffloadTarget(packet); ok && willing && r.policy.yields != nil {
		willing = !r.policy.yields(r, at, next)
	}
	fate, sends := at.opens.HandlePacket(r.now, packet, willing)
	if fate == opening.Deliver {
		at.setFlows(r.now, at.flows+1)
		report := at.tracker.Report(r.now)
		for _, send := range sends {
			r.claim(at, r.byAddr[send.To], send, report)
		}
		return at
	}
	if fate != opening.Forward {
		return nil
	}
	r.measure.pass(r.now)
	return r.offer(r.byAddr[sends[0].To], sends[0].Packet)
}

func (r *run) claim(from, to *host, send opening.Send, report spread.Report) {
	to.opens.HandleClaim(r.now, send.DestID, send.Owner)
	if r.scene.staleness < staleReports {
		to.tracker.RecordReport(r.now, from.addr, report)
		return
	}
	r.after(r.scene.staleness, func() { to.tracker.RecordReport(r.now, from.addr, report) })
}
