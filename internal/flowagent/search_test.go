package flowagent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

func TestFlowSurvivesRestartOfItsAgent(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 5)
	for port := uint16(1000); port < 1020; port++ {
		c, n := cl.openFlow(port)
		cl.restartAgent(n)
		cl.shareMembers()
		cl.sendFromCaller(c.Request("again"))
		is.Equal(c.Answers, []string{n.backend.Name, n.backend.Name})
	}
}

// After the loss of all processes every backend server still has its flows. The home agent of a
// flow must probe its own backend server, too: a search covers the other agents only.
func TestFlowSurvivesRestartOfAllProcesses(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 5)
	type opened struct {
		answers []string
		request func(string) []byte
		reset   *bool
		got     *[]string
	}
	var flowsOpen []opened
	for port := uint16(1000); port < 1030; port++ {
		c, n := cl.openFlow(port)
		flowsOpen = append(flowsOpen, opened{[]string{n.backend.Name, n.backend.Name}, c.Request, &c.Reset, &c.Answers})
	}
	cl.replaceBalancer()
	for _, n := range cl.nodes {
		cl.restartAgent(n)
	}
	cl.shareMembers()
	cl.now = cl.now.Add(5 * time.Second)
	for _, f := range flowsOpen {
		cl.sendFromCaller(f.request("again"))
		is.Equal(*f.got, f.answers)
		is.True(!*f.reset)
	}
}

func TestFlowOfARestartedBackendIsReset(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	c, n := cl.openFlow(1000)
	cl.now = cl.now.Add(time.Second)
	b := n.member.Backend
	b.StartMillis = cl.now.UnixMilli()
	n.backend = newEmptyBackend(n)
	cl.setBackend(n, b)
	is.True(c.Reset) // at once, not after the caller's timeout
}

// A backend server has restarted and opened a flow before its agent gets the first report of the new
// incarnation. This report must reset only flows of the earlier incarnation.
func TestFlowOpenedBetweenARestartAndItsReportIsKept(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	for port := uint16(1000); port < 1020; port++ {
		n := cl.nodes[int(port)%4]
		restarted := n.member.Backend
		restarted.StartMillis = cl.now.UnixMilli()
		n.backend = newEmptyBackend(n)
		cl.now = cl.now.Add(time.Second)
		c, owner := cl.openFlow(port) // possibly at the backend server that has restarted
		cl.now = cl.now.Add(100 * time.Millisecond)
		cl.setBackend(n, restarted)
		cl.replaceBalancer()
		cl.sendFromCaller(c.Request("again"))
		is.True(!c.Reset)
		is.Equal(c.Answers, []string{owner.backend.Name, owner.backend.Name})
	}
}

// If the clock was ahead when the backend server started, the agent appears to be older than its backend
// server. The agent must still expect flows that it has not seen open.
func TestAgentProbesWhenTheClockWasAhead(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3)
	c, n := cl.openFlow(1000)
	n.member.Backend.StartMillis = cl.now.Add(time.Minute).UnixMilli()
	cl.restartAgent(n)
	cl.shareMembers()
	cl.now = cl.now.Add(5 * time.Second)
	cl.sendFromCaller(c.Request("again"))
	is.Equal(len(c.Answers), 2)
	is.True(!c.Reset)
}

func TestFlowsWithoutOwnerAreReset(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	c, _ := cl.openFlow(1000)
	cl.replaceEverything()
	cl.now = cl.now.Add(5 * time.Second)
	cl.sendFromCaller(c.Request("again"))
	is.True(c.Reset) // all agents have answered NotHeld
}

func TestFlowsAreNotResetWhileAnAgentIsUnresponsive(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	c, n := cl.openFlow(1000)
	cl.replaceEverything()
	// One agent is unresponsive; its backend server may still run and have the flow.
	n.down = true
	for _, change := range []func(*fleet.Member){
		func(m *fleet.Member) { m.Liveness = fleet.Suspect },
		func(m *fleet.Member) { m.Liveness, m.LeaveAnnounced = fleet.Dead, true },
	} {
		change(&n.member)
		cl.shareMembers()
		cl.advance(5 * time.Second)
		cl.sendFromCaller(c.Request("again"))
		cl.advance(time.Second)
		is.True(!c.Reset)
		cl.advance(4 * time.Second)
		is.True(!c.Reset)
	}
	// The agent is back and announces that its backend server has ended.
	n.down = false
	n.member.Liveness, n.member.LeaveAnnounced, n.member.Backend.State = fleet.Alive, false, fleet.BackendGone
	cl.shareMembers()
	cl.advance(5 * time.Second)
	cl.sendFromCaller(c.Request("again"))
	is.True(c.Reset)
}

// A flow on an instance that is lost for good is reset soon and without another packet of its
// caller, so that the caller can repeat the request elsewhere in time.
func TestFlowsOfALostInstanceAreReset(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 5)
	c, owner := cl.openFlow(1000)
	owner.down = true
	owner.member.Liveness = fleet.Suspect
	cl.shareMembers()
	cl.sendFromCaller(c.Request("again"))
	cl.advance(time.Second)
	is.True(!c.Reset)
	owner.member.Liveness = fleet.Dead
	cl.shareMembers()
	cl.sendFromCaller(c.Request("again"))
	cl.advance(500 * time.Millisecond)
	is.True(!c.Reset) // the agent may come back
	cl.advance(600 * time.Millisecond)
	is.True(c.Reset)
}

