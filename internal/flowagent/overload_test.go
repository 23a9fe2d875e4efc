package flowagent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowbalancer"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// capacity is the number of flows that an agent with five slots opens before others must wait.
const capacity = 8

// ordersAddr is the service address of a route with a higher priority than that of serviceAddr.
var ordersAddr = flow.Endpoint{IP: serviceAddr.IP, Port: 8080}

// newOverloadCluster returns a cluster with a route of low and a route of high priority.
func newOverloadCluster(t *testing.T, agents int) *cluster {
	t.Helper()
	cl := newCluster(t, agents)
	shares := []route.Share{{Service: "alpha", Weight: 1}}
	cl.setRoutes(route.State{Version: 2, Routes: []route.Route{
		{ServiceAddr: serviceAddr, Priority: 2, Shares: shares},
		{ServiceAddr: ordersAddr, Priority: 1, Shares: shares},
	}})
	return cl
}

// open makes count callers send opening packets from consecutive ports.
func (cl *cluster) open(addr flow.Endpoint, from, count uint16) []*flows.Caller {
	var callers []*flows.Caller
	for port := from; port < from+count; port++ {
		c := flows.NewCaller(flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, ServiceAddr: addr})
		cl.callers[c.Key] = c
		cl.sendFromCaller(c.Opening())
		callers = append(callers, c)
	}
	return callers
}

func countOpen(callers []*flows.Caller) int {
	open := 0
	for _, c := range callers {
		if c.Open {
			open++
		}
	}
	return open
}

// After an outage all callers open flows at once. Each agent opens flows up to its limit; all further flows
// wait, and none of them is refused.
func TestOpeningPacketsWaitForAnOverloadedBackend(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 2)
	callers := cl.open(serviceAddr, 1000, 60)
	is.Equal(countOpen(callers), 2*capacity)
	for _, c := range callers {
		is.True(!c.Reset)
	}
	first, second := cl.nodes[0].agent.Load(), cl.nodes[1].agent.Load()
	is.Equal(first.Active+second.Active, uint16(60)) // the balancers see the flows that wait as load
	is.True(first.Active >= 25 && second.Active >= 25)
}

// Every agent is filled exactly up to its limit, no caller of either priority is refused, and flows that wait, then
// new ones, open after the expected requests have timed out.
func TestOverloadedAgentsAreFilledEvenlyAndOpenFlowsAgain(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 2)
	feeds := cl.open(serviceAddr, 1000, 60)
	orders := cl.open(ordersAddr, 2000, 60)
	is.Equal(countOpen(feeds), 2*capacity)
	is.Equal(countOpen(orders), 0)
	active := 0
	for _, n := range cl.nodes {
		is.Equal(n.backend.Len(), capacity)
		active += int(n.agent.Load().Active)
	}
	is.Equal(active, 120)
	for _, c := range append(feeds, orders...) {
		is.True(!c.Reset)
	}
	cl.advance(400 * time.Millisecond) // the expected requests time out
	is.Equal(countOpen(orders), 2*capacity)
	is.Equal(countOpen(feeds), 2*capacity) // the higher priority goes first
	cl.advance(time.Second)                // the other flows have waited too long
	is.True(countOpen(cl.open(serviceAddr, 3000, 10)) > 0)
}

// Guards against idle slots at backend servers with few of them: the requests of new flows arrive one round trip
// after their opening packets.
func TestBackendsWithFewSlotsGetFlowsAhead(t *testing.T) {
	for slots, want := range map[uint16]int{1: 4, 2: 5, 5: 8, 8: 12, 50: 75} {
		is := is.New(t)
		cl := newOverloadCluster(t, 1)
		b := cl.nodes[0].member.Backend
		b.Slots = slots
		cl.setBackend(cl.nodes[0], b)
		is.Equal(countOpen(cl.open(serviceAddr, 1000, 100)), want)
	}
}

func TestWaitingFlowsOpenByPriorityThenNewestFirst(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 1)
	opened := cl.open(serviceAddr, 1000, capacity)
	older := cl.open(serviceAddr, 2000, 2)
	cl.advance(10 * time.Millisecond)
	orders := cl.open(ordersAddr, 3000, 2)
	cl.advance(10 * time.Millisecond)
	newer := cl.open(serviceAddr, 4000, 2)
	is.Equal(countOpen(older)+countOpen(orders)+countOpen(newer), 0)
	for i, want := range [][3]int{{0, 1, 0}, {0, 2, 0}, {0, 2, 1}, {0, 2, 2}, {1, 2, 2}, {2, 2, 2}} {
		cl.sendFromCaller(opened[i].Request("work")) // answered at once, so that one flow leaves the queue
		is.Equal([3]int{countOpen(older), countOpen(orders), countOpen(newer)}, want)
	}
}

func TestCopiesFollowAWaitingFlowAndOpenItOnce(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 2)
	cl.open(serviceAddr, 1000, 2*capacity)
	c := cl.open(serviceAddr, 2000, 1)[0]
	cl.now = cl.now.Add(200 * time.Millisecond)
	d := cl.sendFromCaller(c.Opening())
	is.Equal(d.Outcome, flowbalancer.Followed)
	is.Equal(cl.nodes[0].agent.Load().Active+cl.nodes[1].agent.Load().Active, uint16(2*capacity+1))
	cl.advance(400 * time.Millisecond) // the expected requests time out
	is.True(c.Open)
	held := 0
	for _, n := range cl.nodes {
		if n.backend.Holds(c.Key) {
			held++
		}
	}
	is.Equal(held, 1)
}

