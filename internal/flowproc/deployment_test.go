package flowproc_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowagent"
	"github.com/almondledge/almondledge/internal/flowproc"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/memnet"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
	"github.com/almondledge/almondledge/internal/store"
)

// Ports of the test deployments, the same on all instances.
const (
	peerPort        = 7000
	callerPort      = 7001
	backendPort     = 7002
	fromBackendPort = 7003
	metricsPort     = 7004
)

// service and serviceAddr are the service of all flows and its address.
const service = "alpha"

var serviceAddr = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// stateStore is a StateSource in memory.
type stateStore struct {
	mu       sync.Mutex
	state    route.State
	epoch    uint64
	revision int64
	down     bool
	// unreadable makes the changes of the state unreadable, but not the state itself.
	unreadable bool
}

func (s *stateStore) set(state route.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.revision++
}

// restore brings the store back from a copy with an older state and revision.
func (s *stateStore) restore(state route.State, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.state, s.revision = state, revision
}

func (s *stateStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *stateStore) changesUnreadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreadable
}

func (s *stateStore) ReadState(context.Context) (route.State, store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return route.State{}, store.Position{}, errkind.New(errkind.Unavailable, "store is down", "wait")
	}
	return s.state, store.Position{Epoch: s.epoch, Revision: s.revision}, nil
}

func (s *stateStore) ReadChange(ctx context.Context, after store.Position) (route.State, store.Position, error) {
	state, newest, err := s.ReadState(ctx)
	switch {
	case err != nil:
	case s.changesUnreadable():
		err = errkind.New(errkind.Invalid, "changes cannot be decoded", "check the store")
	case newest.Epoch != after.Epoch:
		err = errkind.New(errkind.Stale, "store was restored", "none needed")
	case newest.Revision <= after.Revision:
		return route.State{}, after, nil
	}
	return state, newest, err
}

// deployment runs whole balancers and agents on a network in memory, inside a synctest bubble.
type deployment struct {
	t      *testing.T
	ctx    context.Context
	net    *memnet.Net
	store  *stateStore
	roster roster.Store
	// seeds returns the seeds of a process.
	seeds     func(addr netip.Addr) []netip.AddrPort
	balancers []*process
	agents    []*agentProcess
	callers   map[flow.Key]*flows.Caller
	logs      *lockedBuffer
	mu        sync.Mutex
}

// process is a running balancer or agent.
type process struct {
	addr  netip.Addr
	kill  context.CancelFunc
	drain context.CancelFunc
	done  chan struct{}
	// ready returns nil if the process is ready for callers' packets.
	ready func() error
}

// agentProcess is an agent with its backend server.
type agentProcess struct {
	process
	agent       *flowproc.Agent
	backend     *flows.Backend
	startMillis int64
	sequence    int64
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what has been written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// deploy starts balancers and agents and waits for a minute.
func deploy(t *testing.T, balancers, agents int) *deployment {
	return deployWithRoster(t, nil, balancers, agents)
}

func deployWithRoster(t *testing.T, st roster.Store, balancers, agents int) *deployment {
	d := newDeployment(t, st)
	d.run(balancers, agents)
	return d
}

// newDeployment returns a deployment without any processes, whose seeds are the first two balancers.
func newDeployment(t *testing.T, st roster.Store) *deployment {
	d := &deployment{
		t: t, net: memnet.New(1), store: &stateStore{}, roster: st, callers: map[flow.Key]*flows.Caller{}, logs: &lockedBuffer{},
	}
	d.seeds = func(netip.Addr) []netip.AddrPort {
		return []netip.AddrPort{netip.AddrPortFrom(balancerAddr(0), peerPort), netip.AddrPortFrom(balancerAddr(1), peerPort)}
	}
	d.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: 2 * time.Millisecond} })
	d.store.set(stateFor(1))
	return d
}

