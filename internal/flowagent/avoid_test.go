package flowagent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// newRepeatCluster returns a cluster in which the requests of serviceAddr may be repeated and those of
// ordersAddr may not.
func newRepeatCluster(t *testing.T, agents int) *cluster {
	t.Helper()
	cl := newCluster(t, agents)
	shares := []route.Share{{Service: "alpha", Weight: 1}}
	cl.setRoutes(route.State{Version: 2, Routes: []route.Route{
		{ServiceAddr: serviceAddr, Repeat: route.Idempotent, Shares: shares},
		{ServiceAddr: ordersAddr, Repeat: route.NonIdempotent, Shares: shares},
	}})
	return cl
}

// request opens a flow to an address and sends one request on it. It reports whether the request was answered.
func (cl *cluster) request(addr flow.Endpoint, port uint16) bool {
	c := cl.open(addr, port, 1)[0]
	cl.sendFromCaller(c.Request("hello"))
	return len(c.Answers) == 1
}

// breakRequests sends requests to the agent of a node until it avoids its backend server, which breaks them.
func (cl *cluster) breakRequests(n *node) {
	n.backend.Breaks = true
	for port := uint16(20000); !n.agent.Avoided(); port++ {
		c := flows.NewCaller(flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 9}, Port: port}, ServiceAddr: serviceAddr})
		cl.callers[c.Key] = c
		cl.sendOpeningTo(n, c.Opening())
		cl.sendFromCaller(c.Request("hello"))
		if port > 20010 {
			cl.t.Fatal("the agent does not avoid a backend server that breaks all requests")
		}
	}
}

// A backend server that breaks its requests at once is the least busy one. Its agent sends new flows to others.
func TestNewFlowsAvoidABackendThatBreaksRequests(t *testing.T) {
	is := is.New(t)
	cl := newRepeatCluster(t, 4)
	cl.breakRequests(cl.nodes[0])
	for port := uint16(1000); port < 1100; port++ {
		is.True(cl.request(ordersAddr, port))
	}
	is.Equal(cl.nodes[0].backend.Runs, 0)
}

func TestAvoidedBackendIsTestedAndUsedAgain(t *testing.T) {
	is := is.New(t)
	cl := newRepeatCluster(t, 2)
	n := cl.nodes[0]
	cl.breakRequests(n)
	cl.advance(300 * time.Millisecond)
	n.backend.Breaks = false
	for port := uint16(1000); port < 1020; port++ {
		is.True(cl.request(serviceAddr, port))
	}
	is.True(!n.agent.Avoided())
	is.True(n.backend.Runs > 2)
}

// If all agents avoid their backend servers, forwarding does not help: the flows go to the backend servers.
func TestFlowsAreNotPassedAroundWhenAllBackendsFail(t *testing.T) {
	is := is.New(t)
	cl := newRepeatCluster(t, 8)
	for _, n := range cl.nodes {
		cl.breakRequests(n)
	}
	for _, n := range cl.nodes {
		n.backend.Breaks = false
	}
	before := cl.datagrams
	is.True(cl.request(ordersAddr, 1000))
	is.True(cl.datagrams-before <= 20)
}

func TestRestartedBackendIsTrusted(t *testing.T) {
	is := is.New(t)
	cl := newRepeatCluster(t, 2)
	n := cl.nodes[0]
	cl.breakRequests(n)
	b := n.member.Backend
	b.StartMillis = cl.now.UnixMilli()
	cl.setBackend(n, b)
	is.True(!n.agent.Avoided())
}

// Packets may arrive in another order than they were sent: a closing packet before the answer that it follows
// is not a failure.
func TestCloseBeforeItsAnswerIsNotAFailure(t *testing.T) {
	is := is.New(t)
	cl := newRepeatCluster(t, 1)
	n := cl.nodes[0]
	for port := uint16(1000); port < 1010; port++ {
		c := cl.open(serviceAddr, port, 1)[0]
		n.backendDown = true
		cl.sendFromCaller(c.Request("hello"))
		n.backendDown = false
		answer := n.backend.Handle(c.Request("hello"))[0]
		parsed, err := flows.Codec{}.Parse(answer)
		is.NoErr(err)
		closing := flow.Packet{
			Src: c.Key.ServiceAddr, Dst: c.Key.Caller, Flags: flow.FIN | flow.ACK,
			Seq: parsed.Seq + uint32(parsed.Length), Ack: parsed.Ack,
		}
		for _, raw := range [][]byte{flows.Codec{}.Build(closing, nil), answer} {
			cl.execute(n, n.agent.HandleBackend(cl.now, raw))
		}
	}
	is.True(!n.agent.Avoided())
}
