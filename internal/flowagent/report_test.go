package flowagent_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flowagent"
)

// alphaBackend is the identity of the backend server in these tests.
var alphaBackend = flowagent.Identity{Service: "alpha", Addr: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "cesme"}

func TestReports(t *testing.T) {
	at := time.Unix(2_000_000_000, 0)
	first := flowagent.Report{Identity: alphaBackend, ID: "a", State: fleet.BackendReady, StartMillis: 1000, Slots: 5, Sequence: 3}
	change := func(f func(*flowagent.Report)) flowagent.Report {
		r := first
		f(&r)
		return r
	}
	tests := []struct {
		name   string
		report flowagent.Report
		kind   errkind.Kind
	}{
		{"the next one", change(func(r *flowagent.Report) { r.Sequence = 4 }), ""},
		{"the same again", first, errkind.Stale},
		{"a late one", change(func(r *flowagent.Report) { r.Sequence = 2 }), errkind.Stale},
		{"one of an earlier start, counting higher", change(func(r *flowagent.Report) { r.StartMillis, r.Sequence = 900, 50 }), errkind.Stale},
		{"one of a later start, counting anew", change(func(r *flowagent.Report) { r.StartMillis, r.Sequence = 1100, 1 }), ""},
		{"one of a start before, after a clock was set back", change(func(r *flowagent.Report) { r.StartMillis, r.Sequence = 900, 1 }), errkind.Stale},
		{"one of another service", change(func(r *flowagent.Report) { r.Service, r.Sequence = "beta", 9 }), errkind.Invalid},
		{"one of another address", change(func(r *flowagent.Report) { r.Addr, r.Sequence = netip.MustParseAddrPort("10.0.0.2:80"), 9 }), errkind.Invalid},
		{"one of another port", change(func(r *flowagent.Report) { r.Addr, r.Sequence = netip.MustParseAddrPort("10.0.0.1:81"), 9 }), errkind.Invalid},
		{"one without an address, of a later start", change(func(r *flowagent.Report) { r.Addr, r.StartMillis = netip.AddrPort{}, 1100 }), errkind.Invalid},
		{"one of another data centre", change(func(r *flowagent.Report) { r.DataCentre, r.Sequence = "bodrum", 9 }), errkind.Invalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reports := flowagent.NewReportTracker(alphaBackend)
			_, err := reports.Apply(at, first)
			is.NoErr(err)
			_, err = reports.Apply(at, test.report)
			is.Equal(errkind.Of(err), test.kind)
		})
	}
}

// Guards against reports of other programs with numbers that no backend server can have: one with a large sequence
// number would make all later reports of the backend server look late, for as long as the backend server runs.
func TestReportsWithNumbersOutOfRange(t *testing.T) {
	at := time.Unix(2_000_000_000, 0)
	start := at.Add(-time.Minute).UnixMilli()
	first := flowagent.Report{Identity: alphaBackend, ID: "a", State: fleet.BackendReady, StartMillis: start, Slots: 5, Sequence: 50}
	tests := []struct {
		name   string
		change func(*flowagent.Report)
	}{
		{"a sequence number far ahead", func(r *flowagent.Report) { r.Sequence = 1 << 31 }},
		{"the largest sequence number", func(r *flowagent.Report) { r.Sequence = math.MaxInt64 }},
		{"a sequence number far ahead, of a later start", func(r *flowagent.Report) { r.Sequence, r.StartMillis = 1<<31, start+1 }},
		{"a negative sequence number, of a later start", func(r *flowagent.Report) { r.Sequence, r.StartMillis = -1, start+1 }},
		{"a start far in the future", func(r *flowagent.Report) { r.Sequence, r.StartMillis = 51, at.Add(48*time.Hour).UnixMilli() }},
		{"the largest start", func(r *flowagent.Report) { r.Sequence, r.StartMillis = 51, math.MaxInt64 }},
		{"no start", func(r *flowagent.Report) { r.Sequence, r.StartMillis = 51, 0 }},
		{"a warm-up of a month", func(r *flowagent.Report) { r.Sequence, r.WarmupLeft = 51, 30*24*time.Hour }},
		{"a negative warm-up", func(r *flowagent.Report) { r.Sequence, r.WarmupLeft = 51, -time.Second }},
		{"no slots", func(r *flowagent.Report) { r.Sequence, r.Slots = 51, 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reports := flowagent.NewReportTracker(alphaBackend)
			before, err := reports.Apply(at, first)
			is.NoErr(err)
			foreign := first
			test.change(&foreign)
			after, err := reports.Apply(at.Add(time.Second), foreign)
			is.True(errkind.Is(err, errkind.Invalid))
			is.Equal(after, before)
			next := first
			next.Sequence, next.State = 51, fleet.BackendDraining
			b, err := reports.Apply(at.Add(time.Second), next)
			is.NoErr(err) // the backend server's own reports still count
			is.Equal(b.State, fleet.BackendDraining)
		})
	}
}

// Sequence numbers that an agent has missed while it was frozen, cut off or not yet running are in range.
func TestReportsAfterMissedOnes(t *testing.T) {
	is := is.New(t)
	at := time.Unix(2_000_000_000, 0)
	reports := flowagent.NewReportTracker(alphaBackend)
	report := flowagent.Report{Identity: alphaBackend, ID: "a", State: fleet.BackendReady, StartMillis: at.Add(-24 * time.Hour).UnixMilli(), Slots: 5, Sequence: 400_000}
	_, err := reports.Apply(at, report)
	is.NoErr(err)
	report.Sequence += 900
	_, err = reports.Apply(at.Add(time.Second), report)
	is.NoErr(err)
	report.StartMillis, report.Sequence = at.Add(time.Hour).UnixMilli(), 1
	_, err = reports.Apply(at.Add(2*time.Second), report)
	is.NoErr(err) // the clock was set back after the start of the backend server
}

