package flowagent_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowagent"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// Guards against flows that are lost although only their agent has restarted: with many agents, a search for the
// owner asked only some of them, and never the one that had restarted.
func TestFlowSurvivesRestartOfItsAgentAmongManyAgents(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 140)
	restarts := 0
	for port := uint16(1000); restarts < 5; port++ {
		c, n := cl.openFlow(port)
		if slices.Index(cl.nodes, n) < 96 { // agents at the end of the list were left out
			continue
		}
		cl.restartAgent(n)
		n.member.Incarnation = uint64(cl.now.UnixMilli())
		cl.shareMembers()
		cl.replaceBalancer()
		cl.advance(time.Second)
		cl.sendFromCaller(c.Request("again"))
		is.Equal(c.Answers, []string{n.backend.Name, n.backend.Name})
		restarts++
	}
}

// fleetOf returns member records of agents whose backend servers have run for an hour. The restarted ones have start
// times of seconds ago.
func fleetOf(now time.Time, agents int, restarted map[int]bool) []fleet.Member {
	members := make([]fleet.Member, agents)
	for i := range members {
		backendStart := now.Add(-time.Hour)
		started := backendStart
		if restarted[i] {
			started = now.Add(-10 * time.Second)
		}
		members[i] = fleet.Member{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), Role: fleet.Agent, DataCentre: "dc1",
			Incarnation: uint64(started.UnixMilli()),
			Backend:     fleet.Backend{Service: "alpha", State: fleet.BackendReady, StartMillis: backendStart.UnixMilli(), Slots: 5},
		}
	}
	return members
}

// searcher is an agent that searches for the owner of one flow, without the other agents.
type searcher struct {
	t     *testing.T
	now   time.Time
	agent *flowagent.Agent
	// rounds lists the agents that were queried at the same time.
	rounds [][]netip.AddrPort
	last   flowagent.Decision
}

// newSearcher returns an agent that gets a packet of an unknown flow which the given agents have forwarded.
func newSearcher(t *testing.T, members []fleet.Member, visited ...int) *searcher {
	now := time.Unix(2_000_000_000, 0)
	self := netip.MustParseAddrPort("10.9.9.9:7000")
	directory := placement.NewDirectory(now, self, "dc1", rand.New(rand.NewPCG(1, 1)))
	directory.Apply(now, members...)
	directory.UpdateHomes()
	s := &searcher{t: t, now: now.Add(time.Hour)}
	s.agent = flowagent.New(now, flowagent.Config{Self: self, Service: "alpha", FlowLifetime: 2 * time.Hour, Codec: flows.Codec{}, Directory: directory})
	s.agent.SetBackend(fleet.Backend{Service: "alpha", State: fleet.BackendReady, StartMillis: now.UnixMilli(), Slots: 5}, true)
	c := flows.NewCaller(flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1000}, ServiceAddr: serviceAddr})
	f := hop.Forward{Packet: c.Request("hello")}
	for _, i := range visited {
		f.Visited = append(f.Visited, flow.EndpointOf(members[i].Addr))
	}
	for _, home := range directory.HomeAgents(c.Key, placement.HomeAgentsPerFlow) {
		f.Visited = append(f.Visited, flow.EndpointOf(home))
	}
	s.record(s.agent.HandleForward(s.now, f))
	return s
}

// record stores the queries of a decision.
func (s *searcher) record(d flowagent.Decision) {
	s.last = d
	var round []netip.AddrPort
	for _, send := range d.Sends {
		if hop.Type(send.Payload[0]) == hop.TypeQuery {
			round = append(round, send.To)
		}
	}
	if len(round) > 0 {
		s.rounds = append(s.rounds, round)
	}
}

// denyAll answers all queries until the search ends: no agent has the flow. It returns the number of agents asked.
func (s *searcher) denyAll() int {
	asked := map[netip.AddrPort]bool{}
	for i := 0; i < len(s.rounds); i++ {
		for _, agent := range s.rounds[i] {
			if asked[agent] {
				s.t.Fatalf("%v is asked twice", agent)
			}
			asked[agent] = true
			s.record(s.agent.HandleAnswer(s.now, agent, hop.Answer{Key: s.last.Key, Finding: hop.NotHeld}))
		}
	}
	return len(asked)
}

// Guards against searches that send a query to each agent of a large fleet at once, and against ones that end
// although agents that may have the flow have not been asked.
func TestSearchesAskInRounds(t *testing.T) {
	for _, test := range []struct {
		agents, asked int
		outcome       flowagent.Outcome
	}{
		{50, 50, flowagent.FlowReset},
		{96, 96, flowagent.FlowReset},
		{97, 97, flowagent.FlowReset},
		{700, 700, flowagent.FlowReset},
		{768, 768, flowagent.FlowReset},
		{2000, 2, flowagent.Unresolved}, // nobody knows the route here, so that only restarted agents are asked
	} {
		t.Run(fmt.Sprint(test.agents), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(2_000_000_000, 0).Add(time.Hour)
			s := newSearcher(t, fleetOf(now, test.agents, map[int]bool{3: true, 7: true}))
			is.Equal(s.denyAll(), test.asked)
			is.Equal(s.last.Outcome, test.outcome)
			for _, round := range s.rounds {
				is.True(len(round) <= 96)
			}
		})
	}
}

// Flows that nobody has claimed are those of agents that have restarted. These are asked first, beginning with the one
// that was taken for the owner.
func TestSearchesAmongManyAgentsBeginWithRestartedOnes(t *testing.T) {
	for _, agents := range []int{140, 2000} {
		is := is.New(t)
		now := time.Unix(2_000_000_000, 0).Add(time.Hour)
		members := fleetOf(now, agents, map[int]bool{100: true, 120: true, 130: true})
		s := newSearcher(t, members, 120)
		is.True(len(s.rounds) > 0)
		is.Equal(s.rounds[0][:3], []netip.AddrPort{members[120].Addr, members[100].Addr, members[130].Addr})
	}
}