// run starts balancers and agents and waits for a minute.
func (d *deployment) run(balancers, agents int) {
	ctx, stop := context.WithCancel(d.t.Context())
	d.ctx = ctx
	for i := range balancers {
		d.balancers = append(d.balancers, d.startBalancer(i))
	}
	for i := range agents {
		a := &agentProcess{backend: flows.NewBackend(fmt.Sprint("backend", i), uint32(i+1)), startMillis: time.Now().UnixMilli()}
		d.agents = append(d.agents, a)
		d.serveBackend(a, i)
	}
	time.Sleep(time.Second)
	for i := range agents {
		d.startAgent(i)
	}
	d.net.Handle(ctx, callersAddr(), d.toCaller)
	time.Sleep(time.Minute)
	d.t.Cleanup(func() {
		stop()
		for _, b := range d.balancers {
			<-b.done
		}
		for _, a := range d.agents {
			<-a.done
		}
	})
}

// stateFor returns a desired state that routes serviceAddr to service.
func stateFor(version uint64) route.State {
	return route.State{
		Version:     version,
		IdleTimeout: 15 * time.Second,
		Routes:      []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: service, Weight: 1}}}},
	}
}

func callersAddr() netip.AddrPort { return netip.MustParseAddrPort("100.64.0.1:7001") }

func balancerAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }
func agentAddr(i int) netip.Addr    { return netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}) }

func (d *deployment) common(addr netip.Addr) flowproc.Common {
	return flowproc.Common{
		Name: addr.String(), DataCentre: "dc1", Peer: netip.AddrPortFrom(addr, peerPort), CallerPort: callerPort,
		Seeds:        d.seeds(addr),
		FlowLifetime: time.Minute, Metrics: netip.AddrPortFrom(addr, metricsPort),
	}
}

