// Package slopes measures how the cost and the convergence times of the control protocol
// grow with the number of nodes. It runs many nodes of package control in one process on a
// virtual clock. Only the time spent in the nodes' code is measured in real time.
package slopes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/control/memnet"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

// Event rates of the whole fleet at the design size, per second. Every balancer processes
// all of these events, so the rates do not shrink with the number of nodes measured.
const (
	secondsPerDay = 24 * 60 * 60
	restartRate   = 9500.0 / secondsPerDay
	failureRate   = 120.0 / secondsPerDay
	ticketRate    = 12000.0 / secondsPerDay
)

// Times on the virtual clock.
const (
	balancerSettleTime = 8 * time.Second
	agentSettleTime    = 20 * time.Second
	// seedsPerDataCentre is the number of balancers in each data centre that act as seeds.
	seedsPerDataCentre = 2
	// restartDowntime is how long a node that restarts is down.
	restartDowntime = 2 * time.Second
	// loadPeriod is the time between two changes of an agent's load, and maxLoadStep the
	// largest change.
	loadPeriod  = time.Second
	maxLoadStep = 20
	// convergenceLimit is the time after which an event counts as not converged.
	convergenceLimit = 30 * time.Second
)

// fleet is one set of nodes under measurement.
type fleet struct {
	*memnet.Net
	opts      Options
	rand      *rand.Rand
	balancers []*memnet.Host
	agents    []*memnet.Host
	seeds     []netip.AddrPort
	configs   map[netip.AddrPort]control.Config
	loads     map[netip.AddrPort]int
	revision  int64
	// restarting lists the nodes that are down for a restart, in order of their return.
	restarting []restartingNode
}

type restartingNode struct {
	host      *memnet.Host
	returnsAt time.Time
}

// newFleet starts balancers and agents, spread over the data centres, and waits until they
// have settled.
func newFleet(opts Options, balancers, agents int) *fleet {
	f := &fleet{
		Net:     memnet.New(opts.Seed),
		opts:    opts,
		rand:    rand.New(rand.NewPCG(opts.Seed, 3)),
		configs: map[netip.AddrPort]control.Config{},
		loads:   map[netip.AddrPort]int{},
	}
	f.Loss = opts.Loss
	f.WallClock = time.Now
	for i := range min(seedsPerDataCentre*opts.DataCentres, balancers) {
		f.seeds = append(f.seeds, address(1, i))
	}
	for i := range balancers {
		f.balancers = append(f.balancers, f.start(member.Balancer, i))
	}
	f.Run(balancerSettleTime)
	for i := range agents {
		f.agents = append(f.agents, f.start(member.Agent, i))
	}
	f.settle(agentSettleTime)
	return f
}

func (f *fleet) start(kind member.Kind, i int) *memnet.Host {
	self := address(byte(kind), i)
	cfg := memnet.Balancer(self, fmt.Sprintf("dc-%02d", i%f.opts.DataCentres), 1, f.seeds...)
	cfg.Self.Kind = kind
	cfg.BytesPerSecond = f.opts.BytesPerSecond
	if kind == member.Agent {
		cfg.Self.Service = service.ID(1 + i%f.opts.Services)
		cfg.Self.Capacity = 5
		own := i % len(f.seeds)
		other := (own + f.opts.DataCentres) % len(f.seeds)
		cfg.Seeds = []netip.AddrPort{f.seeds[own], f.seeds[other]}
	}
	f.configs[self] = cfg
	return f.Add(cfg)
}

// address returns the address of node i of a kind.
func address(kind byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(i >> 8), byte(i)}), 4433)
}

// applyTicket applies the next revision at one random balancer, unless that balancer has
// not applied the latest revision yet.
func (f *fleet) applyTicket() {
	balancer := f.pick(f.balancers)
	if balancer.Node.Catalog().Revision() < f.revision {
		return
	}
	f.revision++
	id := service.ID(1 + int(f.revision)%f.opts.Services)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(id >> 8), byte(id)}), 443)
	spec := service.Spec{
		Name: fmt.Sprintf("service-%d", id), ID: id, Address: addr,
		BackendServers: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		Limits:         service.Limits{Connections: 2000, Slots: 5, QueueLength: int(f.revision), DeadlineMillis: 5000},
	}
	d := catalog.Delta{From: f.revision - 1, To: f.revision, Entries: []catalog.Entry{{ID: id, ModRevision: f.revision, Spec: spec}}}
	out, err := balancer.Node.ApplyStore(d)
	if err != nil {
		panic(err)
	}
	f.Perform(balancer, out)
}

