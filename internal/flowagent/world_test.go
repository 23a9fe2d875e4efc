package flowagent_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowagent"
	"github.com/almondledge/almondledge/internal/flowbalancer"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// front is the address that callers of the tests call.
var front = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// place is an agent with its backend server.
type place struct {
	addr    netip.AddrPort
	board   *placement.Directory
	agent   *flowagent.Agent
	backend *flows.Backend
	member  fleet.Member
	// sawStart is what the agent is told of the start of its backend server.
	sawStart bool
	// queries counts the questions about flows that came here.
	queries int
	// down agents get nothing.
	down bool
	// backendDown backend servers get nothing.
	backendDown bool
}

// world carries packets between callers, one balancer and agents at once, without
// sockets; the time stands still unless a test moves it.
type world struct {
	t        *testing.T
	now      time.Time
	balancer *flowbalancer.Balancer
	board    *placement.Directory
	self     netip.AddrPort
	places   []*place
	callers  map[flow.Key]*flows.Caller
	routes   *route.Table
	hops     int
	// others are members beside the agents.
	others []fleet.Member
}

// newWorld returns a world with agents of one service, whose backend servers
// started long before.
func newWorld(t *testing.T, agents int) *world {
	t.Helper()
	w := &world{
		t:       t,
		now:     time.Unix(2_000_000_000, 0),
		self:    netip.MustParseAddrPort("10.0.0.1:7000"),
		callers: map[flow.Key]*flows.Caller{},
	}
	w.board = placement.NewDirectory(w.now, w.self, "dc1", rand.New(rand.NewPCG(1, 1)))
	w.balancer = flowbalancer.New(w.self, flows.Codec{}, w.board, 1000)
	for i := range agents {
		w.places = append(w.places, w.newPlace(i, "alpha"))
	}
	w.setRoutes(route.State{Version: 1, Routes: []route.Route{{ServiceAddr: front, Shares: []route.Share{{Service: "alpha", Weight: 1}}}}})
	w.now = w.now.Add(time.Minute)
	w.share()
	w.now = w.now.Add(time.Minute)
	w.balancer.SetConverged(true)
	return w
}

func (w *world) newPlace(i int, service string) *place {
	p := &place{
		addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 7000),
		backend: flows.NewBackend(fmt.Sprint("backend", i), uint32(i+1)),
	}
	p.member = fleet.Member{
		Addr: p.addr, Role: fleet.Agent, DataCentre: "dc1", Incarnation: 1,
		Backend: fleet.Backend{Service: service, State: fleet.BackendReady, StartMillis: w.now.UnixMilli(), Slots: 5},
	}
	w.restart(p)
	return p
}

// restart puts a new agent process in the place of the old one.
func (w *world) restart(p *place) {
	p.board = placement.NewDirectory(w.now, p.addr, "dc1", rand.New(rand.NewPCG(1, uint64(p.addr.Addr().As4()[3]))))
	p.agent = flowagent.New(w.now, flowagent.Config{
		Self: p.addr, Service: p.member.Backend.Service, FlowLifetime: time.Minute, Codec: flows.Codec{}, Directory: p.board,
	})
	p.agent.SetBackend(p.member.Backend, p.sawStart)
	p.agent.SetRoutes(w.routes)
}

// share gives every board the present members.
func (w *world) share() {
	members := slices.Clone(w.others)
	for _, p := range w.places {
		members = append(members, p.member)
	}
	w.board.SetMembers(w.now, members)
	for _, p := range w.places {
		p.board.SetMembers(w.now, members)
		w.carry(p, p.agent.Tick(w.now, true)...)
	}
}

func (w *world) setRoutes(s route.State) {
	w.routes = route.NewTable(s)
	w.balancer.SetRoutes(w.routes)
	for _, p := range w.places {
		p.agent.SetRoutes(w.routes)
	}
}

// pass lets time pass in one step.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.places {
		w.carry(p, p.agent.Tick(w.now, false)...)
	}
}

// setBackend changes what an agent knows of its backend server, and tells all.
func (w *world) setBackend(p *place, b fleet.Backend) {
	b.Service = p.member.Backend.Service
	p.member.Backend = b
	w.carry(p, p.agent.SetBackend(b, true))
	w.share()
}

// call returns a caller with a flow that is not open.
func (w *world) call(port uint16) *flows.Caller {
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, ServiceAddr: front}
	c := flows.NewCaller(key)
	w.callers[key] = c
	return c
}

