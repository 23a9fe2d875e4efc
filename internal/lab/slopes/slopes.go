package slopes

import (
	"runtime"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/control/memnet"
	"github.com/almondledge/almondledge/internal/member"
)

// Options set up a measurement.
type Options struct {
	// Nodes are the sizes to measure.
	Nodes []int
	// AgentsPerBalancer sets the mix of roles; zero measures balancers alone.
	AgentsPerBalancer float64
	// DataCentres is the number of data centres that the nodes are spread over.
	DataCentres int
	// Services is the number of services that the agents serve.
	Services int
	// Loss is the share of datagrams lost.
	Loss float64
	// Window is the virtual time for which traffic is measured.
	Window time.Duration
	// Churn multiplies the event rates of the design fleet; zero is a quiet fleet.
	Churn float64
	// Trials is the number of events of each kind whose convergence is measured.
	Trials int
	// BytesPerSecond is the ceiling of each node.
	BytesPerSecond int
	// Seed fixes all random choices.
	Seed uint64
}

// Point is the result for one size.
type Point struct {
	Nodes     int  `json:"nodes"`
	Balancers int  `json:"balancers"`
	Agents    int  `json:"agents"`
	Churn     bool `json:"churn"`
	// Balancer and Agent are the costs of one node of each role.
	Balancer Cost `json:"balancer"`
	Agent    Cost `json:"agent"`
	// Ticket, Drain and Death are the times until all nodes knew.
	Ticket Convergence `json:"ticket"`
	Drain  Convergence `json:"drain"`
	Death  Convergence `json:"death"`
	// Watchers is the number of balancers that watch the store.
	Watchers int `json:"watchers"`
	// HeapBytesPerNode is the heap per node, all roles together.
	HeapBytesPerNode float64 `json:"heapBytesPerNode"`
	// FalseSuspicions counts suspicions answered by their subject.
	FalseSuspicions uint64 `json:"falseSuspicions"`
}

// Cost is the mean cost of one node; rates are by the second of virtual time.
type Cost struct {
	// SentBytes is the datagram traffic by class.
	SentBytes map[string]float64 `json:"sentBytes"`
	// TotalSent sums SentBytes; MostSent is the total of the busiest node.
	TotalSent float64 `json:"totalSent"`
	MostSent  float64 `json:"mostSent"`
	Received  float64 `json:"received"`
	// StreamSent is the traffic of answered pulls.
	StreamSent float64 `json:"streamSent"`
	// CPU is the share of a core spent in the node's code, in percent.
	CPU float64 `json:"cpuPercent"`
	// Deferred counts datagrams held back by the budget.
	Deferred float64 `json:"deferred"`
}

// Convergence is the time that an update took to reach all nodes, in seconds.
type Convergence struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
	// Rounds is the median in ticks.
	Rounds float64 `json:"rounds"`
	// Late counts events that did not reach all nodes in time.
	Late int `json:"late"`
}

// Measure returns one point for each size.
func Measure(opts Options, report func(Point)) []Point {
	var points []Point
	for _, nodes := range opts.Nodes {
		p := measureSize(opts, nodes)
		report(p)
		points = append(points, p)
	}
	return points
}

