package flowagent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flowbalancer"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// reuseTime is how long a caller leaves a port unused after its flow was closed.
const reuseTime = 61 * time.Second

// newClusterOfTwoServices returns a cluster with two agents of service alpha, to which the route goes, and one
// agent of service beta.
func newClusterOfTwoServices(t *testing.T) (cl *cluster, beta *node) {
	t.Helper()
	cl = newCluster(t, 2)
	beta = cl.newNode(5, "beta")
	cl.nodes = append(cl.nodes, beta)
	cl.shareMembers()
	return cl, beta
}

// routeTo makes a new desired state active in which the only route goes to a service, or is dropped if service
// is empty.
func (cl *cluster) routeTo(service string) {
	s := route.State{Version: cl.routes.Version() + 1}
	if service != "" {
		s.Routes = []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: service, Weight: 1}}}}
	}
	cl.setRoutes(s)
}

// moveTo replaces a node's agent and backend server by those of another service at the same address.
func (cl *cluster) moveTo(n *node, service string) {
	n.backend = flows.NewBackend("backend of "+service, 77)
	n.member.Incarnation++
	n.member.Backend.Service, n.member.Backend.StartMillis = service, cl.now.UnixMilli()
	cl.restartAgent(n)
	cl.shareMembers()
}

// reusedPort is the port that a caller uses for one flow after the other.
const reusedPort = 1000

// openAndClose opens a flow from reusedPort, has its request answered and closes it. It returns the caller and the
// node that had the flow.
func (cl *cluster) openAndClose() (*flows.Caller, *node) {
	cl.t.Helper()
	c, n := cl.openFlow(reusedPort)
	cl.sendFromCaller(c.Close())
	if n.backend.Holds(c.Key) {
		cl.t.Fatal("the flow is still open at its backend server")
	}
	return c, n
}

// reopen makes a caller open a flow from a port that it has used before. The first opening packet is lost, so the
// balancer receives only a copy.
func (cl *cluster) reopen(before *flows.Caller) (*flows.Caller, flowbalancer.Decision) {
	c := before.Next()
	cl.callers[c.Key] = c
	c.Opening() // lost
	cl.now = cl.now.Add(200 * time.Millisecond)
	return c, cl.sendFromCaller(c.Opening())
}

// Guards against requests that a foreign service runs: a balancer took the owner of a closed flow for the owner
// of a new flow from the same port, and vouched for the service that had the owner's address by then.
func TestReusedPortDoesNotReachAnotherServiceAtAReusedAddress(t *testing.T) {
	is := is.New(t)
	cl, _ := newClusterOfTwoServices(t)
	before, owner := cl.openAndClose()
	cl.now = cl.now.Add(reuseTime)
	cl.moveTo(owner, "beta")
	c, d := cl.reopen(before)
	is.Equal(d.Outcome, flowbalancer.Placed)
	is.Equal(d.Service, "alpha")
	cl.sendFromCaller(c.Request("hello"))
	is.Equal(len(c.Answers), 1)
	is.True(c.Answers[0] != owner.backend.Name)
	is.Equal(owner.backend.Runs, 0)
}

// Guards against a change of the desired state that does not hold for reused ports: the copy of the opening packet
// followed the owner of the earlier flow to the service that the route had left.
func TestReusedPortFollowsAMovedRoute(t *testing.T) {
	is := is.New(t)
	cl, beta := newClusterOfTwoServices(t)
	before, owner := cl.openAndClose()
	cl.now = cl.now.Add(reuseTime)
	cl.routeTo("beta")
	runs := owner.backend.Runs
	c, d := cl.reopen(before)
	is.Equal(d.Service, "beta")
	cl.sendFromCaller(c.Request("hello"))
	is.Equal(c.Answers, []string{beta.backend.Name})
	is.Equal(owner.backend.Runs, runs)
}

// Guards against flows of a dropped route: see TestReusedPortFollowsAMovedRoute.
func TestReusedPortIsRefusedAfterItsRouteWasDropped(t *testing.T) {
	is := is.New(t)
	cl, _ := newClusterOfTwoServices(t)
	before, owner := cl.openAndClose()
	cl.now = cl.now.Add(reuseTime)
	cl.routeTo("")
	c, d := cl.reopen(before)
	is.Equal(d.Outcome, flowbalancer.NoRoute)
	is.True(c.Reset)
	is.True(!owner.backend.Holds(c.Key))
}

// Guards against an old service that runs a flow after a change, because a copy of the opening packet reaches the
// agent where the first one waits and replaces it under the newer version.
func TestCopyOfAWaitingOpeningPacketFollowsAMovedRoute(t *testing.T) {
	for _, service := range []string{"beta", ""} {
		is := is.New(t)
		cl, beta := newClusterOfTwoServices(t)
		cl.open(serviceAddr, 1000, 2*capacity)
		c := cl.open(serviceAddr, 2000, 1)[0]
		is.True(!c.Open) // waits at an agent of alpha
		cl.routeTo(service)
		cl.now = cl.now.Add(200 * time.Millisecond)
		cl.sendFromCaller(c.Opening())
		cl.advance(400 * time.Millisecond) // expected requests time out, so that the agents of alpha have room
		for _, n := range cl.nodes {
			is.True(!n.backend.Holds(c.Key) || n == beta)
		}
		is.Equal(c.Open, service == "beta")
		is.Equal(c.Reset, service == "")
	}
}

// Guards against a notice of the old owner that arrives after a change of the route: copies must not follow it.
func TestLateNoticeDoesNotUndoAMovedRoute(t *testing.T) {
	is := is.New(t)
	cl, _ := newClusterOfTwoServices(t)
	before, owner := cl.openAndClose()
	cl.now = cl.now.Add(reuseTime)
	cl.routeTo("beta")
	cl.balancer.HandleNotice(cl.now, owner.addr, hop.Notice{Key: before.Key})
	c, d := cl.reopen(before)
	is.Equal(d.Service, "beta")
	is.True(!owner.backend.Holds(c.Key))
}

// Guards against copies that are lost at a dead owner although other agents accept the flow.
func TestCopyDoesNotFollowADeadOwner(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	c := cl.newCaller(reusedPort)
	first := cl.balancer.HandlePacket(cl.now, c.Opening(), nil)
	cl.balancer.HandleNotice(cl.now, first.To, hop.Notice{Key: c.Key}) // the answer to the caller is lost
	for _, n := range cl.nodes {
		if n.addr == first.To {
			n.down, n.member.Liveness = true, fleet.Dead
		}
	}
	cl.shareMembers()
	cl.now = cl.now.Add(200 * time.Millisecond)
	is.Equal(cl.sendFromCaller(c.Opening()).Outcome, flowbalancer.Placed)
	is.True(c.Open)
}

// Guards against false accusations: the owner of an earlier flow, which has answered nothing to a new one whose first
// opening packet was lost, is not unresponsive.
func TestOwnerOfAnEarlierFlowIsNotUnresponsive(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	before := cl.newCaller(reusedPort)
	cl.balancer.HandlePacket(cl.now, before.Opening(), nil) // never confirmed
	cl.now = cl.now.Add(reuseTime)
	c, d := cl.reopen(before)
	is.Equal(d.Outcome, flowbalancer.Placed)
	is.True(!d.Unresponsive.IsValid())
	is.True(c.Open)
}
