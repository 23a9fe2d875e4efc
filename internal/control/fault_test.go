package control_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/control/memnet"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
)

// mustHappen fails the test unless ok holds within limit.
func (f *fleet) mustHappen(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	took, done := f.RunUntil(limit, ok)
	if !done {
		t.Fatalf("%s: not within %v", what, limit)
	}
	t.Logf("%s after %v", what, took)
}

// allApplied returns a condition that holds when every running node has applied a catalog revision.
func (f *fleet) allApplied(revision int64) func() bool {
	return func() bool {
		for _, h := range f.Hosts {
			if !h.Down && !h.Frozen && h.Node.Catalog().Revision() < revision {
				return false
			}
		}
		return true
	}
}

func TestFrozenAgentIsNotTrustedOnItsOldIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(11, 1, 5, 6)
	frozen := f.agents[0]
	frozen.Frozen = true
	f.mustHappen(t, "declared dead", 15*time.Second, func() bool {
		return f.allBalancers(func(b *memnet.Host) bool {
			return b.Node.Table().Get(frozen.Addr).State == member.Dead
		})
	})
	newcomer := f.addBalancer(0, 9, 1)
	f.Run(2 * time.Second)
	old := frozen.Node.Self().Incarnation
	stale := &control.Announce{Sequence: 9, Self: control.MemberRecord(frozen.Node.Self())}
	f.Perform(f.balancers[0], f.balancers[0].Node.Handle(f.Now, frozen.Addr, stale))
	is.True(!f.offers(f.balancers[0], frozen)) // an announcement of the old incarnation is refused
	is.Equal(f.balancers[0].Node.Counters().ContestedAnnouncements, uint64(1))
	f.Perform(newcomer, newcomer.Node.Handle(f.Now, frozen.Addr, stale))
	is.True(!f.offers(newcomer, frozen)) // also by a balancer that joined after the death

	f.Resume(frozen)
	f.mustHappen(t, "trusted again", 3*time.Second, func() bool { return f.allOffer(frozen) })
	is.True(frozen.Node.Self().Incarnation > old)
	for _, b := range f.balancers {
		is.Equal(b.Node.Table().Get(frozen.Addr).Incarnation, frozen.Node.Self().Incarnation)
	}
}

func TestShortFreezeTakesANewIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(22, 1, 3, 3)
	f.agents[0].Frozen = true
	f.Run(1700 * time.Millisecond) // too short to be declared dead
	f.Resume(f.agents[0])
	f.Run(time.Second)
	is.Equal(f.agents[0].Node.Counters().Freezes, uint64(1))
	is.True(f.agents[0].Node.Self().Incarnation > 1)
	is.True(f.allOffer(f.agents...))
}

func TestAgentThatFailsWithItsObserversIsDetected(t *testing.T) {
	f := newFleet(23, 1, 8, 8)
	for _, a := range f.agents[2].Node.ReplyTargets(f.Now) {
		f.Host(a).Down = true
	}
	f.agents[2].Down = true
	f.mustHappen(t, "out of service", 16*time.Second, func() bool { return f.noneOffers(f.agents[2]) })
}

func TestNoSuspicionWithoutASentProbe(t *testing.T) {
	is := is.New(t)
	f := newFleet(25, 1, 1, 2)
	poor := memnet.Balancer(balancerAddr(0, 1), dcName(0), 1, f.seeds...)
	poor.BytesPerSecond = 400 // less than one probe takes
	observer := f.Add(poor)
	for sequence := range uint32(5) {
		self := f.agents[0].Node.Self()
		f.Perform(observer, observer.Node.Handle(f.Now, f.agents[0].Addr, &control.Announce{Sequence: sequence, Self: control.MemberRecord(self)}))
	}
	f.Cut = func(_, to *memnet.Host) bool { return to == observer }
	f.Run(10 * time.Second)
	is.Equal(observer.Node.Counters().Suspicions, uint64(0))
}

func TestResumedBalancerSuspectsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(12, 2, 5, 3)
	f.LoseWhileFrozen = true
	f.balancers[2].Frozen = true
	f.Run(20 * time.Second)
	f.Resume(f.balancers[2])
	for range 200 {
		f.Run(control.TickPeriod / 20)
		is.True(f.allOffer(f.agents...)) // including those of the other data centre
	}
	f.Run(10 * time.Second)
	is.Equal(f.balancers[2].Node.Counters().Suspicions, uint64(0))
	is.Equal(f.balancers[0].Node.Table().Get(f.balancers[2].Addr).State, member.Serving)
	is.True(f.allOffer(f.agents...))
}

