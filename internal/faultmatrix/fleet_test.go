// Package faultmatrix tests the guarantees of the system under faults. Complete
// balancers and agents, including QUIC, run on an in-memory network and a fake clock.
// Only what surrounds them (callers, fabric, backend servers, store) is a stand-in.
package faultmatrix

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/almondledge/almondledge/internal/agent"
	"github.com/almondledge/almondledge/internal/balancer"
	"github.com/almondledge/almondledge/internal/fabriclink"
	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/memnet"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/standin/backend"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/ticket"
)

// Sizes and names of the fleet: three balancers and four agents in two data centres.
const (
	balancerCount = 3
	bookingAgents = 3
	agentCount    = 4
	storeURL      = "http://127.3.0.1:2379"
	booking       = "rezervasyon"
	bulletin      = "dalga-bulten"
	linkDelay     = 5 * time.Millisecond
)

var (
	fabricAddr   = netip.MustParseAddrPort("127.3.0.2:7200")
	bookingAddr  = netip.MustParseAddrPort("127.3.0.10:443")
	bulletinAddr = netip.MustParseAddrPort("127.3.0.11:443")
	dataCentres  = [...]string{"cesme", "alacati"}
)

func balancerHost(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 3, 1, byte(i + 1)}) }
func agentHost(i int) netip.Addr    { return netip.AddrFrom4([4]byte{127, 3, 2, byte(i + 1)}) }

// agentAddr returns the address that identifies agent i.
func agentAddr(i int) netip.AddrPort { return netip.AddrPortFrom(agentHost(i), 7000) }

// process is a running balancer or agent, with its host and the ways to end it.
type process struct {
	host  *memnet.Host
	kill  context.CancelFunc
	drain context.CancelFunc
	done  chan struct{}
}

// crash ends the process as SIGKILL does: its host sends no more packets.
func (p *process) crash() {
	p.host.Kill()
	p.kill()
	<-p.done
}

// fleet is the whole system with the stand-ins around it.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	net      *memnet.Net
	store    *platform.Platform
	client   *etcd.Client
	issuer   *localfleet.Fleet
	settings struct {
		balancers []settings.Balancer
		agents    []settings.Agent
	}
	balancers         []*balancer.Balancer
	agents            []*agent.Agent
	backends          []*backend.Server
	balancerProcesses []*process
	agentProcesses    []*process

	// swapServices makes the fabric deliver packets for each service address as
	// packets for the other service address.
	swapServices atomic.Bool

	mu sync.Mutex
	// sprayed lists the balancers that the fabric sends to.
	sprayed []int
	tickets int
	// booking is the state of the booking service in the last submitted ticket.
	booking service.Spec
	flows   int
	ended   []caller.End
	stops   []func()
	// backendLeft marks the backend servers that were stopped.
	backendLeft [agentCount]bool
	// stopBackends end the backend servers gracefully.
	stopBackends []func()
	// onAccept is called with the revision of each accepted ticket.
	onAccept func(revision int64)
}

// runFleet starts a fleet in a synctest bubble, waits until it serves, and runs test.
func runFleet(t *testing.T, seed uint64, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{t: t, ctx: ctx, net: memnet.New(seed), booking: baseSpecs()[0], onAccept: func(int64) {}}
		f.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: linkDelay} })
		f.start()
		test(f)
		f.stop(cancel)
	})
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start() {
	f.store = platform.New(time.Now)
	var err error
	f.client, err = etcd.New(etcd.Config{Endpoints: []string{storeURL}, Transport: platform.Transport{Platform: f.store}})
	f.must(err)
	var seeds []netip.AddrPort
	for i := range balancerCount {
		seeds = append(seeds, netip.AddrPortFrom(balancerHost(i), 7000))
		f.sprayed = append(f.sprayed, i)
	}
	f.issuer, err = localfleet.New(storeURL, fabricAddr, seeds)
	f.must(err)
	f.startFabric()
	f.submit("create", baseSpecs()...)
	for i := range balancerCount {
		f.startBalancer(i)
	}
	for i := range agentCount {
		f.startAgent(i)
		f.startBackend(i)
	}
	f.await("every agent accepts flows", func() bool {
		for _, a := range f.agents {
			if a.Ready() != nil {
				return false
			}
		}
		return true
	})
	time.Sleep(15 * time.Second) // until the backend servers have warmed up
}