// A caller abandons an attempt after flow.OpeningTimeout, or earlier if the request's time limit passes. It
// gets a reset before, and its flow is not opened afterwards.
func TestWaitingFlowIsRefusedBeforeItsCallerGivesUp(t *testing.T) {
	for _, test := range []struct {
		name                       string
		timeout, earliest, tooLate time.Duration
	}{
		{"attempt ends", 0, 900 * time.Millisecond, flow.OpeningTimeout},
		{"time limit passes", 400 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cl := newOverloadCluster(t, 1)
			cl.setRoutes(route.State{Version: 3, Routes: []route.Route{
				{ServiceAddr: serviceAddr, Timeout: test.timeout, Shares: []route.Share{{Service: "alpha", Weight: 1}}},
			}})
			const perStep = 2
			cl.open(serviceAddr, 1000, capacity)
			c := cl.newCaller(2000)
			waited := time.Duration(0)
			for ; !c.Reset && waited < 2*test.tooLate; waited += 20 * time.Millisecond {
				cl.open(serviceAddr, uint16(3000+waited.Milliseconds()), perStep) // newer callers take all room
				if waited == 0 {
					cl.sendFromCaller(c.Opening())
				}
				cl.advance(20 * time.Millisecond)
			}
			is.True(c.Reset)
			is.True(waited >= test.earliest)
			is.True(waited < test.tooLate)
			is.True(!cl.nodes[0].backend.Holds(c.Key)) // "not run" is true
		})
	}
}

func TestWaitingFlowsLeaveADrainingBackend(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 2)
	callers := cl.open(serviceAddr, 1000, 2*capacity+10)
	draining := cl.nodes[0]
	before := draining.backend.Len()
	b := draining.member.Backend
	b.State = fleet.BackendDraining
	cl.setBackend(draining, b)
	cl.advance(20 * time.Millisecond)
	is.Equal(draining.agent.Load().Active, uint16(capacity)) // none waits here any more
	for range 10 {
		cl.advance(100 * time.Millisecond) // expected requests time out at the other agent
	}
	is.Equal(countOpen(callers), 2*capacity+10)
	is.Equal(draining.backend.Len(), before)
}

func TestWaitingFlowsLeaveAnAgentThatEnds(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 2)
	callers := cl.open(serviceAddr, 1000, 2*capacity+10)
	ending, other := cl.nodes[0], cl.nodes[1]
	waiting := ending.agent.Load().Active - capacity
	is.True(waiting > 0)
	before := other.agent.Load().Active
	cl.execute(ending, ending.agent.EmptyQueue(cl.now)...)
	is.Equal(ending.agent.Load().Active, uint16(capacity))
	is.Equal(other.agent.Load().Active, before+waiting)
	for _, c := range callers {
		is.True(!c.Reset)
	}
}

// Without an agent that accepts flows, waiting flows are refused at once.
func TestWaitingFlowsAreRefusedWhenTheLastBackendDrains(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 1)
	callers := cl.open(serviceAddr, 1000, capacity+10)
	b := cl.nodes[0].member.Backend
	b.State = fleet.BackendDraining
	cl.setBackend(cl.nodes[0], b)
	cl.advance(20 * time.Millisecond)
	for _, c := range callers {
		is.True(c.Open != c.Reset)
	}
}

func TestFullQueueRefusesTheFlowToServeLast(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 1)
	const queueSize = 256
	callers := cl.open(serviceAddr, 1000, capacity+queueSize)
	cl.advance(time.Millisecond)
	newer := cl.open(serviceAddr, 5000, 3)
	refused := 0
	for _, c := range callers {
		if c.Reset {
			refused++
		}
	}
	is.Equal(refused, 3)
	for _, c := range newer {
		is.True(!c.Reset)
	}
	cl.open(ordersAddr, 6000, queueSize)
	c := cl.open(serviceAddr, 7000, 1)[0]
	is.True(c.Reset) // all who wait go before it, so it is refused itself
}

// Copies of one opening packet may wait at one agent while another agent opens the flow, if they came through
// different balancers. The refusal of the waiting copy must not end the open flow.
func TestRefusalOfAWaitingCopyDoesNotEndAnOpenFlow(t *testing.T) {
	is := is.New(t)
	cl := newOverloadCluster(t, 2)
	first, second := cl.nodes[0], cl.nodes[1]
	first.directory.RecordLoad(second.addr, 100, 100) // the first agent takes the second one for overloaded
	for port := uint16(1000); port < 1000+capacity; port++ {
		cl.sendOpeningTo(first, cl.newCaller(port).Opening())
	}
	c := cl.newCaller(2000)
	cl.sendOpeningTo(first, c.Opening())
	is.True(!c.Open)
	cl.sendOpeningTo(second, c.Opening())
	is.True(c.Open)
	for step := uint16(0); step < 60; step++ {
		cl.sendOpeningTo(first, cl.newCaller(3000+step).Opening()) // newer callers take all room
		cl.advance(20 * time.Millisecond)
	}
	is.True(!first.backend.Holds(c.Key)) // the waiting copy was refused
	is.True(!c.Reset)
	cl.sendFromCaller(c.Request("hello"))
	is.Equal(c.Answers, []string{second.backend.Name})
}
