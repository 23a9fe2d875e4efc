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

// serviceAddr is the service address that the callers use.
var serviceAddr = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// node is an agent with its backend server.
type node struct {
	addr      netip.AddrPort
	directory *placement.Directory
	agent     *flowagent.Agent
	backend   *flows.Backend
	member    fleet.Member
	// sawFirstReport is passed to Agent.SetBackend.
	sawFirstReport bool
	// queries counts the queries that the agent received.
	queries int
	// down is set while the agent receives no datagrams.
	down bool
	// backendDown is set while the backend server receives no packets.
	backendDown bool
}

// cluster delivers packets between callers, one balancer and agents without sockets or delay. Its
// clock moves only when a test moves it.
type cluster struct {
	t            *testing.T
	now          time.Time
	balancer     *flowbalancer.Balancer
	directory    *placement.Directory
	balancerAddr netip.AddrPort
	nodes        []*node
	callers      map[flow.Key]*flows.Caller
	routes       *route.Table
	datagrams    int
	// otherMembers are members that are not agents.
	otherMembers []fleet.Member
}

// newCluster returns a cluster with agents of service alpha, whose backend servers started two
// minutes ago.
func newCluster(t *testing.T, agents int) *cluster {
	t.Helper()
	cl := &cluster{
		t:            t,
		now:          time.Unix(2_000_000_000, 0),
		balancerAddr: netip.MustParseAddrPort("10.0.0.1:7000"),
		callers:      map[flow.Key]*flows.Caller{},
	}
	cl.directory = placement.NewDirectory(cl.now, cl.balancerAddr, "dc1", rand.New(rand.NewPCG(1, 1)))
	cl.balancer = flowbalancer.New(cl.balancerAddr, flows.Codec{}, cl.directory, 1000)
	for i := range agents {
		cl.nodes = append(cl.nodes, cl.newNode(i, "alpha"))
	}
	cl.setRoutes(route.State{Version: 1, Routes: []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: "alpha", Weight: 1}}}}})
	cl.now = cl.now.Add(time.Minute)
	cl.shareMembers()
	cl.now = cl.now.Add(time.Minute)
	cl.balancer.SetConverged(true)
	return cl
}

func (cl *cluster) newNode(i int, service string) *node {
	n := &node{
		addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 7000),
		backend: flows.NewBackend(fmt.Sprint("backend", i), uint32(i+1)),
	}
	n.member = fleet.Member{
		Addr: n.addr, Role: fleet.Agent, DataCentre: "dc1", Incarnation: 1,
		Backend: fleet.Backend{Service: service, State: fleet.BackendReady, StartMillis: cl.now.UnixMilli(), Slots: 5},
	}
	cl.restartAgent(n)
	return n
}

// restartAgent replaces an agent process by a new one.
func (cl *cluster) restartAgent(n *node) {
	n.directory = placement.NewDirectory(cl.now, n.addr, "dc1", rand.New(rand.NewPCG(1, uint64(n.addr.Addr().As4()[3]))))
	n.agent = flowagent.New(cl.now, flowagent.Config{
		Self: n.addr, Service: n.member.Backend.Service, FlowLifetime: time.Minute, Codec: flows.Codec{}, Directory: n.directory,
	})
	n.agent.SetBackend(n.member.Backend, n.sawFirstReport)
	n.agent.SetRoutes(cl.routes)
}

// shareMembers gives all processes the current member records.
func (cl *cluster) shareMembers() {
	members := slices.Clone(cl.otherMembers)
	for _, n := range cl.nodes {
		members = append(members, n.member)
	}
	cl.directory.SetMembers(cl.now, members)
	for _, n := range cl.nodes {
		n.directory.SetMembers(cl.now, members)
		cl.execute(n, n.agent.Tick(cl.now, true)...)
	}
}

func (cl *cluster) setRoutes(s route.State) {
	cl.routes = route.NewTable(s)
	cl.balancer.SetRoutes(cl.routes)
	for _, n := range cl.nodes {
		n.agent.SetRoutes(cl.routes)
	}
}

// advance moves the clock in one step, and then ticks all agents.
func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for _, n := range cl.nodes {
		cl.execute(n, n.agent.Tick(cl.now, false)...)
		cl.releaseQueued(n)
	}
}

// setBackend changes the backend server's state at its agent and shares the change with all processes.
func (cl *cluster) setBackend(n *node, b fleet.Backend) {
	b.Service = n.member.Backend.Service
	n.member.Backend = b
	cl.execute(n, n.agent.SetBackend(b, true))
	cl.shareMembers()
}

// newCaller returns a caller with a flow that is not open.
func (cl *cluster) newCaller(port uint16) *flows.Caller {
	key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, ServiceAddr: serviceAddr}
	c := flows.NewCaller(key)
	cl.callers[key] = c
	return c
}

