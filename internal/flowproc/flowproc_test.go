package flowproc_test

import (
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flowagent"
	"github.com/almondledge/almondledge/internal/flowproc"
	"github.com/almondledge/almondledge/internal/memnet"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

func TestFlowsMoveBetweenBalancers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 3, 4)
		for port := uint16(1000); port < 1020; port++ {
			c := d.call(0, port)
			d.request(1, c)
			d.request(2, c)
			got := d.read(c)
			is.Equal(len(got.Answers), 3)
			is.Equal(got.Answers[0], got.Answers[1])
			is.Equal(got.Answers[0], got.Answers[2])
		}
	})
}

func TestFlowsSurviveARestartOfAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		var open []*flows.Caller
		for port := uint16(1000); port < 1010; port++ {
			open = append(open, d.call(0, port))
		}
		d.restartProcesses(time.Second)
		time.Sleep(300 * time.Millisecond)
		for _, c := range open {
			d.request(1, c)
			got := d.read(c)
			is.Equal(len(got.Answers), 2)
			is.True(!got.Reset)
		}
		c := d.call(0, 2000)
		is.Equal(len(d.read(c).Answers), 1) // new flows are served, too, less than a second after the start
	})
}

func TestFlowsOfLostBackendsAreResetSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		c := d.call(0, 1000)
		d.crashEverything(time.Second)
		time.Sleep(300 * time.Millisecond)
		d.request(0, c)
		time.Sleep(time.Second)
		is.True(d.read(c).Reset)
	})
}

func TestServiceContinuesWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 2)
		d.store.setDown(true)
		time.Sleep(time.Minute)
		is.Equal(len(d.read(d.call(0, 1000)).Answers), 1)
		is.Equal(strings.Count(d.logs.String(), "lost the platform's store"), 4) // one line per process
		d.store.set(stateFor(5))
		d.store.setDown(false)
		time.Sleep(3 * time.Second)
		is.Equal(strings.Count(d.logs.String(), "version=5"), 4)
	})
}

func TestANewStateTakesEffectEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 3, 3)
		for version := uint64(2); version < 12; version++ {
			d.store.set(stateFor(version))
			time.Sleep(3 * time.Second)
		}
		dropped := route.State{Version: 50, IdleTimeout: time.Minute}
		d.store.set(dropped)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			c := d.call(i, uint16(1000+i))
			is.True(d.read(c).Reset) // refused at once, because there is no route any more
		}
	})
}

// The store comes back twice from an earlier copy, which lacks the active state, and gives out the same
// revisions again. No process goes back to the copy's state, and what is written next becomes active in time.
func TestStatesOfARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 3, 3)
		port := uint16(1000)
		refused := func() (count int) {
			for i := range 3 {
				port++
				if c := d.call(i, port); d.read(c).Reset {
					count++
				}
			}
			return count
		}
		for version := uint64(10); version < 30; version += 10 {
			d.store.set(route.State{Version: version, IdleTimeout: time.Minute}) // without a route
			time.Sleep(3 * time.Second)
			is.Equal(refused(), 3)
			d.store.restore(stateFor(2), 1) // the copy has the route
			time.Sleep(10 * time.Second)    // longer than the period of full reads
			is.Equal(refused(), 3)
			d.store.set(stateFor(version + 5)) // under a revision that another state had before
			time.Sleep(2 * time.Second)
			is.Equal(refused(), 0)
		}
	})
}

func TestStateArrivesWhenTheFirstReaderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 3, 2)
		// The first reader of the store is cut off from all other processes.
		isolated := balancerAddr(0)
		d.net.SetLinks(func(from, to netip.Addr) memnet.Link {
			return memnet.Link{Delay: 2 * time.Millisecond, Cut: (from == isolated) != (to == isolated)}
		})
		time.Sleep(5 * time.Second)
		d.store.set(stateFor(9))
		time.Sleep(3 * time.Second)
		is.Equal(strings.Count(d.logs.String(), "version=9"), 5)
	})
}

func TestDrainingBackendGetsNoNewFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		d.report(1, fleet.BackendDraining)
		for port := uint16(1000); port < 1030; port++ {
			c := d.call(int(port)%2, port)
			is.Equal(len(d.read(c).Answers), 1)
		}
		is.Equal(d.agents[1].backend.Runs, 0)
	})
}

func TestPlannedStopOfABalancerLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		c := d.call(0, 1000)
		d.balancers[0].drain()
		time.Sleep(flowproc.BalancerDrainTime / 2)
		d.request(0, c) // the fabric still sends packets to this balancer
		is.Equal(len(d.read(c).Answers), 2)
		time.Sleep(flowproc.BalancerDrainTime)
		<-d.balancers[0].done
		d.request(1, c)
		is.Equal(len(d.read(c).Answers), 3)
	})
}