// atStop registers a function to call at the end of the fleet.
func (f *fleet) atStop(stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, stop)
}

// stop ends all parts of the fleet, so that the synctest bubble can end.
func (f *fleet) stop(cancel context.CancelFunc) {
	for _, stop := range f.stops {
		stop()
	}
	for _, p := range append(f.balancerProcesses, f.agentProcesses...) {
		p.host.Revive()
		p.kill()
		<-p.done
	}
	for _, b := range f.backends {
		_ = b.Close()
	}
	cancel()
}

func baseSpecs() []service.Spec {
	network := []netip.Prefix{netip.MustParsePrefix("127.3.2.0/24")}
	limits := service.Limits{Connections: 100, Slots: 2, QueueLength: 20, DeadlineMillis: 20_000}
	return []service.Spec{
		{Name: booking, ID: 1, Address: bookingAddr, BackendServers: network, Limits: limits, Repeat: service.RepeatPolicy{RequireKey: true}},
		{Name: bulletin, ID: 2, Address: bulletinAddr, BackendServers: network, Limits: limits},
	}
}

// submit submits a ticket, which must be accepted, and returns its revision.
func (f *fleet) submit(name string, specs ...service.Spec) int64 {
	f.t.Helper()
	outcome, err := f.trySubmit(name, specs...)
	f.must(err)
	return outcome.Revision
}

func (f *fleet) trySubmit(name string, specs ...service.Spec) (ticket.Outcome, error) {
	f.mu.Lock()
	f.tickets++
	id := fmt.Sprintf("%s-%d", name, f.tickets)
	f.mu.Unlock()
	submitter := ticket.Submitter{Store: f.client}
	return submitter.Submit(f.ctx, ticket.Ticket{ID: id, Submitter: "operator", Services: specs})
}

// remove removes a service by ticket.
func (f *fleet) remove(name string) {
	f.t.Helper()
	submitter := ticket.Submitter{Store: f.client}
	_, err := submitter.Submit(f.ctx, ticket.Ticket{ID: "remove-" + name, Submitter: "operator", Removed: []string{name}})
	f.must(err)
}

// startFabric starts a fabric that spreads callers' packets over the balancers and
// forwards replies to the callers.
func (f *fleet) startFabric() {
	for _, addr := range []netip.AddrPort{bookingAddr, bulletinAddr} {
		f.net.Handle(f.ctx, addr, func(from netip.AddrPort, datagram []byte) { f.spray(addr, from, datagram) })
	}
	f.net.Handle(f.ctx, fabricAddr, func(_ netip.AddrPort, datagram []byte) {
		packet, err := fabriclink.Decode(datagram)
		if err != nil {
			return
		}
		f.net.Inject(packet.Src, packet.Dst, packet.Payload)
	})
}

// spray sends a caller's datagram to a randomly chosen balancer.
func (f *fleet) spray(serviceAddr, from netip.AddrPort, datagram []byte) {
	if f.swapServices.Load() {
		serviceAddr = map[netip.AddrPort]netip.AddrPort{bookingAddr: bulletinAddr, bulletinAddr: bookingAddr}[serviceAddr]
	}
	targets := f.sprayTargets()
	if len(targets) == 0 {
		return
	}
	to := netip.AddrPortFrom(balancerHost(targets[f.net.Intn(len(targets))]), 7100)
	wrapped, err := fabriclink.Encode(nil, from, serviceAddr, datagram)
	if err == nil {
		f.net.Inject(fabricAddr, to, wrapped)
	}
}

// sprayTargets returns the balancers that the fabric sends to. The list must not be changed.
func (f *fleet) sprayTargets() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sprayed
}

// sprayTo makes the fabric send to a balancer, too.
func (f *fleet) sprayTo(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.sprayed, i) {
		f.sprayed = append(slices.Clone(f.sprayed), i)
	}
}

// stopSprayingTo makes the fabric send to the other balancers only.
func (f *fleet) stopSprayingTo(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sprayed = slices.DeleteFunc(slices.Clone(f.sprayed), func(k int) bool { return k == i })
}

func discardLog() log.Interface {
	return &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
}

