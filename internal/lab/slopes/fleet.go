// Package slopes measures how the cost and the speed of control grow with the
// number of nodes. It runs the decisions of package control for many nodes in
// one process on a virtual clock; real time is measured only inside them.
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

// Event rates of the whole design fleet, by the second. Every balancer hears of
// all of them, however few nodes a measurement has.
const (
	secondsPerDay = 24 * 60 * 60
	restartRate   = 9500.0 / secondsPerDay
	failureRate   = 120.0 / secondsPerDay
	ticketRate    = 12000.0 / secondsPerDay
)

// Times of a measurement on the virtual clock.
const (
	balancerSettle = 8 * time.Second
	agentSettle    = 20 * time.Second
	// seedsPerDataCentre is the number of balancers that settings name.
	seedsPerDataCentre = 2
	// restartTime is how long a restarted node is away.
	restartTime = 2 * time.Second
	// loadPeriod is the time between two steps of an agent's load, and maxStep
	// the largest step.
	loadPeriod = time.Second
	maxStep    = 20
	// eventLimit is the time after which an event counts as not converged.
	eventLimit = 30 * time.Second
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
	// back lists restarting nodes by the time of their return.
	back []returning
}

type returning struct {
	host *memnet.Host
	at   time.Time
}

// newFleet starts balancers and agents spread over the data centres.
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
	f.Run(balancerSettle)
	for i := range agents {
		f.agents = append(f.agents, f.start(member.Agent, i))
	}
	f.settle(agentSettle)
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

// ticket brings the next revision into force at one random balancer.
func (f *fleet) ticket() {
	at := f.pick(f.balancers)
	if at.Node.Catalog().Revision() < f.revision {
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
	out, err := at.Node.ApplyStore(d)
	if err != nil {
		panic(err)
	}
	f.Perform(at, out)
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

// inForce reports whether all running nodes have the latest revision.
func (f *fleet) inForce() bool {
	for _, h := range f.Hosts {
		if !h.Down && h.Node.Catalog().Revision() < f.revision {
			return false
		}
	}
	return true
}

// unavailable reports whether no running balancer holds the host warming or serving.
func (f *fleet) unavailable(h *memnet.Host) bool {
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

// churn runs for d with restarts, failures and tickets at the rates of the
// design fleet, multiplied by factor.
func (f *fleet) churn(d time.Duration, factor float64) {
	end := f.Now.Add(d)
	nextLoad := f.Now
	for f.Now.Before(end) {
		f.Run(control.TickPeriod)
		if !f.Now.Before(nextLoad) {
			nextLoad = f.Now.Add(loadPeriod)
			f.changeLoads()
		}
		if f.happens(ticketRate * factor) {
			f.ticket()
		}
		if f.happens(restartRate * factor) {
			f.restart(true)
		}
		if f.happens(failureRate * factor) {
			f.restart(false)
		}
		f.comeBack()
	}
}

// settle runs for d while the agents' loads change.
func (f *fleet) settle(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.Run(loadPeriod)
		f.changeLoads()
	}
}

// changeLoads moves the load of each agent a random step.
func (f *fleet) changeLoads() {
	for _, h := range f.agents {
		load := f.loads[h.Addr] + f.rand.IntN(2*maxStep+1) - maxStep
		load = min(max(load, 0), math.MaxUint8)
		f.loads[h.Addr] = load
		h.Node.SetLoad(uint8(load))
	}
}

func (f *fleet) happens(rate float64) bool {
	return f.rand.Float64() < rate*control.TickPeriod.Seconds()
}

// restart takes a random node away for a while, with a drain before it when graceful.
func (f *fleet) restart(graceful bool) {
	h := f.pickAny()
	if graceful {
		f.Perform(h, h.Node.SetState(f.Now, member.Draining))
		f.Run(2 * control.TickPeriod)
		f.Perform(h, h.Node.SetState(f.Now, member.Leaving))
		f.Run(2 * control.TickPeriod)
	}
	h.Down = true
	f.back = append(f.back, returning{h, f.Now.Add(restartTime)})
}

// finishRestarts waits for the nodes that are away, and for the fleet to settle.
func (f *fleet) finishRestarts() {
	for len(f.back) > 0 {
		f.Run(control.TickPeriod)
		f.comeBack()
	}
	f.settle(agentSettle)
}

func (f *fleet) comeBack() {
	for len(f.back) > 0 && !f.Now.Before(f.back[0].at) {
		h := f.back[0].host
		f.back = f.back[1:]
		cfg := f.configs[h.Addr]
		cfg.Self.Incarnation++
		f.configs[h.Addr] = cfg
		f.Add(cfg)
	}
}