func TestCutsOnSinglePathsCauseNoFlapping(t *testing.T) {
	cases := []struct {
		name string
		cut  func(f *fleet) func(from, to *memnet.Host) bool
	}{
		{"agent cannot reach one balancer", func(f *fleet) func(from, to *memnet.Host) bool {
			return func(from, to *memnet.Host) bool { return from == f.agents[0] && to == f.balancers[0] }
		}},
		{"one balancer cannot reach an agent", func(f *fleet) func(from, to *memnet.Host) bool {
			return func(from, to *memnet.Host) bool { return from == f.balancers[1] && to == f.agents[1] }
		}},
		{"two balancers cannot reach each other", func(f *fleet) func(from, to *memnet.Host) bool {
			return func(from, to *memnet.Host) bool {
				return (from == f.balancers[0] && to == f.balancers[1]) || (from == f.balancers[1] && to == f.balancers[0])
			}
		}},
		{"one balancer receives nothing", func(f *fleet) func(from, to *memnet.Host) bool {
			return func(_, to *memnet.Host) bool { return to == f.balancers[3] }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(13, 1, 6, 8)
			f.Cut = c.cut(f)
			for range 80 {
				f.Run(500 * time.Millisecond)
				is.True(f.allOffer(f.agents...))
			}
			for _, a := range f.agents {
				is.Equal(a.Node.Counters().Refutations, uint64(0)) // no agent was suspected
			}
		})
	}
}

func TestPartitionedRegionsReunite(t *testing.T) {
	is := is.New(t)
	f := newFleet(14, 4, 4, 3)
	region := func(h *memnet.Host) int { return int(h.Addr.Addr().As4()[1]) / 2 }
	f.Cut = func(from, to *memnet.Host) bool { return region(from) != region(to) }
	is.NoErr(f.applyTicket(f.balancers[0], 0, 5))
	f.agents[1].Down = true
	f.Perform(f.agents[10], f.agents[10].Node.SetState(f.Now, member.Draining))
	newcomer := f.addAgent(3, 20, 1)
	f.Run(3 * time.Minute)

	far := f.balancers[15]
	is.Equal(far.Node.Catalog().Revision(), int64(0)) // the cut is effective
	is.True(f.offers(far, newcomer))
	is.True(!f.offers(far, f.agents[0])) // reachable agents are preferred
	is.True(!f.offers(f.balancers[0], f.agents[1]))

	f.Cut = nil
	f.mustHappen(t, "ticket applied", 16*time.Second, f.allApplied(5))
	f.mustHappen(t, "members agreed", 16*time.Second, func() bool {
		rest := []*memnet.Host{newcomer, f.agents[0], f.agents[5], f.agents[11]}
		return f.allOffer(rest...) && f.noneOffers(f.agents[1]) && f.noneOffers(f.agents[10])
	})
}

// TestDeadMembersDoNotComeBackAfterALongPartition partitions two data centres for
// longer than records of dead members are kept. The other side still considers these
// members alive and sends their records back by repair.
func TestDeadMembersDoNotComeBackAfterALongPartition(t *testing.T) {
	f := newFleet(24, 2, 3, 2)
	f.Cut = func(from, to *memnet.Host) bool { return from.DataCentre != to.DataCentre }
	f.agents[0].Down, f.balancers[0].Down = true, true
	f.Run(11 * time.Minute)
	far := f.balancers[5]
	if far.Node.Table().Get(f.agents[0].Addr).State != member.Serving || f.balancers[1].Node.Table().Get(f.agents[0].Addr) != nil {
		t.Fatal("the partition did not make the views differ")
	}
	f.Cut = nil
	gone := func(b, h *memnet.Host) bool {
		r := b.Node.Table().Get(h.Addr)
		return r == nil || r.State == member.Dead
	}
	f.mustHappen(t, "dead for all", 30*time.Second, func() bool {
		return f.allBalancers(func(b *memnet.Host) bool { return gone(b, f.agents[0]) && gone(b, f.balancers[0]) })
	})
	f.Run(time.Minute)
	if !f.allBalancers(func(b *memnet.Host) bool { return gone(b, f.agents[0]) && gone(b, f.balancers[0]) }) {
		t.Fatal("a dead member came back")
	}
}

func TestSplitDataCentreHeals(t *testing.T) {
	f := newFleet(15, 1, 6, 6)
	side := func(h *memnet.Host) bool { return h.Addr.Addr().As4()[3]%2 == 0 }
	f.Cut = func(from, to *memnet.Host) bool { return side(from) != side(to) }
	for range 60 {
		f.Run(time.Second)
		for _, b := range f.balancers {
			own := slices.IndexFunc(f.agents, func(a *memnet.Host) bool { return side(a) == side(b) && !f.offers(b, a) })
			if own >= 0 {
				t.Fatalf("%v does not offer flows to %v, which it can reach", b.Addr, f.agents[own].Addr)
			}
		}
	}
	f.Cut = nil
	f.mustHappen(t, "all alive in all views", 30*time.Second, func() bool {
		return f.allBalancers(func(b *memnet.Host) bool {
			for _, h := range f.Hosts {
				if b.Node.Table().Get(h.Addr).State != member.Serving {
					return false
				}
			}
			return true
		})
	})
}

func TestLostWatchersAreReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(16, 2, 6, 3)
	is.Equal(len(f.watching()), 4) // two for each data centre
	for _, w := range f.watching() {
		w.Down = true
	}
	var chosen []*memnet.Host
	f.mustHappen(t, "new watchers", 16*time.Second, func() bool {
		chosen = f.watching()
		return len(chosen) == 4
	})
	is.NoErr(f.applyTicket(chosen[0], 0, 3))
	f.mustHappen(t, "ticket applied", 16*time.Second, f.allApplied(3))
}

// watching returns the running balancers that watch the store.
func (f *fleet) watching() []*memnet.Host {
	var list []*memnet.Host
	for _, b := range f.balancers {
		if !b.Down && b.Node.Watching() {
			list = append(list, b)
		}
	}
	return list
}

func TestRackLossStartsSelfPreservation(t *testing.T) {
	is := is.New(t)
	f := newFleet(17, 1, 6, 12)
	lost := f.agents[:5]
	for _, h := range slices.Concat(lost, f.balancers[:2]) {
		h.Down = true
	}
	f.Run(6 * time.Second)
	is.True(f.allOffer(lost...)) // more than a third failed at once: they stay routable
	f.mustHappen(t, "lost agents out of service", 16*time.Second, func() bool {
		for _, a := range lost {
			if !f.noneOffers(a) {
				return false
			}
		}
		return true
	})
	is.True(f.allOffer(f.agents[5:]...))
}

func TestFullRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(18, 2, 4, 4)
	is.NoErr(f.applyTicket(f.balancers[0], 0, 4))
	f.Run(5 * time.Second)
	for dc := range 2 {
		for i := range 4 {
			f.addBalancer(dc, i, 2)
			f.addAgent(dc, i, 2)
		}
	}
	is.True(!f.balancers[0].Node.Ready())
	f.Run(8 * time.Second)
	is.NoErr(f.applyTicket(f.balancers[5], 0, 4))
	f.mustHappen(t, "ready again", 16*time.Second, func() bool {
		return f.allApplied(4)() && f.allOffer(f.agents...) &&
			f.allBalancers(func(b *memnet.Host) bool { return b.Node.Ready() })
	})
}

func TestJoiningNodeGetsItsStateFromPeers(t *testing.T) {
	is := is.New(t)
	f := newFleet(19, 2, 4, 4)
	is.NoErr(f.applyTicket(f.balancers[0], 0, 4))
	f.Run(5 * time.Second)
	f.Loss = 0.1
	joined := f.addBalancer(1, 9, 1)
	is.True(!joined.Node.Ready())
	f.balancers = append(f.balancers, joined)
	f.mustHappen(t, "ready", 5*time.Second, func() bool {
		return joined.Node.Ready() && f.allOffer(f.agents...)
	})
}

func TestOlderStoreIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, 1, 3, 2)
	is.NoErr(f.applyTicket(f.balancers[0], 0, 9))
	err := f.applyTicket(f.balancers[0], 0, 6)
	is.Equal(errkind.Of(err), errkind.Stale)
	is.Equal(f.balancers[0].Node.Counters().StaleRefused, uint64(1))
	f.Run(5 * time.Second)
	is.True(f.allApplied(9)())
}

func TestStatusNamesLaggingNodes(t *testing.T) {
	is := is.New(t)
	f := newFleet(21, 2, 4, 3)
	is.NoErr(f.applyTicket(f.balancers[0], 0, 4))
	f.Run(5 * time.Second)
	f.Cut = func(from, to *memnet.Host) bool { return from == f.agents[1] || to == f.agents[1] }
	is.NoErr(f.applyTicket(f.balancers[0], 4, 8))
	f.Run(1500 * time.Millisecond)
	f.Perform(f.balancers[0], f.balancers[0].Node.QueryStatus(f.Now, 8))
	f.Run(time.Second)
	var balancers, agents, lagging int
	var sample []netip.AddrPort
	for _, dc := range f.balancers[0].Node.Status().DataCentres {
		is.True(dc.Complete)
		balancers += dc.Balancers
		agents += dc.Agents
		lagging += dc.Lagging
		sample = append(sample, dc.Sample...)
	}
	is.Equal(balancers, 8)
	is.Equal(agents, 6)
	is.Equal(lagging, 1)
	is.Equal(sample, []netip.AddrPort{f.agents[1].Addr})
}
