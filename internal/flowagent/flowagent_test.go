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
	"github.com/almondledge/almondledge/internal/standin/flows"
)

func TestFlowStaysWithItsBackendAcrossBalancers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 7)
	for port := uint16(1000); port < 1050; port++ {
		c, p := w.open(port)
		w.forget()
		w.fromCaller(c.Request("again"))
		is.Equal(c.Answers, []string{p.backend.Name, p.backend.Name}) // any balancer finds the flow's agent
	}
}

func TestFlowFollowsItsHomesWhenAgentsChange(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	c, p := w.open(1000)
	for i := 10; i < 16; i++ {
		w.places = append(w.places, w.newPlace(i, "alpha"))
	}
	w.share()
	w.forget()
	before := w.hops
	w.fromCaller(c.Request("again"))
	is.Equal(c.Answers, []string{p.backend.Name, p.backend.Name})
	// To the home, on to the owner, and a notice for this packet and for the
	// acknowledgement: new homes were told, so nobody was asked.
	is.True(w.hops-before <= 6)
}

func TestDrainingBackendGetsNoNewFlowAndKeepsItsOwn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	c, p := w.open(1000)
	b := p.member.Backend
	b.State = fleet.BackendDraining
	p.member.Backend = b
	p.agent.SetBackend(b, true) // the balancer has not heard of it
	for port := uint16(2000); port < 2030; port++ {
		_, other := w.open(port)
		is.True(other != p) // passed on by the agent, whatever the balancer believes
	}
	w.fromCaller(c.Request("again"))
	is.Equal(len(c.Answers), 2) // its own flow goes on
}

func TestOpeningPacketIsRefusedAtOnceWhenNobodyTakesIt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	for _, p := range w.places {
		p.backend.Full = true
	}
	c := w.call(1000)
	w.fromCaller(c.Opening())
	is.True(c.Reset)
	is.True(!c.Open)
}

func TestFullBackendReturnsAFlowToAnother(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.places[0].backend.Full = true
	w.places[1].backend.Full = true
	for port := uint16(1000); port < 1010; port++ {
		_, p := w.open(port)
		is.Equal(p, w.places[2])
	}
}

func TestServiceLimitOfFlowsIsKept(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.setRoutes(route.State{
		Version: 2, Routes: []route.Route{{ServiceAddr: front, Shares: []route.Share{{Service: "alpha", Weight: 1}}}},
		Services: []route.Service{{Name: "alpha", MaxFlows: 3}},
	})
	for port := uint16(1000); port < 1006; port++ {
		w.open(port)
	}
	c := w.call(1006)
	w.fromCaller(c.Opening())
	is.True(c.Reset) // both have three
	is.Equal(w.places[0].agent.Load().Flows, uint16(3))
	is.Equal(w.places[1].agent.Load().Flows, uint16(3))
}

// Pattern: after a loss of everything all callers open flows at once. First opening
// packets are shared out, copies wait, and orders come before feeds.
func TestCrowdOfOpeningPackets(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	orders := flow.Endpoint{IP: front.IP, Port: 8080}
	w.setRoutes(route.State{Version: 2, Routes: []route.Route{
		{ServiceAddr: front, Priority: 2, Shares: []route.Share{{Service: "alpha", Weight: 1}}},
		{ServiceAddr: orders, Priority: 1, Shares: []route.Share{{Service: "alpha", Weight: 1}}},
	}})
	opened := func(front flow.Endpoint, from, count uint16) int {
		open := 0
		for port := from; port < from+count; port++ {
			c := flows.NewCaller(flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, ServiceAddr: front})
			w.callers[c.Key] = c
			w.fromCaller(c.Opening())
			if c.Open {
				open++
			}
			is.True(!c.Reset) // the next copy may find room
		}
		return open
	}
	const slots = 2 * 5
	is.Equal(opened(front, 1000, 60), 3*slots)  // three requests a slot, on both agents
	is.Equal(opened(orders, 2000, 60), 1*slots) // one more for the higher priority
	for _, p := range w.places {
		is.Equal(p.agent.Load().Active, uint16(4*5))
	}
	w.pass(time.Second) // the requests did not come
	is.True(opened(front, 3000, 10) > 0)
}