func TestNewProcessKeepsSearchesOpenUntilItKnowsTheAgents(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	c, _ := cl.openFlow(1000)
	cl.replaceEverything() // so no process has a converged view yet
	cl.sendFromCaller(c.Request("again"))
	is.True(!c.Reset)
	cl.advance(600 * time.Millisecond)
	is.True(c.Reset) // without another packet of the caller
}

// After the loss of all processes and backend servers, flows are reset soon, because no backend server can
// have them. While some backend server may have a flow, its search takes the full time.
func TestLostFlowsAreResetSoonAfterAColdStart(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*cluster)
		reset  bool
	}{
		{"all backend servers are new", func(*cluster) {}, true},
		{"one backend server is older", func(cl *cluster) {
			cl.nodes[3].member.Backend.StartMillis = cl.now.Add(-time.Minute).UnixMilli()
			cl.nodes[3].sawFirstReport = false
			cl.restartAgent(cl.nodes[3])
		}, false},
		{"nothing is known of one backend server", func(cl *cluster) {
			cl.nodes[3].member.Backend.StartMillis = 0
			cl.restartAgent(cl.nodes[3])
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 4)
			c, _ := cl.openFlow(1000)
			cl.replaceEverything()
			test.change(cl)
			cl.shareMembers()
			cl.sendFromCaller(c.Request("again"))
			cl.advance(160 * time.Millisecond)
			is.Equal(c.Reset, test.reset)
			cl.advance(440 * time.Millisecond)
			is.True(c.Reset)
		})
	}
}

// After the restart of all processes, a search queries the agents in the data centre of the callers first.
// Otherwise each packet would be sent to all backend servers, and half of all bytes between data centres.
func TestSearchesBeginNearby(t *testing.T) {
	for _, test := range []struct {
		name          string
		isNearby      bool
		queriesRemote bool
	}{
		{"the flow is nearby", true, false},
		{"the flow is far away", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 8)
			cl.otherMembers = []fleet.Member{{Addr: cl.balancerAddr, Role: fleet.Balancer, DataCentre: "dc1", Incarnation: 1}}
			c, owner := cl.openFlow(1000)
			for i, n := range cl.nodes {
				n.member.DataCentre = []string{"dc1", "dc2"}[i%2]
			}
			owner.member.DataCentre = "dc2"
			if test.isNearby {
				owner.member.DataCentre = "dc1"
			}
			cl.replaceBalancer()
			for _, n := range cl.nodes {
				cl.restartAgent(n)
			}
			cl.shareMembers()
			cl.advance(2 * time.Second)
			cl.sendFromCaller(c.Request("again"))
			is.Equal(len(c.Answers), 2)
			is.True(!c.Reset)
			queriesRemote := false
			for _, n := range cl.nodes {
				queriesRemote = queriesRemote || (n.member.DataCentre == "dc2" && n.queries > 0)
			}
			is.Equal(queriesRemote, test.queriesRemote)
		})
	}
}

// A backend server that has the flow answers the caller, and its agent may send no answer to the query. So
// the other agents are queried only queryTimeout after the nearby ones.
func TestSearchContinuesWhenNobodyNearbyAnswers(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 4)
	cl.otherMembers = []fleet.Member{{Addr: cl.balancerAddr, Role: fleet.Balancer, DataCentre: "dc1", Incarnation: 1}}
	c, owner := cl.openFlow(1000)
	var silent *node
	for _, n := range cl.nodes {
		n.member.DataCentre = "dc2"
		if n != owner && silent == nil {
			silent = n
			n.member.DataCentre = "dc1"
		}
	}
	cl.replaceBalancer()
	for _, n := range cl.nodes {
		cl.restartAgent(n)
	}
	cl.shareMembers()
	cl.advance(2 * time.Second)
	silent.down = true
	cl.sendFromCaller(c.Request("again"))
	is.Equal(len(c.Answers), 1)
	cl.advance(150 * time.Millisecond)
	is.Equal(len(c.Answers), 2)
}

// Guards against the loss of a packet whose owner is away for a moment, such as during a planned restart: the search ended
// after 150 ms, and the caller's next copy could come while the owner was away again (review/9).
func TestSearchWaitsForAnAgentThatIsAway(t *testing.T) {
	for _, liveness := range []fleet.Liveness{fleet.Suspect, fleet.Dead} {
		t.Run(liveness.String(), func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 5)
			for port := uint16(1000); port < 1010; port++ {
				c, owner := cl.openFlow(port)
				cl.replaceBalancer()
				for _, n := range cl.nodes {
					cl.restartAgent(n) // nobody knows the owner
				}
				owner.down = true
				owner.member.Liveness = fleet.Suspect
				cl.shareMembers()
				cl.advance(5 * time.Second)
				cl.sendFromCaller(c.Request("again"))
				for range 10 {
					cl.advance(100 * time.Millisecond)
				}
				if liveness == fleet.Dead {
					owner.member.Liveness, owner.member.LeaveAnnounced = fleet.Dead, true
					cl.shareMembers()
					cl.advance(400 * time.Millisecond)
				}
				is.Equal(len(c.Answers), 1)
				owner.down = false
				owner.member.Liveness, owner.member.LeaveAnnounced = fleet.Alive, false
				owner.member.Incarnation++
				cl.restartAgent(owner)
				cl.shareMembers()
				for range 4 {
					cl.advance(100 * time.Millisecond)
				}
				is.Equal(len(c.Answers), 2) // without another packet of the caller
				is.True(!c.Reset)
			}
		})
	}
}