// openFlow opens a flow, and returns its caller and the node that has it.
func (cl *cluster) openFlow(port uint16) (*flows.Caller, *node) {
	cl.t.Helper()
	c := cl.newCaller(port)
	cl.sendFromCaller(c.Opening())
	cl.sendFromCaller(c.Request("hello"))
	if !c.Open || len(c.Answers) != 1 {
		cl.t.Fatalf("flow %v did not open: %+v", c.Key, c)
	}
	for _, n := range cl.nodes {
		if n.backend.Name == c.Answers[0] {
			return c, n
		}
	}
	cl.t.Fatal("the answer comes from no known backend server")
	return nil, nil
}

// replaceBalancer replaces the balancer by a new one that knows no flows.
func (cl *cluster) replaceBalancer() {
	cl.balancer = flowbalancer.New(cl.balancerAddr, flows.Codec{}, cl.directory, 1000)
	cl.balancer.SetRoutes(cl.routes)
	cl.balancer.SetConverged(true)
}

func (cl *cluster) sendFromCaller(raw []byte) flowbalancer.Decision {
	d := cl.balancer.HandlePacket(cl.now, raw, nil)
	if d.To.IsValid() {
		cl.deliver(cl.balancerAddr, hop.Send{To: d.To, Payload: d.Forward})
	}
	cl.deliverToCaller(d.Reset)
	return d
}

func (cl *cluster) deliverToCaller(raw []byte) {
	p, err := flows.Codec{}.Parse(raw)
	if err != nil {
		return
	}
	if c := cl.callers[p.BackendKey()]; c != nil {
		if answer := c.Handle(raw); answer != nil {
			cl.sendFromCaller(answer)
		}
	}
}

// deliver delivers a datagram to a member.
func (cl *cluster) deliver(from netip.AddrPort, s hop.Send) {
	cl.datagrams++
	if cl.datagrams > 100_000 {
		cl.t.Fatal("datagrams are forwarded in a loop")
	}
	if s.To == cl.balancerAddr {
		notice, err := hop.DecodeNotice(s.Payload)
		if err == nil {
			cl.balancer.HandleNotice(cl.now, from, notice)
		}
		return
	}
	for _, n := range cl.nodes {
		if n.addr == s.To && !n.down {
			cl.deliverToAgent(n, from, s.Payload)
		}
	}
}

func (cl *cluster) deliverToAgent(n *node, from netip.AddrPort, payload []byte) {
	switch hop.Type(payload[0]) {
	case hop.TypeForward:
		f, err := hop.DecodeForward(payload)
		if err == nil {
			cl.execute(n, n.agent.HandleForward(cl.now, f))
		}
	case hop.TypeClaim:
		c, err := hop.DecodeClaim(payload)
		if err == nil {
			n.agent.HandleClaim(c)
		}
	case hop.TypeQuery:
		q, err := hop.DecodeQuery(payload)
		if err == nil {
			n.queries++
			for _, s := range n.agent.HandleQuery(cl.now, q) {
				cl.deliver(n.addr, s)
			}
		}
	case hop.TypeAnswer:
		a, err := hop.DecodeAnswer(payload)
		if err == nil {
			cl.execute(n, n.agent.HandleAnswer(cl.now, from, a))
		}
	}
}

// execute carries out the decisions of an agent.
func (cl *cluster) execute(n *node, decisions ...flowagent.Decision) {
	for _, d := range decisions {
		for _, r := range d.Replies {
			cl.deliverToCaller(r.Packet)
		}
		for _, s := range d.Sends {
			cl.deliver(n.addr, s)
		}
		if d.ToBackend == nil || n.backendDown {
			continue
		}
		for _, raw := range n.backend.Handle(d.ToBackend) {
			cl.execute(n, n.agent.HandleBackend(cl.now, raw))
			cl.releaseQueued(n)
		}
	}
}

// releaseQueued executes the decisions about the opening packets that can leave an agent's queue.
func (cl *cluster) releaseQueued(n *node) {
	for d, released := n.agent.ReleaseQueued(cl.now); released; d, released = n.agent.ReleaseQueued(cl.now) {
		cl.execute(n, d)
	}
}

// replaceEverything replaces all processes and backend servers by new ones.
func (cl *cluster) replaceEverything() {
	cl.replaceBalancer()
	for _, n := range cl.nodes {
		n.backend = newEmptyBackend(n)
		n.member.Backend.StartMillis = cl.now.UnixMilli()
		n.member.Incarnation++
		n.sawFirstReport = true
		cl.restartAgent(n)
	}
	cl.shareMembers()
}

// newEmptyBackend returns a backend server with the name of the node's, without flows.
func newEmptyBackend(n *node) *flows.Backend {
	return flows.NewBackend(n.backend.Name, 99)
}

// sendOpeningTo sends an opening packet to the agent of a node, regardless of the balancer's choice.
func (cl *cluster) sendOpeningTo(n *node, raw []byte) {
	f := hop.Forward{
		Balancer: flow.EndpointOf(cl.balancerAddr), Version: cl.routes.Version(),
		Service: placement.ServiceHash(n.member.Backend.Service), Packet: raw,
	}
	cl.execute(n, n.agent.HandleForward(cl.now, f))
}

// firstOpening returns the first opening packet of a caller.
func (cl *cluster) firstOpening(c *flows.Caller) []byte {
	return flows.NewCaller(c.Key).Opening()
}