func measureSize(opts Options, nodes int) Point {
	balancers := max(2, int(float64(nodes)/(1+opts.AgentsPerBalancer)+0.5))
	heapBefore := liveHeap()
	f := newFleet(opts, balancers, nodes-balancers)
	for range opts.Services {
		f.ticket()
		f.RunUntil(eventLimit, f.inForce)
	}
	p := Point{Nodes: nodes, Balancers: balancers, Agents: nodes - balancers, Churn: opts.Churn > 0}
	p.HeapBytesPerNode = float64(liveHeap()-heapBefore) / float64(nodes)
	f.measureTraffic(&p)
	f.finishRestarts()
	for _, b := range f.balancers {
		if !b.Down && b.Node.Watching() {
			p.Watchers++
		}
	}
	f.measureSpread(&p)
	return p
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// tally is what one host has used so far.
type tally struct {
	node             *control.Node
	usage            [control.Classes]control.Usage
	received, stream uint64
	busy             time.Duration
}

func tallyOf(h *memnet.Host) tally {
	return tally{h.Node, h.Node.Usage(), h.Received, h.StreamBytes, h.Busy}
}

// measureTraffic fills in the costs of both roles over one window.
func (f *fleet) measureTraffic(p *Point) {
	before := map[*memnet.Host]tally{}
	for _, h := range f.Hosts {
		before[h] = tallyOf(h)
	}
	begin := f.Now
	f.churn(f.opts.Window, f.opts.Churn)
	seconds := f.Now.Sub(begin).Seconds()
	p.Balancer = costOf(f.balancers, before, seconds)
	p.Agent = costOf(f.agents, before, seconds)
	for _, h := range f.Hosts {
		p.FalseSuspicions += h.Node.Counters().Refutations
	}
}

// costOf returns the mean cost of the hosts that were not restarted meanwhile.
func costOf(hosts []*memnet.Host, before map[*memnet.Host]tally, seconds float64) Cost {
	cost := Cost{SentBytes: map[string]float64{}}
	count := 0.0
	for _, h := range hosts {
		was, is := before[h], tallyOf(h)
		if was.node != is.node {
			continue
		}
		count++
		total := 0.0
		for class := range control.Classes {
			sent := float64(is.usage[class].Bytes-was.usage[class].Bytes) / seconds
			cost.SentBytes[class.String()] += sent
			cost.Deferred += float64(is.usage[class].Deferred-was.usage[class].Deferred) / seconds
			total += sent
		}
		cost.TotalSent += total
		cost.MostSent = max(cost.MostSent, total)
		cost.Received += float64(is.received-was.received) / seconds
		cost.StreamSent += float64(is.stream-was.stream) / seconds
		cost.CPU += 100 * (is.busy - was.busy).Seconds() / seconds
	}
	cost.scale(1 / max(1, count))
	return cost
}

func (c *Cost) scale(by float64) {
	for class := range c.SentBytes {
		c.SentBytes[class] *= by
	}
	c.TotalSent *= by
	c.Received *= by
	c.StreamSent *= by
	c.CPU *= by
	c.Deferred *= by
}

// measureSpread fills in the convergence times, one event at a time.
func (f *fleet) measureSpread(p *Point) {
	p.Ticket = f.trials(func() func() bool {
		f.ticket()
		return f.inForce
	})
	if len(f.agents) == 0 {
		return
	}
	p.Drain = f.trials(func() func() bool {
		h := f.pickServing()
		f.Perform(h, h.Node.SetState(f.Now, member.Draining))
		return func() bool { return f.unavailable(h) }
	})
	p.Death = f.trials(func() func() bool {
		h := f.pickServing()
		h.Down = true
		return func() bool { return f.unavailable(h) }
	})
}

// pickServing returns a running agent that is not draining.
func (f *fleet) pickServing() *memnet.Host {
	for {
		if h := f.pick(f.agents); h.Node.Self().State == member.Serving {
			return h
		}
	}
}

// trials starts events one after another and times each until done.
func (f *fleet) trials(start func() func() bool) Convergence {
	var times []float64
	var s Convergence
	for range f.opts.Trials {
		f.Run(time.Second + time.Duration(f.rand.Int64N(int64(time.Second))))
		took, ok := f.RunUntil(eventLimit, start())
		if !ok {
			s.Late++
		}
		times = append(times, took.Seconds())
	}
	slices.Sort(times)
	if len(times) > 0 {
		s.Median = times[len(times)/2]
		s.Max = times[len(times)-1]
		s.Rounds = s.Median / control.TickPeriod.Seconds()
	}
	return s
}
