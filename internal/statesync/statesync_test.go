package statesync_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
)

var start = time.Unix(2_000_000_000, 0)

func newFollower(rank int) *statesync.Follower {
	return statesync.NewFollower(start, rank, rand.New(rand.NewPCG(1, 2)))
}

func TestNeverBackToALowerVersion(t *testing.T) {
	is := is.New(t)
	f := newFollower(0)
	is.True(f.ShouldRead(start))
	is.True(f.ReadSucceeded(start, route.State{Version: 5}))
	is.True(!f.Offer(route.State{Version: 4}))
	is.True(!f.Offer(route.State{Version: 5}))
	is.True(!f.ReadSucceeded(start.Add(time.Second), route.State{Version: 3})) // read from a store without version 5
	is.Equal(f.Table().Version(), uint64(5))
	is.Equal(f.Age(start.Add(time.Second)), time.Duration(0)) // the store had nothing newer when this read began
	is.True(!f.ReadSucceeded(start.Add(500*time.Millisecond), route.State{Version: 3}))
	is.Equal(f.Age(start.Add(time.Second)), time.Duration(0)) // an earlier read does not set the confirmation back
}

func TestOneReadAtATime(t *testing.T) {
	is := is.New(t)
	f := newFollower(0)
	is.True(f.ShouldRead(start))
	is.True(!f.ShouldRead(start.Add(time.Second)))
	f.ReadFailed(start.Add(time.Second))
	is.True(!f.ShouldRead(start.Add(time.Second)))
	is.True(f.ShouldRead(start.Add(3 * time.Second)))
}

func TestPeerConfirmationsPostponeReads(t *testing.T) {
	is := is.New(t)
	f := newFollower(2)
	f.ShouldRead(start)
	f.ReadSucceeded(start, route.State{Version: 5})
	now := start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		f.PeerReported(now, 5, 300*time.Millisecond)
		is.True(!f.ShouldRead(now))
	}
	f.PeerReported(now, 4, 0) // a report of an older version is no confirmation
	is.True(f.ShouldRead(now.Add(3 * time.Second)))
}

// Guards against a rank that reads the store too late. The platform requires a change of the state
// to take effect within three seconds, also at a process that receives no messages from others.
func TestEveryRankReadsWithinTheBound(t *testing.T) {
	const bound, readTime = 3 * time.Second, 300 * time.Millisecond
	for _, rank := range []int{0, 1, 2, 7, statesync.AgentRank} {
		is := is.New(t)
		f := newFollower(rank)
		f.SetRank(rank, 64)
		f.ShouldRead(start.Add(time.Second))
		f.ReadSucceeded(start.Add(time.Second), route.State{Version: 1})
		is.True(f.ShouldRead(start.Add(time.Second + bound - readTime)))
	}
}

// Guards against every agent reading the store again and again at the start of a deployment until
// there is a first state.
func TestAgentWithoutAStateWaitsForPeers(t *testing.T) {
	is := is.New(t)
	f := newFollower(statesync.AgentRank)
	now := start
	reads := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		f.PeerReported(now, 0, 0)
		if f.ShouldRead(now) {
			reads++
			f.ReadFailed(now)
		}
	}
	is.True(reads >= 3 && reads <= 5)           // in ten seconds: the agent does not rely on peers alone
	is.True(f.ShouldRead(now.Add(time.Second))) // peers have sent no more messages
}

func TestPauseAfterFailuresIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFollower(0)
	now := start
	for range 30 {
		is.True(f.ShouldRead(now))
		f.ReadFailed(now)
		now = now.Add(time.Second)
	}
	is.Equal(f.Failures(), 30)
}

// tableSource serves one state and some members.
type tableSource struct {
	table   *route.Table
	members []fleet.Member
}

func (s tableSource) Table() *route.Table { return s.table }

func (s tableSource) Members() ([]fleet.Member, []fleet.DeadAge) {
	return s.members, []fleet.DeadAge{{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), AgeMS: 700}}
}

func TestFetch(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	table := route.NewTable(route.State{Version: 7, Routes: []route.Route{{Name: "a", Shares: []route.Share{{Service: "s", Weight: 1}}}}})
	members := []fleet.Member{
		{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Role: fleet.Balancer, DataCentre: "dc1", Incarnation: 5, Revision: 2},
		{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), Role: fleet.Agent, Liveness: fleet.Suspect, Backend: fleet.Backend{Service: "s", StartMillis: 9, Slots: 3}},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		statesync.Serve(listener, tableSource{table, members})
	}()
	addr := netip.MustParseAddrPort(listener.Addr().String())

	state, err := statesync.Fetch(context.Background(), network.System{}.DialTCP, addr, 6)
	is.NoErr(err)
	is.Equal(state, table.State())
	state, err = statesync.Fetch(context.Background(), network.System{}.DialTCP, addr, 7)
	is.NoErr(err)
	is.Equal(state.Version, uint64(0)) // no newer state
	got, ages, err := statesync.FetchMembers(context.Background(), network.System{}.DialTCP, addr)
	is.NoErr(err)
	is.Equal(got, members)
	is.Equal(ages, []fleet.DeadAge{{Addr: members[1].Addr, AgeMS: 700}})

	is.NoErr(listener.Close())
	<-done
	_, err = statesync.Fetch(context.Background(), network.System{}.DialTCP, addr, 6)
	is.True(errkind.Is(err, errkind.Unavailable))
}

// Guards against reads without a pause while a store that was restored from an earlier copy does not have the
// active state yet.
func TestReadsOfAnOlderStatePause(t *testing.T) {
	is := is.New(t)
	f := newFollower(0)
	f.ShouldRead(start)
	f.ReadSucceeded(start, route.State{Version: 5})
	now := start.Add(5 * time.Second)
	reads := 0
	for range 100 { // two seconds of ticks
		now = now.Add(20 * time.Millisecond)
		if f.ShouldRead(now) {
			reads++
			is.True(!f.ReadSucceeded(now, route.State{Version: 4}))
		}
	}
	is.True(reads >= 1 && reads <= 3) // as often as without a change
	is.Equal(f.Table().Version(), uint64(5))
}
