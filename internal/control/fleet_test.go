package control_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/control/memnet"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

const booking service.ID = 1

// fleet is a small deployment on a memnet.
type fleet struct {
	*memnet.Net
	balancers, agents []*memnet.Host
	seeds             []netip.AddrPort
}

// newFleet starts balancers and agents in each data centre and lets their views converge.
func newFleet(seed uint64, dataCentres, balancers, agents int) *fleet {
	f := &fleet{Net: memnet.New(seed)}
	for dc := range dataCentres {
		f.seeds = append(f.seeds, balancerAddr(dc, 0))
	}
	for dc := range dataCentres {
		for i := range balancers {
			f.balancers = append(f.balancers, f.addBalancer(dc, i, 1))
		}
	}
	f.Run(8 * time.Second)
	for dc := range dataCentres {
		for i := range agents {
			f.agents = append(f.agents, f.addAgent(dc, i, 1))
		}
	}
	f.Run(10 * time.Second)
	return f
}

func (f *fleet) addBalancer(dc, i int, incarnation uint64) *memnet.Host {
	return f.Add(memnet.Balancer(balancerAddr(dc, i), dcName(dc), incarnation, f.seeds...))
}

func (f *fleet) addAgent(dc, i int, incarnation uint64) *memnet.Host {
	cfg := memnet.Balancer(agentAddr(dc, i), dcName(dc), incarnation, balancerAddr(dc, 0))
	cfg.Self.Kind, cfg.Self.Service, cfg.Self.Capacity = member.Agent, booking, 5
	return f.Add(cfg)
}

func dcName(dc int) string { return fmt.Sprintf("dc-%d", dc) }

func balancerAddr(dc, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), 1, byte(i + 1)}), 4433)
}

func agentAddr(dc, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), 2, byte(i + 1)}), 4434)
}

// offers reports whether a balancer offers new flows to an agent.
func (f *fleet) offers(balancer, agent *memnet.Host) bool {
	for _, c := range balancer.Node.Table().Candidates(f.Now, booking) {
		if c.Addr == agent.Addr {
			return true
		}
	}
	return false
}

// allBalancers reports whether ok holds at each running balancer.
func (f *fleet) allBalancers(ok func(*memnet.Host) bool) bool {
	for _, b := range f.balancers {
		if !b.Down && !b.Frozen && !ok(b) {
			return false
		}
	}
	return true
}

// allOffer reports whether each running balancer offers new flows to each of the agents.
func (f *fleet) allOffer(agents ...*memnet.Host) bool {
	return f.allBalancers(func(b *memnet.Host) bool {
		for _, a := range agents {
			if !f.offers(b, a) {
				return false
			}
		}
		return true
	})
}

// noneOffers reports whether no running balancer offers new flows to the agent.
func (f *fleet) noneOffers(agent *memnet.Host) bool {
	return f.allBalancers(func(b *memnet.Host) bool { return !f.offers(b, agent) })
}

// applyTicket applies a revision at one balancer, as its watcher would.
func (f *fleet) applyTicket(at *memnet.Host, from, to int64) error {
	spec := service.Spec{Name: "booking", ID: booking, Limits: service.Limits{Connections: int(to)}}
	d := catalog.Delta{From: from, To: to, Entries: []catalog.Entry{{ID: booking, ModRevision: to, Spec: spec}}}
	out, err := at.Node.ApplyStore(d)
	f.Perform(at, out)
	return err
}

func TestFleetConverges(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2, 4, 6)
	is.True(f.allOffer(f.agents...))
	is.True(!f.balancers[0].Node.Ready()) // no catalog yet
	is.NoErr(f.applyTicket(f.balancers[0], 0, 7))
	took, ok := f.RunUntil(16*time.Second, func() bool {
		for _, h := range f.Hosts {
			if h.Node.Catalog().Revision() < 7 {
				return false
			}
		}
		return true
	})
	t.Log("ticket applied everywhere after", took)
	is.True(ok)
	for _, b := range f.balancers {
		is.True(b.Node.Ready())
	}
	for _, a := range f.agents {
		is.Equal(len(a.Node.ReplyTargets(f.Now)), 3)
		is.True(len(a.Node.Peers(f.Now)) > 0)
	}
}

func TestDrainReachesEveryBalancerInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 3, 8, 6)
	f.Loss = 0.1
	f.Perform(f.agents[3], f.agents[3].Node.SetState(f.Now, member.Draining))
	took, ok := f.RunUntil(3*time.Second, func() bool { return f.noneOffers(f.agents[3]) })
	t.Log("drain known everywhere after", took)
	is.True(ok)
	f.Perform(f.agents[3], f.agents[3].Node.SetState(f.Now, member.Serving))
	f.mustHappen(t, "back in service", 3*time.Second, func() bool { return f.allOffer(f.agents[3]) })
}

func TestLostDrainIsRepeatedAtOnce(t *testing.T) {
	f := newFleet(6, 1, 1, 1)
	for phase := range 10 {
		f.Run(time.Second + time.Duration(phase)*control.TickPeriod)
		f.Cut = func(_, _ *memnet.Host) bool { return true }
		f.Perform(f.agents[0], f.agents[0].Node.SetState(f.Now, member.Draining))
		f.Run(control.TickPeriod / 2)
		f.Cut = nil
		f.mustHappen(t, "drain known", 2*control.TickPeriod, func() bool { return f.noneOffers(f.agents[0]) })
		f.Perform(f.agents[0], f.agents[0].Node.SetState(f.Now, member.Serving))
	}
}

func TestDeadHostGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 2, 8, 6)
	f.Loss = 0.1
	f.agents[2].Down = true
	took, ok := f.RunUntil(3*time.Second, func() bool { return f.noneOffers(f.agents[2]) })
	t.Log("failure known everywhere after", took)
	is.True(ok)
}

func TestLeavingBalancerIsReplacedBeforeItStops(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 1, 6, 12)
	f.Loss = 0.1
	leaving := f.balancers[2]
	f.Perform(leaving, leaving.Node.SetState(f.Now, member.Draining))
	f.mustHappen(t, "out of all reply sets", time.Second, func() bool {
		for _, a := range f.agents {
			if slices.Contains(a.Node.ReplyTargets(f.Now), leaving.Addr) {
				return false
			}
		}
		return true
	})
	f.Run(time.Second)
	for _, a := range f.agents {
		is.Equal(len(a.Node.ReplyTargets(f.Now)), 3) // another balancer has replaced the leaving balancer
	}
}

func TestLossCausesNoFlapping(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 2, 8, 12)
	f.Loss = 0.1
	for range 120 {
		f.Run(time.Second)
		for _, a := range f.agents {
			is.Equal(len(a.Node.ReplyTargets(f.Now)), 3) // the reply set stays complete too
		}
	}
	for _, b := range f.balancers {
		is.Equal(b.Node.Counters().Suspicions, uint64(0))
	}
	is.True(f.allOffer(f.agents...))
}

func TestDeadBalancerLeavesReplySet(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 1, 6, 6)
	f.balancers[1].Down = true
	f.Run(2 * time.Second)
	for _, a := range f.agents {
		for _, b := range a.Node.ReplyTargets(f.Now) {
			is.True(b != f.balancers[1].Addr)
		}
	}
	for _, b := range f.balancers {
		b.Down = true
	}
	f.Run(20 * time.Second)
	for _, a := range f.agents {
		is.True(len(a.Node.ReplyTargets(f.Now)) > 0) // the agent keeps its last reply set
	}
}

// Guards against an agent that tries the balancers that it knows again and again, although they are gone for good: there
// were enough of them to fill all its targets, so it never tried its other seeds.
func TestAgentTriesOtherSeedsWhenItsBalancersAreGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 6, 0)
	late := balancerAddr(0, 9)
	cfg := memnet.Balancer(agentAddr(0, 0), dcName(0), 1, balancerAddr(0, 0), late)
	cfg.Self.Kind, cfg.Self.Service, cfg.Self.Capacity = member.Agent, booking, 5
	agent := f.Add(cfg)
	f.Run(30 * time.Second) // the agent learns of all balancers
	is.True(f.allOffer(agent))
	for _, b := range f.balancers {
		b.Down = true
	}
	f.Run(30 * time.Second)
	started := f.Add(memnet.Balancer(late, dcName(0), 1))
	f.Run(12 * time.Second)
	is.True(f.offers(started, agent))
}