func (d *deployment) options(addr netip.Addr, role string) flowproc.Options {
	logger, err := logging.New(d.logs, "info", logging.Source{Role: role, Instance: addr.String(), DataCentre: "dc1"})
	if err != nil {
		d.t.Fatal(err)
	}
	seed := uint64(addr.As4()[3])
	return flowproc.Options{
		Roster:  d.roster,
		Network: d.net.Host(addr), Codec: flows.Codec{}, States: d.store, Log: logger, Rand: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (d *deployment) start(addr netip.Addr, run func(ctx, drain context.Context) error) process {
	ctx, kill := context.WithCancel(d.ctx)
	drain, beginDrain := context.WithCancel(ctx)
	p := process{addr: addr, kill: kill, drain: beginDrain, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := run(ctx, drain); err != nil {
			d.t.Error(err)
		}
	}()
	return p
}

func (d *deployment) startBalancer(i int) *process {
	addr := balancerAddr(i)
	b, err := flowproc.NewBalancer(flowproc.BalancerConfig{
		Common: d.common(addr), Callers: netip.AddrPortFrom(addr, callerPort),
	}, d.options(addr, "balancer"))
	if err != nil {
		d.t.Fatal(err)
	}
	p := d.start(addr, b.Run)
	p.ready = b.Ready
	return &p
}

func (d *deployment) startAgent(i int) {
	a, addr := d.agents[i], agentAddr(i)
	agent, err := flowproc.NewAgent(flowproc.AgentConfig{
		Common: d.common(addr), Service: service,
		Backend: netip.AddrPortFrom(addr, backendPort), FromBackend: netip.AddrPortFrom(addr, fromBackendPort),
	}, d.options(addr, "agent"))
	if err != nil {
		d.t.Fatal(err)
	}
	a.agent = agent
	a.process = d.start(addr, agent.Run)
	d.report(i, fleet.BackendReady)
}

// serveBackend runs a backend server at its address.
func (d *deployment) serveBackend(a *agentProcess, i int) {
	at := netip.AddrPortFrom(agentAddr(i), backendPort)
	d.net.Handle(d.ctx, at, func(_ netip.AddrPort, datagram []byte) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, raw := range a.backend.Handle(datagram) {
			d.net.Inject(at, netip.AddrPortFrom(at.Addr(), fromBackendPort), raw)
		}
	})
}

// identity returns the identity that a backend server reports.
func (d *deployment) identity(i int) flowagent.Identity {
	backend := netip.AddrPortFrom(agentAddr(i), backendPort)
	return flowagent.Identity{Service: service, Addr: backend, DataCentre: d.common(agentAddr(i)).DataCentre}
}

// report sends a report of a backend server to its agent.
func (d *deployment) report(i int, state fleet.BackendState) {
	a := d.agents[i]
	a.sequence++
	err := a.agent.Report(flowagent.Report{
		Identity: d.identity(i), ID: a.backend.Name, State: state, StartMillis: a.startMillis, Slots: 5, Sequence: a.sequence,
	})
	if err != nil {
		d.t.Error(err)
	}
}

// crashEverything kills all processes and backend servers at once, and starts them again without
// any flows.
func (d *deployment) crashEverything(down time.Duration) {
	d.mu.Lock()
	for _, a := range d.agents {
		*a.backend = *flows.NewBackend(a.backend.Name, 77)
		a.startMillis, a.sequence = time.Now().Add(down).UnixMilli(), 0
	}
	d.mu.Unlock()
	d.restartProcesses(down)
}

// restartProcesses kills all processes at once, as SIGKILL does, and starts them again.
func (d *deployment) restartProcesses(down time.Duration) {
	for _, b := range d.balancers {
		b.kill()
		<-b.done
	}
	for _, a := range d.agents {
		a.kill()
		<-a.done
	}
	time.Sleep(down)
	for i := range d.balancers {
		d.balancers[i] = d.startBalancer(i)
	}
	for i := range d.agents {
		d.startAgent(i)
	}
}

// send sends a caller's packet to one balancer.
func (d *deployment) send(balancer int, raw []byte) {
	d.net.Inject(callersAddr(), netip.AddrPortFrom(balancerAddr(balancer), callerPort), raw)
}

func (d *deployment) toCaller(_ netip.AddrPort, raw []byte) {
	p, err := flows.Codec{}.Parse(raw)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.callers[p.BackendKey()]; c != nil {
		if answer := c.Handle(raw); answer != nil {
			d.send(int(c.Key.Caller.Port)%len(d.balancers), answer)
		}
	}
}

// call opens a flow through one balancer and sends a request, and returns the caller. It waits 100 ms after
// the opening packet and after the request.
func (d *deployment) call(balancer int, port uint16) *flows.Caller {
	c := flows.NewCaller(flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, ServiceAddr: serviceAddr})
	d.mu.Lock()
	d.callers[c.Key] = c
	d.mu.Unlock()
	d.send(balancer, c.Opening())
	time.Sleep(100 * time.Millisecond)
	if d.read(c).Open {
		d.request(balancer, c)
	}
	return c
}

// request sends a request of an open flow through one balancer.
func (d *deployment) request(balancer int, c *flows.Caller) {
	d.mu.Lock()
	raw := c.Request("hello")
	d.mu.Unlock()
	d.send(balancer, raw)
	time.Sleep(100 * time.Millisecond)
}

// read returns a copy of a caller's current state.
func (d *deployment) read(c *flows.Caller) flows.Caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *c
}

// addUnknownMembers sends a balancer the messages of members that do not run and are unknown to all other
// processes.
func (d *deployment) addUnknownMembers(balancer, count int) {
	to := netip.AddrPortFrom(balancerAddr(balancer), peerPort)
	for i := range count {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), peerPort)
		unknown := fleet.New(time.Now(), fleet.Config{
			Self:    fleet.Member{Addr: at, Role: fleet.Agent, DataCentre: "dc2", Incarnation: 1},
			Rand:    rand.New(rand.NewPCG(1, uint64(i))),
			Version: func() (uint64, time.Duration) { return 0, 0 },
			Load:    func() fleet.Load { return fleet.Load{} },
		})
		sends, _ := unknown.SendVersion([]netip.AddrPort{to})
		d.net.Inject(at, to, append([]byte{byte(hop.TypeMembership)}, sends[0].Payload...))
	}
	time.Sleep(50 * time.Millisecond)
}