// pick returns a random running host.
func (f *fleet) pick(hosts []*memnet.Host) *memnet.Host {
	for {
		if h := hosts[f.rand.IntN(len(hosts))]; !h.Down {
			return h
		}
	}
}

// pickAny returns a random running host of either role.
func (f *fleet) pickAny() *memnet.Host {
	if len(f.agents) == 0 || f.rand.IntN(len(f.Hosts)) < len(f.balancers) {
		return f.pick(f.balancers)
	}
	return f.pick(f.agents)
}

// allAtLatestRevision reports whether all running nodes have the latest revision.
func (f *fleet) allAtLatestRevision() bool {
	for _, h := range f.Hosts {
		if !h.Down && h.Node.Catalog().Revision() < f.revision {
			return false
		}
	}
	return true
}

// isUnavailable reports whether every other running balancer either has no record of the
// host or has a record with a state that accepts no new flows.
func (f *fleet) isUnavailable(h *memnet.Host) bool {
	for _, b := range f.balancers {
		if b.Down || b == h {
			continue
		}
		if r := b.Node.Table().Get(h.Addr); r != nil && r.State.TakesNewFlows() {
			return false
		}
	}
	return true
}

// runWithChurn runs the fleet for d with restarts, failures and tickets at the event rates
// of the design size, multiplied by factor.
func (f *fleet) runWithChurn(d time.Duration, factor float64) {
	end := f.Now.Add(d)
	nextLoad := f.Now
	for f.Now.Before(end) {
		f.Run(control.TickPeriod)
		if !f.Now.Before(nextLoad) {
			nextLoad = f.Now.Add(loadPeriod)
			f.changeLoads()
		}
		if f.occurs(ticketRate * factor) {
			f.applyTicket()
		}
		if f.occurs(restartRate * factor) {
			f.beginRestart(true)
		}
		if f.occurs(failureRate * factor) {
			f.beginRestart(false)
		}
		f.startRestarted()
	}
}

// settle runs the fleet for d while the agents' loads change.
func (f *fleet) settle(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.Run(loadPeriod)
		f.changeLoads()
	}
}

// changeLoads changes the load of each agent by a random step.
func (f *fleet) changeLoads() {
	for _, h := range f.agents {
		load := f.loads[h.Addr] + f.rand.IntN(2*maxLoadStep+1) - maxLoadStep
		load = min(max(load, 0), math.MaxUint8)
		f.loads[h.Addr] = load
		h.Node.SetLoad(uint8(load))
	}
}

func (f *fleet) occurs(rate float64) bool {
	return f.rand.Float64() < rate*control.TickPeriod.Seconds()
}

// beginRestart stops a random node for restartDowntime, after a drain if graceful.
func (f *fleet) beginRestart(graceful bool) {
	h := f.pickAny()
	if graceful {
		f.Perform(h, h.Node.SetState(f.Now, member.Draining))
		f.Run(2 * control.TickPeriod)
		f.Perform(h, h.Node.SetState(f.Now, member.Leaving))
		f.Run(2 * control.TickPeriod)
	}
	h.Down = true
	f.restarting = append(f.restarting, restartingNode{h, f.Now.Add(restartDowntime)})
}

// finishRestarts waits until all restarting nodes run again and the fleet has settled.
func (f *fleet) finishRestarts() {
	for len(f.restarting) > 0 {
		f.Run(control.TickPeriod)
		f.startRestarted()
	}
	f.settle(agentSettleTime)
}

func (f *fleet) startRestarted() {
	for len(f.restarting) > 0 && !f.Now.Before(f.restarting[0].returnsAt) {
		h := f.restarting[0].host
		f.restarting = f.restarting[1:]
		cfg := f.configs[h.Addr]
		cfg.Self.Incarnation++
		f.configs[h.Addr] = cfg
		f.Add(cfg)
	}
}