func TestReportsAfterAClockWasSetBack(t *testing.T) {
	is := is.New(t)
	at := time.Unix(2_000_000_000, 0)
	reports := flowagent.NewReportTracker(alphaBackend)
	report := flowagent.Report{Identity: alphaBackend, ID: "a", State: fleet.BackendReady, StartMillis: 1000, Slots: 5, Sequence: 30}
	_, err := reports.Apply(at, report)
	is.NoErr(err)
	is.True(!reports.SawFirstReport())
	report.StartMillis, report.Sequence = 500, 1
	_, err = reports.Apply(at.Add(time.Second), report)
	is.True(errkind.Is(err, errkind.Stale)) // the report looks like a late one
	report.Sequence = 5
	_, err = reports.Apply(at.Add(4*time.Second), report)
	is.NoErr(err) // no report of the later start time has come for a while
}

// After a loss of power a backend server's first reports fail until its agent runs. If the first report that
// arrives were taken for a report of an older incarnation, every lost flow would be searched for at every
// backend server for FlowLifetime.
func TestFirstReportOfAnIncarnation(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration
		sequence int64
		want     bool
	}{
		{"the first one", time.Second, 1, true},
		{"the third one, soon after the start", 90 * time.Millisecond, 3, true},
		{"the third one, a reporting period later", 1300 * time.Millisecond, 3, false},
		{"one of an older incarnation", time.Hour, 3000, false},
		{"one from the future", -90 * time.Millisecond, 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			at := time.Unix(2_000_000_000, 0)
			reports := flowagent.NewReportTracker(alphaBackend)
			_, err := reports.Apply(at, flowagent.Report{
				Identity: alphaBackend, ID: "a", State: fleet.BackendReady, StartMillis: at.Add(-test.age).UnixMilli(), Slots: 5, Sequence: test.sequence,
			})
			is.NoErr(err)
			is.Equal(reports.SawFirstReport(), test.want)
		})
	}
}

func TestLeavingBackendIsGoneAfterTheLeaveDelay(t *testing.T) {
	is := is.New(t)
	at := time.Unix(2_000_000_000, 0)
	reports := flowagent.NewReportTracker(alphaBackend)
	_, err := reports.Apply(at, flowagent.Report{Identity: alphaBackend, ID: "a", State: fleet.BackendDraining, StartMillis: 1, Slots: 5, Sequence: 1})
	is.NoErr(err)
	b, err := reports.Leave(at, flowagent.Leave{ID: "b"}) // the leave message of another backend server
	is.True(errkind.Is(err, errkind.Stale))
	is.Equal(b.State, fleet.BackendDraining)
	_, changed := reports.Tick(at.Add(time.Hour))
	is.True(!changed)
	b, err = reports.Leave(at, flowagent.Leave{ID: "a"})
	is.NoErr(err)
	is.Equal(b.State, fleet.BackendDraining)
	b, _ = reports.Tick(at.Add(100 * time.Millisecond))
	is.Equal(b.State, fleet.BackendDraining)
	b, _ = reports.Tick(at.Add(time.Second))
	is.Equal(b.State, fleet.BackendGone)
}

// Guards against review case 5: a leave message of an earlier incarnation with the same ID, which arrived late, ended the
// current one, and its open flows were reset.
func TestLeaveMessagesOfIncarnations(t *testing.T) {
	at := time.Unix(2_000_000_000, 0)
	current := at.Add(-10 * time.Second).UnixMilli()
	tests := []struct {
		name  string
		state fleet.BackendState
		leave flowagent.Leave
		goes  bool
	}{
		{"the current one, draining", fleet.BackendDraining, flowagent.Leave{ID: "a", StartMillis: current}, true},
		{"the current one, ready", fleet.BackendReady, flowagent.Leave{ID: "a", StartMillis: current}, true},
		{"an earlier one", fleet.BackendReady, flowagent.Leave{ID: "a", StartMillis: current - 5000}, false},
		{"an earlier one, while the current one drains", fleet.BackendDraining, flowagent.Leave{ID: "a", StartMillis: current - 5000}, false},
		{"a later one", fleet.BackendReady, flowagent.Leave{ID: "a", StartMillis: current + 5000}, false},
		{"one that is not stated, draining", fleet.BackendDraining, flowagent.Leave{ID: "a"}, true},
		{"one that is not stated, ready", fleet.BackendReady, flowagent.Leave{ID: "a"}, false},
		{"one of another ID", fleet.BackendDraining, flowagent.Leave{ID: "b", StartMillis: current}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reports := flowagent.NewReportTracker(alphaBackend)
			_, err := reports.Apply(at, flowagent.Report{Identity: alphaBackend, ID: "a", State: test.state, StartMillis: current, Slots: 5, Sequence: 8})
			is.NoErr(err)
			_, err = reports.Leave(at, test.leave)
			is.Equal(errkind.Is(err, errkind.Stale), !test.goes)
			b, _ := reports.Tick(at.Add(time.Second))
			is.Equal(b.State == fleet.BackendGone, test.goes)
			if !test.goes {
				is.Equal(b.State, test.state)
			}
		})
	}
}

// Before its first report, the incarnation beside the agent is unknown, so no leave message can be of it.
func TestLeaveMessageBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	reports := flowagent.NewReportTracker(alphaBackend)
	for _, leave := range []flowagent.Leave{{}, {ID: "a"}, {ID: "a", StartMillis: 5}} {
		_, err := reports.Leave(time.Unix(2_000_000_000, 0), leave)
		is.True(errkind.Is(err, errkind.Stale))
	}
}
