package flowagent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowbalancer"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
)

func TestFlowStaysWithItsBackendAfterABalancerRestart(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 7)
	for port := uint16(1000); port < 1050; port++ {
		c, n := cl.openFlow(port)
		cl.replaceBalancer()
		cl.sendFromCaller(c.Request("again"))
		is.Equal(c.Answers, []string{n.backend.Name, n.backend.Name}) // a balancer that knows no flows finds the agent
	}
}

func TestFlowIsFoundAfterItsHomeAgentsChange(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	c, n := cl.openFlow(1000)
	for i := 10; i < 16; i++ {
		cl.nodes = append(cl.nodes, cl.newNode(i, "alpha"))
	}
	cl.shareMembers()
	cl.replaceBalancer()
	before := cl.datagrams
	cl.sendFromCaller(c.Request("again"))
	is.Equal(c.Answers, []string{n.backend.Name, n.backend.Name})
	// The request and the acknowledgement each cause at most three datagrams: to the home agent, from there
	// to the owner, and a notice. The new home agents have received ownership claims, so they send no
	// queries.
	is.True(cl.datagrams-before <= 6)
}

func TestDrainingBackendGetsNoNewFlowAndKeepsItsOwn(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3)
	c, n := cl.openFlow(1000)
	b := n.member.Backend
	b.State = fleet.BackendDraining
	n.member.Backend = b
	n.agent.SetBackend(b, true) // the balancer has not received this change
	for port := uint16(2000); port < 2030; port++ {
		_, other := cl.openFlow(port)
		is.True(other != n) // forwarded by the agent
	}
	cl.sendFromCaller(c.Request("again"))
	is.Equal(len(c.Answers), 2) // the draining backend server keeps its flow
}

func TestOpeningPacketIsResetWhenNoBackendAcceptsIt(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3)
	for _, n := range cl.nodes {
		n.backend.Full = true
	}
	c := cl.newCaller(1000)
	cl.sendFromCaller(c.Opening())
	is.True(c.Reset)
	is.True(!c.Open)
}

func TestOpeningPacketReturnedByAFullBackendIsForwarded(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3)
	cl.nodes[0].backend.Full = true
	cl.nodes[1].backend.Full = true
	for port := uint16(1000); port < 1010; port++ {
		_, n := cl.openFlow(port)
		is.Equal(n, cl.nodes[2])
	}
}

func TestMaxFlowsOfAServiceIsEnforced(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	cl.setRoutes(route.State{
		Version: 2, Routes: []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: "alpha", Weight: 1}}}},
		Services: []route.Service{{Name: "alpha", MaxFlows: 3}},
	})
	for port := uint16(1000); port < 1006; port++ {
		cl.openFlow(port)
	}
	c := cl.newCaller(1006)
	cl.sendFromCaller(c.Opening())
	is.True(c.Reset) // both have three
	is.Equal(cl.nodes[0].agent.Load().Flows, uint16(3))
	is.Equal(cl.nodes[1].agent.Load().Flows, uint16(3))
}

func TestOpeningPacketNeverReachesAnotherService(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	cl.nodes = append(cl.nodes, cl.newNode(5, "beta"))
	cl.shareMembers()
	// An agent of beta has replaced an agent of alpha at the same address, and the balancer has not received
	// the change yet.
	stale := cl.nodes[0].member
	cl.nodes[0].member.Backend.Service = "beta"
	cl.restartAgent(cl.nodes[0])
	cl.shareMembers()
	members := []fleet.Member{stale, cl.nodes[1].member, cl.nodes[2].member}
	cl.directory.SetMembers(cl.now, members)
	for port := uint16(1000); port < 1020; port++ {
		_, n := cl.openFlow(port)
		is.Equal(n, cl.nodes[1])
	}
}

func TestAgentWithNewerStateRoutesByIt(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	beta := cl.newNode(5, "beta")
	cl.nodes = append(cl.nodes, beta)
	cl.shareMembers()
	newer := route.NewTable(route.State{Version: 2, Routes: []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: "beta", Weight: 1}}}}})
	for _, n := range cl.nodes {
		n.agent.SetRoutes(newer) // the balancer still has version 1
	}
	_, n := cl.openFlow(1000)
	is.Equal(n, beta)

	dropped := route.NewTable(route.State{Version: 3})
	for _, n := range cl.nodes {
		n.agent.SetRoutes(dropped)
	}
	c := cl.newCaller(1001)
	cl.sendFromCaller(c.Opening())
	is.True(c.Reset) // the route is gone
}

func TestAgentWithOlderStateRoutesByANewerBalancer(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	beta := cl.newNode(5, "beta")
	cl.nodes = append(cl.nodes, beta)
	cl.shareMembers()
	cl.balancer.SetRoutes(route.NewTable(route.State{Version: 2, Routes: []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: "beta", Weight: 1}}}}}))
	_, n := cl.openFlow(1000)
	is.Equal(n, beta)
}

func TestTwoAnswersToCopiesOfOneOpeningPacket(t *testing.T) {
	for port := uint16(1000); port < 1010; port++ { // so that each of the two is the first home agent of some flow
		is := is.New(t)
		cl := newCluster(t, 2)
		c := cl.newCaller(port)
		first, second := cl.nodes[0], cl.nodes[1]
		first.backendDown = true
		cl.sendOpeningTo(first, c.Opening())
		// The answer of the first backend server is late; the copy reaches the second.
		late := first.backend.Handle(cl.firstOpening(c))
		cl.sendOpeningTo(second, c.Opening())
		is.True(c.Open)
		first.backendDown = false
		for _, raw := range late {
			cl.execute(first, first.agent.HandleBackend(cl.now, raw))
		}
		cl.replaceBalancer()
		cl.sendFromCaller(c.Request("hello"))
		is.Equal(c.Answers, []string{second.backend.Name}) // the backend server that the caller chose
		is.Equal(first.backend.Runs, 0)
	}
}

func TestUnansweredOpeningPacketGoesElsewhere(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	c := cl.newCaller(1000)
	d := cl.balancer.HandlePacket(cl.now, c.Opening(), nil) // the forwarded packet is lost
	for _, n := range cl.nodes {
		if n.addr != d.To {
			cl.directory.RecordLoad(n.addr, 100, 0) // the other agent is busier
		}
	}
	cl.now = cl.now.Add(200 * time.Millisecond)
	again := cl.sendFromCaller(c.Opening())
	is.Equal(again.Outcome, flowbalancer.Rerouted)
	is.Equal(again.Unresponsive, d.To)
	is.True(again.To != d.To)
	is.True(c.Open)
}

func TestMalformedPacketsAreIgnored(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1)
	d := cl.balancer.HandlePacket(cl.now, []byte{1, 2, 3}, nil)
	is.Equal(d.Outcome, flowbalancer.Malformed)
	n := cl.nodes[0]
	cl.execute(n, n.agent.HandleForward(cl.now, hop.Forward{Packet: []byte{1}}))
	cl.execute(n, n.agent.HandleBackend(cl.now, nil))
	is.Equal(n.agent.Flows(), 0)
}

func TestHomeAgentsDependOnAgentsOnly(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 6)
	for port := uint16(1); port < 200; port++ {
		key := flow.Key{Caller: flow.Endpoint{Port: port}, ServiceAddr: serviceAddr}
		is.Equal(cl.directory.HomeAgents(key, 2), cl.nodes[0].directory.HomeAgents(key, 2))
	}
	is.Equal(placement.ServiceHash("alpha"), placement.ServiceHash("alpha"))
}
