package flowproc_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/memnet"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

// Guards against resets of open flows by an agent that has just started and knows few members (review/9): when a balancer
// and an agent restart while they reach no other process, the agent took its view for complete 0.4 s after its start.
func TestStartingAgentThatKnowsFewMembersResetsNoFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		var others []*flows.Caller // whose backend servers are not that of agent 0
		for port := uint16(1000); port < 1030; port++ {
			if c := d.call(0, port); d.read(c).Answers[0] != d.agents[0].backend.Name {
				others = append(others, c)
			}
		}
		is.True(len(others) > 0)
		apart := func(a netip.Addr) bool { return a == balancerAddr(0) || a == agentAddr(0) }
		isCaller := func(a netip.Addr) bool { return a == callersAddr().Addr() }
		d.net.SetLinks(func(from, to netip.Addr) memnet.Link {
			return memnet.Link{Delay: 2 * time.Millisecond, Cut: !isCaller(from) && !isCaller(to) && apart(from) != apart(to)}
		})
		kill(d.balancers[0])
		kill(&d.agents[0].process)
		time.Sleep(500 * time.Millisecond)
		d.balancers[0] = d.startBalancer(0)
		d.startAgent(0)
		time.Sleep(time.Second)
		for _, c := range others {
			d.request(0, c)
		}
		time.Sleep(time.Second)
		d.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: 2 * time.Millisecond} })
		time.Sleep(2 * time.Second)
		for _, c := range others {
			is.True(!d.read(c).Reset)
			d.request(0, c)
			time.Sleep(500 * time.Millisecond)
			is.True(len(d.read(c).Answers) > 1)
		}
	})
}