func TestPlannedStopOfAnAgentKeepsItsFlows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		var open []*flows.Caller
		for port := uint16(1000); port < 1010; port++ {
			open = append(open, d.call(0, port))
		}
		for i, a := range d.agents {
			a.drain()
			<-a.done
			d.startAgent(i)
			time.Sleep(2 * time.Second)
		}
		for _, c := range open {
			d.request(1, c)
			got := d.read(c)
			is.Equal(len(got.Answers), 2)
			is.True(!got.Reset)
		}
	})
}

func TestPacketLossAndDelayBreakNoFlows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 3, 4)
		d.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: 9 * time.Millisecond, Loss: 0.03} })
		served := 0
		for port := uint16(1000); port < 1100; port++ {
			c := d.call(int(port)%3, port)
			for range 6 { // as often as callers retransmit before their timeout
				if len(d.read(c).Answers) == 0 {
					time.Sleep(200 * time.Millisecond)
					if got := d.read(c); got.Open {
						d.request(int(port)%3, c)
					} else {
						d.mu.Lock()
						raw := c.Opening()
						d.mu.Unlock()
						d.send(int(port)%3, raw)
					}
				}
			}
			got := d.read(c)
			is.True(!got.Reset)
			if len(got.Answers) > 0 {
				served++
			}
		}
		is.True(served >= 98)
	})
}

func TestSettingsAreValidated(t *testing.T) {
	is := is.New(t)
	_, err := flowproc.NewBalancer(flowproc.BalancerConfig{}, flowproc.Options{})
	is.True(err != nil)
	_, err = flowproc.NewAgent(flowproc.AgentConfig{}, flowproc.Options{})
	is.True(err != nil)
}

// Guards against a balancer that is cut off from all agents, keeps receiving callers' packets and
// refuses them, although other balancers could serve them.
func TestABalancerCutOffFromAllAgentsLeavesTheRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		is.NoErr(d.balancers[0].ready())
		isolated := balancerAddr(0)
		d.net.SetLinks(func(from, to netip.Addr) memnet.Link {
			inside := from.As4()[0] == 10 && to.As4()[0] == 10
			return memnet.Link{Delay: 2 * time.Millisecond, Cut: inside && (from == isolated) != (to == isolated)}
		})
		time.Sleep(3 * time.Second)
		is.True(d.balancers[0].ready() != nil)
		c := d.call(0, 1000)
		is.True(!d.read(c).Reset) // the caller's next copy may reach another balancer
		is.NoErr(d.balancers[1].ready())
		d.net.SetLinks(func(_, _ netip.Addr) memnet.Link { return memnet.Link{Delay: 2 * time.Millisecond} })
		time.Sleep(4 * time.Second)
		is.NoErr(d.balancers[0].ready())
		is.Equal(len(d.read(d.call(0, 1001)).Answers), 1)
		for _, line := range []string{"met other members", "lost all other members", "other members are heard again"} {
			is.True(strings.Contains(d.logs.String(), line))
		}
	})
}

// Guards against losing callers' packets that arrive before a restarted balancer is ready.
func TestPacketsBeforeReadinessAreBuffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		d.balancers[0].kill()
		<-d.balancers[0].done
		d.balancers[0] = d.startBalancer(0)
		c := d.call(0, 1000) // one opening packet, right after the start
		is.Equal(len(d.read(c).Answers), 1)
	})
}

// Checks that a process that starts in a large fleet has the whole table at once and serves flows.
func TestStartInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		const unknown = 1500
		d.addUnknownMembers(0, unknown)
		d.balancers[1].kill()
		<-d.balancers[1].done
		d.balancers[1] = d.startBalancer(1)
		time.Sleep(300 * time.Millisecond)
		is.Equal(value(d.scrape(balancerAddr(1)), `almondledge_members{liveness="alive"}`),
			value(d.scrape(balancerAddr(0)), `almondledge_members{liveness="alive"}`))
		is.True(strings.Contains(d.logs.String(), `message="members fetched"`))
		is.Equal(len(d.read(d.call(1, 1000)).Answers), 1)
	})
}

// Guards against review case 6: a report that names no address, or another one, was taken for a restart of the backend
// server, whose open flows were then reset.
func TestReportOfAnotherProgramLeavesFlowsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 1)
		c := d.call(0, 1000)
		foreign := flowagent.Report{
			Identity: d.identity(0), ID: "other", State: fleet.BackendDraining, StartMillis: time.Now().UnixMilli(), Slots: 5, Sequence: 1,
		}
		foreign.Addr = netip.AddrPort{}
		is.True(errkind.Is(d.agents[0].agent.Report(foreign), errkind.Invalid))
		foreign.Addr = netip.MustParseAddrPort("10.9.9.9:80")
		is.True(errkind.Is(d.agents[0].agent.Report(foreign), errkind.Invalid))
		d.request(0, c)
		got := d.read(c)
		is.Equal(len(got.Answers), 2)
		is.True(!got.Reset)
		is.Equal(len(d.read(d.call(0, 1001)).Answers), 1) // the backend server still gets new flows
		is.Equal(value(d.scrape(agentAddr(0)), "almondledge_bad_reports_total"), "2")
	})
}
