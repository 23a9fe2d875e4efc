package spread

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1_800_000_000, 0)
	peer  = netip.MustParseAddrPort("127.1.0.2:7000")
)

func newLoadedTracker(flows, slots float64) *Tracker {
	t := NewTracker(start.Add(-time.Hour))
	t.SetFlows(start.Add(-time.Hour), flows)
	t.SetSlots(start.Add(-time.Hour), slots)
	return t
}

func TestShouldOffload(t *testing.T) {
	even := Report{Flows: 0.7, Slots: 0.7}
	cases := []struct {
		name         string
		flows, slots float64
		peer         Report
		age          time.Duration
		random       float64
		want         bool
	}{
		{"equal load is kept", 0.7, 0.7, even, 0, 0, false},
		{"a small difference is kept", 0.71, 0.7, even, 0, 0, false},
		{"a middling difference is offloaded at times", 0.74, 0.7, even, 0, 0.3, true},
		{"a middling difference is kept at times", 0.74, 0.7, even, 0, 0.9, false},
		{"a clear difference is always offloaded", 0.8, 0.7, even, 0, 0.999, true},
		{"fewer flows than the peer", 0.6, 0.7, even, 0, 0, false},
		{"small shares of flows are compared as well", 0.002, 0, Report{Flows: 0.001}, 0, 0.999, true},
		{"uneven slots outweigh flows", 0.65, 0.95, even, 0, 0.999, true},
		{"a peer whose slots are busier gets nothing", 0.8, 0.6, Report{Flows: 0.6, Slots: 0.9}, 0, 0, false},
		{"slots of a peer that has just joined do not count", 0.7, 0.7, Report{Flows: 0.7, Slots: 0.3}, 0, 0, false},
		{"idle slots do not count", 0.7, 0.4, Report{Flows: 0.7, Slots: 0.1}, 0, 0, false},
		{"a full peer gets nothing", 0.99, 0.7, Report{Flows: 0.96, Slots: 0.1}, 0, 0, false},
		{"an old report is not used", 0.9, 0.7, even, ReportLifetime + time.Second, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := newLoadedTracker(c.flows, c.slots)
			tracker.RecordReport(start.Add(-c.age), peer, c.peer)
			is.Equal(tracker.ShouldOffload(start, peer, c.random), c.want)
		})
	}
}

func TestNoOffloadToUnknownPeer(t *testing.T) {
	is := is.New(t)
	is.True(!newLoadedTracker(0.9, 0.9).ShouldOffload(start, peer, 0))
}

// Flows that were just opened do not occupy their slots yet. A report that left
// these slots out would attract further flows.
func TestReportExpectsSlotsOfNewFlows(t *testing.T) {
	is := is.New(t)
	tracker := newLoadedTracker(0.1, 0.2)
	tracker.SetFlows(start, 0.3)
	report := tracker.Report(start)
	is.Equal(report.Flows, 0.3)
	is.True(report.Slots > 0.59 && report.Slots < 0.61)
}

func TestReportsOfManyPeersAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := newLoadedTracker(0.9, 0.7)
	for i := range MaxPeers + 10 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(i)}), 7000)
		tracker.RecordReport(start.Add(time.Duration(i)*time.Millisecond), addr, Report{})
	}
	is.Equal(len(tracker.peers), MaxPeers)
	oldest := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, 0}), 7000)
	is.True(!tracker.ShouldOffload(start.Add(time.Second), oldest, 0))
}

func TestReportEncoding(t *testing.T) {
	is := is.New(t)
	for _, report := range []Report{{}, {Flows: 0.5, Slots: 0.25}, {Flows: 1, Slots: 4}} {
		got, rest, err := CutReport(append(report.Append(nil), 7))
		is.NoErr(err)
		is.Equal(got, report)
		is.Equal(rest, []byte{7})
	}
	_, _, err := CutReport(make([]byte, ReportLen-1))
	is.True(err != nil)
	got, _, err := CutReport(Report{Flows: -1, Slots: 1e9}.Append(nil))
	is.NoErr(err)
	is.Equal(got, Report{Slots: maxShare})
}

// With hashing alone, the busiest of seven agents has more than 1.1 times the mean
// number of flows. Offloading must keep it below that.
func TestOffloadingKeepsFlowsWithinATenthOfTheMean(t *testing.T) {
	is := is.New(t)
	is.True(simulateMaxOverMean(false) > 1.10)
	is.True(simulateMaxOverMean(true) < 1.10)
}

// simulateMaxOverMean opens 50 flows for each of seven agents and returns the largest
// number of flows of an agent over the mean.
func simulateMaxOverMean(offload bool) float64 {
	const agents, flows, connections = 7, 350, 2000
	random := rand.New(rand.NewPCG(1, 2))
	var trackers [agents]*Tracker
	var open [agents]int
	for i := range trackers {
		trackers[i] = NewTracker(start)
	}
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 7000)
	}
	for n := range flows {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		list := random.Perm(agents)[:3]
		owner := list[0]
		if offload && trackers[owner].ShouldOffload(now, addr(list[1]), random.Float64()) {
			owner = list[1]
		}
		open[owner]++
		trackers[owner].SetFlows(now, float64(open[owner])/connections)
		for _, other := range list {
			if other != owner {
				trackers[other].RecordReport(now, addr(owner), trackers[owner].Report(now))
			}
		}
	}
	most := 0
	for _, n := range open {
		most = max(most, n)
	}
	return float64(most) * agents / flows
}

func TestSlotQueriesDropWhilePeersAreBusy(t *testing.T) {
	is := is.New(t)
	limiter := NewSlotQueryLimiter()
	is.True(limiter.Allow(0.999))
	for range 100 {
		limiter.Record(false)
	}
	is.True(!limiter.Allow(0.1))
	is.True(limiter.Allow(0.01)) // some requests still query
	for range 16 {
		limiter.Record(true)
	}
	is.True(limiter.Allow(0.999))
}