// open opens a flow and returns it with the place that has it.
func (w *world) open(port uint16) (*flows.Caller, *place) {
	w.t.Helper()
	c := w.call(port)
	w.fromCaller(c.Opening())
	w.fromCaller(c.Request("hello"))
	if !c.Open || len(c.Answers) != 1 {
		w.t.Fatalf("flow %v did not open: %+v", c.Key, c)
	}
	for _, p := range w.places {
		if p.backend.Name == c.Answers[0] {
			return c, p
		}
	}
	w.t.Fatal("no place answered")
	return nil, nil
}

// forget puts a new balancer, which knows no flow, in the place of the old one.
func (w *world) forget() {
	w.balancer = flowbalancer.New(w.self, flows.Codec{}, w.board, 1000)
	w.balancer.SetRoutes(w.routes)
	w.balancer.SetConverged(true)
}

func (w *world) fromCaller(raw []byte) flowbalancer.Decision {
	d := w.balancer.HandlePacket(w.now, raw, nil)
	if d.To.IsValid() {
		w.deliver(w.self, hop.Send{To: d.To, Payload: d.Forward})
	}
	w.toCaller(d.Reset)
	return d
}

func (w *world) toCaller(raw []byte) {
	p, err := flows.Codec{}.Parse(raw)
	if err != nil {
		return
	}
	if c := w.callers[p.BackendKey()]; c != nil {
		if answer := c.Handle(raw); answer != nil {
			w.fromCaller(answer)
		}
	}
}

// deliver takes a datagram to a member.
func (w *world) deliver(from netip.AddrPort, s hop.Send) {
	w.hops++
	if w.hops > 100_000 {
		w.t.Fatal("packets circle")
	}
	if s.To == w.self {
		n, err := hop.DecodeNotice(s.Payload)
		if err == nil {
			w.balancer.HandleNotice(w.now, from, n)
		}
		return
	}
	for _, p := range w.places {
		if p.addr == s.To && !p.down {
			w.deliverToAgent(p, from, s.Payload)
		}
	}
}

func (w *world) deliverToAgent(p *place, from netip.AddrPort, payload []byte) {
	switch hop.Type(payload[0]) {
	case hop.TypeForward:
		f, err := hop.DecodeForward(payload)
		if err == nil {
			w.carry(p, p.agent.HandleForward(w.now, f))
		}
	case hop.TypeClaim:
		c, err := hop.DecodeClaim(payload)
		if err == nil {
			p.agent.HandleClaim(c)
		}
	case hop.TypeQuery:
		q, err := hop.DecodeQuery(payload)
		if err == nil {
			p.queries++
			for _, s := range p.agent.HandleQuery(w.now, q) {
				w.deliver(p.addr, s)
			}
		}
	case hop.TypeAnswer:
		a, err := hop.DecodeAnswer(payload)
		if err == nil {
			w.carry(p, p.agent.HandleAnswer(w.now, from, a))
		}
	}
}

// carry does what an agent decided.
func (w *world) carry(p *place, decisions ...flowagent.Decision) {
	for _, d := range decisions {
		for _, r := range d.Replies {
			w.toCaller(r.Packet)
		}
		for _, s := range d.Sends {
			w.deliver(p.addr, s)
		}
		if d.ToBackend == nil || p.backendDown {
			continue
		}
		for _, raw := range p.backend.Handle(d.ToBackend) {
			w.carry(p, p.agent.HandleBackend(w.now, raw))
		}
	}
}

// loseAll replaces all processes and backend servers at this moment.
func (w *world) loseAll() {
	w.forget()
	for _, p := range w.places {
		p.backend = newBackendLike(p)
		p.member.Backend.StartMillis = w.now.UnixMilli()
		p.member.Incarnation++
		p.sawStart = true
		w.restart(p)
	}
	w.share()
}

// newBackendLike returns a backend server of the same name without flows.
func newBackendLike(p *place) *flows.Backend {
	return flows.NewBackend(p.backend.Name, 99)
}

// sendTo hands an opening packet to the agent of a place, past the balancer's choice.
func (w *world) sendTo(p *place, raw []byte, service string) {
	f := hop.Forward{
		Balancer: flow.EndpointOf(w.self), Version: w.routes.Version(),
		Service: placement.ServiceHash(service), Packet: raw,
	}
	w.carry(p, p.agent.HandleForward(w.now, f))
}

// plain returns the first opening packet of a caller.
func (w *world) plain(c *flows.Caller) []byte {
	return flows.NewCaller(c.Key).Opening()
}