func (f *fleet) startBalancer(i int) {
	host := f.net.Host(balancerHost(i))
	host.Revive()
	if i == len(f.settings.balancers) {
		config, err := f.issuer.Balancer(dataCentres[i%2], netip.AddrPortFrom(balancerHost(i), 7000),
			netip.AddrPortFrom(balancerHost(i), 7100), netip.AddrPortFrom(balancerHost(i), 7080))
		f.must(err)
		f.settings.balancers = append(f.settings.balancers, config)
	}
	b, err := balancer.New(f.settings.balancers[i], balancer.Options{
		Log: discardLog(), Network: host, StoreTransport: platform.Transport{Platform: f.store},
	})
	f.must(err)
	p := f.launch(host, b.Run)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = setAt(f.balancers, i, b)
	f.balancerProcesses = setAt(f.balancerProcesses, i, p)
}

// setAt returns a copy of list with item at index i, which may be one past its end. The
// old list stays unchanged, since other goroutines may be reading it.
func setAt[T any](list []T, i int, item T) []T {
	next := slices.Clone(list)
	if i == len(next) {
		return append(next, item)
	}
	next[i] = item
	return next
}

// startedBalancers returns all balancers that have been started.
func (f *fleet) startedBalancers() []*balancer.Balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancers
}

func (f *fleet) startAgent(i int) {
	host := f.net.Host(agentHost(i))
	host.Revive()
	if i == len(f.settings.agents) {
		config, err := f.issuer.Agent(dataCentres[i%2], agentAddr(i),
			netip.AddrPortFrom(agentHost(i), 7090), netip.AddrPortFrom(agentHost(i), 7080))
		f.must(err)
		f.settings.agents = append(f.settings.agents, config)
	}
	a, err := agent.New(f.settings.agents[i], agent.Options{
		Log: discardLog(), Network: host, StoreTransport: platform.Transport{Platform: f.store},
	})
	f.must(err)
	p := f.launch(host, a.Run)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents = setAt(f.agents, i, a)
	f.agentProcesses = setAt(f.agentProcesses, i, p)
}

func (f *fleet) launch(host *memnet.Host, role func(ctx, drain context.Context) error) *process {
	ctx, kill := context.WithCancel(f.ctx)
	drain, beginDrain := context.WithCancel(f.ctx)
	p := &process{host: host, kill: kill, drain: beginDrain, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := role(ctx, drain); err != nil && !errors.Is(err, context.Canceled) {
			f.t.Errorf("process failed: %v", err)
		}
	}()
	return p
}

// serviceOf returns the service that backend server i serves.
func serviceOf(i int) string {
	if i < bookingAgents {
		return booking
	}
	return bulletin
}

func (f *fleet) startBackend(i int) {
	loopback := f.net.Host(netip.MustParseAddr("127.0.0.1"))
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.net.Host(agentHost(i)).DialTCP(ctx, address)
		},
		DisableKeepAlives: true,
	}}
	server, err := backend.New(backend.Config{
		Listen: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8001+i)), Service: serviceOf(i),
		Name: fmt.Sprintf("%s/%d", serviceOf(i), i), Capacity: 2, Agent: "http://" + f.settings.agents[i].Announce.String(),
		DrainTimeout: time.Minute, Seed: 1, Client: client,
		ListenTCP: loopback.ListenTCP,
	})
	f.must(err)
	f.backends = append(f.backends, server)
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	f.stopBackends = append(f.stopBackends, cancel)
	f.atStop(func() {
		cancel()
		<-done
	})
}

// stopBackend makes a backend server leave gracefully.
func (f *fleet) stopBackend(i int) {
	f.backendLeft[i] = true
	f.stopBackends[i]()
}

// flow opens a caller's flow to a service address.
func (f *fleet) flow(serviceAddr netip.AddrPort) *caller.Flow {
	f.t.Helper()
	f.mu.Lock()
	f.flows++
	host := f.net.Host(netip.AddrFrom4([4]byte{127, 3, 9, byte(f.flows)}))
	f.mu.Unlock()
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(f.issuer.CallerCA()))
	flow, err := caller.NewFlow(caller.Config{
		Address: serviceAddr, ServerName: localfleet.CallerHost, TLS: &tls.Config{RootCAs: pool},
		Listen: func() (net.PacketConn, error) { return host.ListenPacket(40_000), nil },
		OnEnd: func(end caller.End) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ended = append(f.ended, end)
		},
	})
	f.must(err)
	f.atStop(flow.Close)
	return flow
}

// await waits up to 60 s of fake time until condition holds.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("condition not met after 60 s: %s", what)
}
