package slopes

import (
	"runtime"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/control/memnet"
	"github.com/almondledge/almondledge/internal/member"
)

// Options configures a measurement.
type Options struct {
	// Nodes lists the fleet sizes to measure.
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
	// Churn multiplies the event rates of the design size; zero disables the events.
	Churn float64
	// Trials is the number of events of each kind whose convergence is measured.
	Trials int
	// BytesPerSecond is the limit on the control traffic that each node sends.
	BytesPerSecond int
	// Seed seeds all random draws.
	Seed uint64
}

// Point is the result for one fleet size.
type Point struct {
	Nodes     int  `json:"nodes"`
	Balancers int  `json:"balancers"`
	Agents    int  `json:"agents"`
	Churn     bool `json:"churn"`
	// Balancer and Agent are the mean costs of a balancer and of an agent.
	Balancer Cost `json:"balancer"`
	Agent    Cost `json:"agent"`
	// Ticket is the time until all nodes have applied a ticket. Drain and Death are the
	// times until no balancer sends new flows to an agent that drains or has died.
	Ticket Convergence `json:"ticket"`
	Drain  Convergence `json:"drain"`
	Death  Convergence `json:"death"`
	// Watchers is the number of balancers that watch the store.
	Watchers int `json:"watchers"`
	// HeapBytesPerNode is the heap per node, averaged over both roles.
	HeapBytesPerNode float64 `json:"heapBytesPerNode"`
	// FalseSuspicions counts the suspicions that the suspected node refuted.
	FalseSuspicions uint64 `json:"falseSuspicions"`
}

// Cost is the mean cost of one node; rates are per second of virtual time.
type Cost struct {
	// SentBytes is the rate of datagram bytes sent, by message class.
	SentBytes map[string]float64 `json:"sentBytes"`
	// TotalSent is the sum of SentBytes; MostSent is the total of the node that sent most.
	TotalSent float64 `json:"totalSent"`
	MostSent  float64 `json:"mostSent"`
	Received  float64 `json:"received"`
	// StreamSent is the rate of bytes sent in replies to pulls.
	StreamSent float64 `json:"streamSent"`
	// CPU is the share of a core spent in the node's code, in percent.
	CPU float64 `json:"cpuPercent"`
	// Deferred is the rate of datagrams that were not sent because of the byte budget.
	Deferred float64 `json:"deferred"`
}

// Convergence holds the times, in seconds, that events of one kind took to converge.
type Convergence struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
	// Rounds is Median in ticks of the control protocol.
	Rounds float64 `json:"rounds"`
	// Late counts the events that did not converge within convergenceLimit.
	Late int `json:"late"`
}

// Measure measures each fleet size, passes its point to report, and returns all points.
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
		f.applyTicket()
		f.RunUntil(convergenceLimit, f.allAtLatestRevision)
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
	f.measureConvergence(&p)
	return p
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// usageCounters holds the traffic and the CPU time of one host so far.
type usageCounters struct {
	node             *control.Node
	usage            [control.Classes]control.Usage
	received, stream uint64
	busy             time.Duration
}

func usageCountersOf(h *memnet.Host) usageCounters {
	return usageCounters{h.Node, h.Node.Usage(), h.Received, h.StreamBytes, h.Busy}
}

// measureTraffic runs the fleet for one window and stores the costs of both roles in p.
func (f *fleet) measureTraffic(p *Point) {
	before := map[*memnet.Host]usageCounters{}
	for _, h := range f.Hosts {
		before[h] = usageCountersOf(h)
	}
	begin := f.Now
	f.runWithChurn(f.opts.Window, f.opts.Churn)
	seconds := f.Now.Sub(begin).Seconds()
	p.Balancer = costOf(f.balancers, before, seconds)
	p.Agent = costOf(f.agents, before, seconds)
	for _, h := range f.Hosts {
		p.FalseSuspicions += h.Node.Counters().Refutations
	}
}

// costOf returns the mean cost of the hosts that were not restarted in the window.
func costOf(hosts []*memnet.Host, before map[*memnet.Host]usageCounters, seconds float64) Cost {
	cost := Cost{SentBytes: map[string]float64{}}
	count := 0.0
	for _, h := range hosts {
		begin, end := before[h], usageCountersOf(h)
		if begin.node != end.node {
			continue
		}
		count++
		total := 0.0
		for class := range control.Classes {
			sent := float64(end.usage[class].Bytes-begin.usage[class].Bytes) / seconds
			cost.SentBytes[class.String()] += sent
			cost.Deferred += float64(end.usage[class].Deferred-begin.usage[class].Deferred) / seconds
			total += sent
		}
		cost.TotalSent += total
		cost.MostSent = max(cost.MostSent, total)
		cost.Received += float64(end.received-begin.received) / seconds
		cost.StreamSent += float64(end.stream-begin.stream) / seconds
		cost.CPU += 100 * (end.busy - begin.busy).Seconds() / seconds
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

// measureConvergence measures the convergence times, one event at a time, and stores them
// in p.
func (f *fleet) measureConvergence(p *Point) {
	p.Ticket = f.timeTrials(func() func() bool {
		f.applyTicket()
		return f.allAtLatestRevision
	})
	if len(f.agents) == 0 {
		return
	}
	p.Drain = f.timeTrials(func() func() bool {
		h := f.pickServing()
		f.Perform(h, h.Node.SetState(f.Now, member.Draining))
		return func() bool { return f.isUnavailable(h) }
	})
	p.Death = f.timeTrials(func() func() bool {
		h := f.pickServing()
		h.Down = true
		return func() bool { return f.isUnavailable(h) }
	})
}

// pickServing returns a random running agent in the state serving.
func (f *fleet) pickServing() *memnet.Host {
	for {
		if h := f.pick(f.agents); h.Node.Self().State == member.Serving {
			return h
		}
	}
}

// timeTrials starts events one after another and measures the time until each has
// converged. start begins an event and returns a function that reports whether the event
// has converged.
func (f *fleet) timeTrials(start func() func() bool) Convergence {
	var times []float64
	var c Convergence
	for range f.opts.Trials {
		f.Run(time.Second + time.Duration(f.rand.Int64N(int64(time.Second))))
		elapsed, ok := f.RunUntil(convergenceLimit, start())
		if !ok {
			c.Late++
		}
		times = append(times, elapsed.Seconds())
	}
	slices.Sort(times)
	if len(times) > 0 {
		c.Median = times[len(times)/2]
		c.Max = times[len(times)-1]
		c.Rounds = c.Median / control.TickPeriod.Seconds()
	}
	return c
}