func TestOpeningPacketNeverReachesAnotherService(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.places = append(w.places, w.newPlace(5, "beta"))
	w.share()
	// The address of an agent of alpha was taken over by one of beta, and the balancer
	// has not heard of it.
	stale := w.places[0].member
	w.places[0].member.Backend.Service = "beta"
	w.restart(w.places[0])
	w.share()
	members := []fleet.Member{stale, w.places[1].member, w.places[2].member}
	w.board.SetMembers(w.now, members)
	for port := uint16(1000); port < 1020; port++ {
		_, p := w.open(port)
		is.Equal(p, w.places[1])
	}
}

func TestAgentWithNewerStateRoutesByIt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	beta := w.newPlace(5, "beta")
	w.places = append(w.places, beta)
	w.share()
	newer := route.NewTable(route.State{Version: 2, Routes: []route.Route{{ServiceAddr: front, Shares: []route.Share{{Service: "beta", Weight: 1}}}}})
	for _, p := range w.places {
		p.agent.SetRoutes(newer) // the balancer still has version 1
	}
	_, p := w.open(1000)
	is.Equal(p, beta)

	dropped := route.NewTable(route.State{Version: 3})
	for _, p := range w.places {
		p.agent.SetRoutes(dropped)
	}
	c := w.call(1001)
	w.fromCaller(c.Opening())
	is.True(c.Reset) // the route is gone
}

func TestAgentWithOlderStateTrustsANewerBalancer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	beta := w.newPlace(5, "beta")
	w.places = append(w.places, beta)
	w.share()
	w.balancer.SetRoutes(route.NewTable(route.State{Version: 2, Routes: []route.Route{{ServiceAddr: front, Shares: []route.Share{{Service: "beta", Weight: 1}}}}}))
	_, p := w.open(1000)
	is.Equal(p, beta)
}

func TestTwoAnswersToCopiesOfOneOpeningPacket(t *testing.T) {
	for port := uint16(1000); port < 1010; port++ { // either of the two is a flow's home
		is := is.New(t)
		w := newWorld(t, 2)
		c := w.call(port)
		first, second := w.places[0], w.places[1]
		first.backendDown = true
		w.sendTo(first, c.Opening(), "alpha")
		// The answer of the first backend server is late; the copy reaches the second.
		late := first.backend.Handle(w.plain(c))
		w.sendTo(second, c.Opening(), "alpha")
		is.True(c.Open)
		first.backendDown = false
		for _, raw := range late {
			w.carry(first, first.agent.HandleBackend(w.now, raw))
		}
		w.forget()
		w.fromCaller(c.Request("hello"))
		is.Equal(c.Answers, []string{second.backend.Name}) // the one that the caller chose
		is.Equal(first.backend.Runs, 0)
	}
}

func TestUnansweredOpeningPacketGoesElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	c := w.call(1000)
	d := w.balancer.HandlePacket(w.now, c.Opening(), nil) // lost on its way
	for _, p := range w.places {
		if p.addr != d.To {
			w.board.RecordLoad(p.addr, 100, 0) // the other one is busier
		}
	}
	w.now = w.now.Add(200 * time.Millisecond)
	again := w.fromCaller(c.Opening())
	is.Equal(again.Outcome, flowbalancer.Rerouted)
	is.Equal(again.Unresponsive, d.To)
	is.True(again.To != d.To)
	is.True(c.Open)
}

func TestGarbageChangesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	d := w.balancer.HandlePacket(w.now, []byte{1, 2, 3}, nil)
	is.Equal(d.Outcome, flowbalancer.Malformed)
	p := w.places[0]
	w.carry(p, p.agent.HandleForward(w.now, hop.Forward{Packet: []byte{1}}))
	w.carry(p, p.agent.HandleBackend(w.now, nil))
	is.Equal(p.agent.Flows(), 0)
}

func TestHomesDependOnAgentsOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 6)
	for port := uint16(1); port < 200; port++ {
		key := flow.Key{Caller: flow.Endpoint{Port: port}, ServiceAddr: front}
		is.Equal(w.board.HomeAgents(key, 2), w.places[0].board.HomeAgents(key, 2))
	}
	is.Equal(placement.ServiceHash("alpha"), placement.ServiceHash("alpha"))
}
