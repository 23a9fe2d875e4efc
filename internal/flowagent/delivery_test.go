package flowagent_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// sendOpeningByVersion sends an opening packet to the agent of a node as a balancer that has the given version of the
// desired state and has chosen the node's service.
func (cl *cluster) sendOpeningByVersion(n *node, version uint64, raw []byte) {
	cl.execute(n, n.agent.HandleForward(cl.now, hop.Forward{
		Balancer: flow.EndpointOf(cl.balancerAddr), Version: version,
		Service: placement.ServiceHash(n.member.Backend.Service), Packet: raw,
	}))
}

// Guards against an agent that trusts its sender's choice of a service although its own desired state, of the same
// version, sends the route elsewhere.
func TestAgentChecksTheRouteAgainstItsOwnState(t *testing.T) {
	is := is.New(t)
	cl, beta := newClusterOfTwoServices(t)
	alpha := cl.nodes[0]
	cl.routeTo("beta")
	c := cl.newCaller(1000)
	cl.sendOpeningByVersion(alpha, cl.routes.Version(), c.Opening())
	is.True(!alpha.backend.Holds(c.Key))
	is.True(beta.backend.Holds(c.Key))
}

// A sender whose desired state is newer than the agent's decides: the agent learns of the change later.
func TestAgentTrustsASenderWithANewerState(t *testing.T) {
	is := is.New(t)
	cl, beta := newClusterOfTwoServices(t)
	c := cl.newCaller(1000)
	cl.sendOpeningByVersion(beta, cl.routes.Version()+1, c.Opening())
	is.True(beta.backend.Holds(c.Key))
}

// Guards against an agent that goes back behind a change that it knows: the first opening packet was delivered before
// the change and its answer was lost, and a copy comes through a balancer that has not received the change.
func TestCopyIsNotDeliveredToAServiceThatItsRouteHasLeft(t *testing.T) {
	for _, service := range []string{"beta", ""} {
		is := is.New(t)
		cl, beta := newClusterOfTwoServices(t)
		alpha := cl.nodes[0]
		c := cl.newCaller(1000)
		before := cl.routes.Version()
		alpha.backendDown = true // the first opening packet is lost on its way to the backend server
		cl.sendOpeningByVersion(alpha, before, c.Opening())
		alpha.backendDown = false
		cl.routeTo(service)
		cl.now = cl.now.Add(200 * time.Millisecond)
		cl.sendOpeningByVersion(alpha, before, c.Opening())
		is.True(!alpha.backend.Holds(c.Key))
		is.Equal(beta.backend.Holds(c.Key), service == "beta")
		is.Equal(c.Reset, service == "")
	}
}

// Guards against new flows at a draining backend server: an agent took the copy of a new opening packet for a copy of
// the packet that had opened an earlier flow of the same key, which its caller had left without a word.
func TestReusedPortOfAnAbandonedFlowDoesNotReachADrainingBackend(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("agent restarted: ", restarted), func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 2)
			before, owner := cl.openFlow(reusedPort)
			if restarted { // the agent knows the flow from a packet of its backend server only
				cl.restartAgent(owner)
				cl.shareMembers()
				cl.sendFromCaller(before.Request("again"))
			}
			cl.now = cl.now.Add(20 * time.Second)
			b := owner.member.Backend
			b.State = fleet.BackendDraining
			cl.setBackend(owner, b)
			c := before.Next()
			cl.callers[c.Key] = c
			c.Opening() // lost
			received := 0
			owner.backend.OnOpening = func() { received++ }
			cl.sendOpeningTo(owner, c.Opening())
			is.Equal(received, 0)
			is.True(c.Open) // at the other backend server
		})
	}
}

// A copy of the packet that opened a flow goes to the backend server that has the flow, also while that one drains:
// the first answer may have been lost.
func TestCopyReachesADrainingBackendThatHasTheFlow(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2)
	owner := cl.nodes[0]
	c := cl.newCaller(1000)
	delete(cl.callers, c.Key) // the first answer is lost
	cl.sendOpeningTo(owner, c.Opening())
	cl.callers[c.Key] = c
	b := owner.member.Backend
	b.State = fleet.BackendDraining
	cl.setBackend(owner, b)
	cl.now = cl.now.Add(200 * time.Millisecond)
	cl.sendOpeningTo(owner, c.Opening())
	is.True(c.Open)
	is.True(!cl.nodes[1].backend.Holds(c.Key))
}

// Guards against open flows that are reset, because an agent took an opening packet that a frozen balancer had kept for
// a new flow: the answer set the numbers of the flow back to its start, so that the caller's packets belonged to no flow.
func TestLateOpeningPacketLeavesAnOpenFlowAsItIs(t *testing.T) {
	for number := range uint32(flow.OpeningPackets) {
		t.Run(fmt.Sprint("copy ", number), func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 2)
			c, owner := cl.openFlow(1000)
			owner.backend.Echo = true
			const answers, answerSize = 80, 1000 // more bytes than the numbers of one flow can be apart
			for range answers {
				cl.sendFromCaller(c.Request(strings.Repeat("x", answerSize)))
			}
			is.Equal(len(c.Answers), 1+answers)
			late := flows.NewCaller(c.Key)
			raw := late.Opening()
			for range number {
				raw = late.Opening()
			}
			cl.sendOpeningTo(owner, raw)
			cl.replaceBalancer()
			cl.sendFromCaller(c.Request("again"))
			is.True(!c.Reset)
			is.Equal(len(c.Answers), 2+answers)
		})
	}
}
