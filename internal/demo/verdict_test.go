package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// passingResult returns a result without violations.
func passingResult() *result {
	s := &serviceResult{name: bookingService, planned: []class{classDesk}, classes: map[class]*classResult{
		classDesk: {verdicts: map[caller.Verdict]int{caller.Answered: 10}},
	}}
	return &result{
		services:  []*serviceResult{s},
		tickets:   make([]ticketResult, plannedTickets),
		drained:   "rezervasyon-2",
		agentLeft: true,
	}
}

func TestViolations(t *testing.T) {
	desk := func(v caller.Verdict) func(*result) {
		return func(r *result) { r.services[0].classes[classDesk].verdicts[v] = 1 }
	}
	booked := func(change func(*bookingCheck)) func(*result) {
		return func(r *result) { change(&r.services[0].bookings) }
	}
	names := []string{"b.1"}
	tests := []struct {
		name   string
		change func(*result)
		want   string // empty means nothing broken
	}{
		{"whole", func(*result) {}, ""},
		{"moved flows are no break", func(r *result) { r.services[0].flowsMoved = 3 }, ""},
		{"told not run and served later", func(r *result) { r.services[0].notRun = 3 }, ""},
		{"broken flow", func(r *result) { r.services[0].flowsBroken = 1 }, "flows were broken"},
		{"cut", desk(caller.Cut), "requests were cut"},
		{"timed out", desk(caller.TimedOut), "requests were cut"},
		{"wrong answer", desk(caller.Wrong), "not whole"},
		{"wrong service", func(r *result) { r.services[0].wrongService = 1 }, "wrong service"},
		{"never sent", desk(caller.NotSent), "not served"},
		{"not run in the end", desk(caller.NotRun), "not served"},
		{"failed", desk(caller.Failed), "not served"},
		{"in progress in the end", desk(caller.InProgress), "not served"},
		{"unknown outcome", desk(caller.Unknown), "unknown outcome"},
		{"booked twice", booked(func(c *bookingCheck) { c.twice = names }), "more than once: b.1"},
		{"not run that ran", booked(func(c *bookingCheck) { c.notRunThatRan = names }), "said not to: b.1"},
		{"confirmed without run", booked(func(c *bookingCheck) { c.confirmedWithoutRun = names }), "did not run: b.1"},
		{"no traffic", func(r *result) { r.services[0].classes = nil }, "no desk request was answered"},
		{"slow ticket", func(r *result) { r.tickets[0].after = ticketBound + time.Millisecond }, "not in force everywhere"},
		{"lagging process", func(r *result) { r.tickets[0].lagging = []string{"balancer-1"} }, "not in force everywhere within 5s: balancer-1"},
		{"ticket missing", func(r *result) { r.tickets = r.tickets[1:] }, "2 of 3 tickets"},
		{"revert", func(r *result) { r.reverts = []string{"balancer-1"} }, "went back"},
		{"late work", func(r *result) { r.lateRequests = 1 }, "rezervasyon-2 got 1 requests"},
		{"agent did not leave", func(r *result) { r.agentLeft = false }, "graceful stop"},
		{"problem", func(r *result) { r.problems = []string{"the fabric failed"} }, "the fabric failed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := passingResult()
			test.change(r)
			lines := r.violations()
			if test.want == "" {
				is.Equal(len(lines), 0)
				return
			}
			is.Equal(len(lines), 1)
			is.True(strings.Contains(lines[0], test.want)) // the line names what broke
		})
	}
}

func TestImbalance(t *testing.T) {
	servers := []string{"a", "b", "c"}
	even := map[string]int{"a": 10, "b": 10, "c": 10}
	skewed := map[string]int{"a": 20, "b": 10, "c": 0}
	drained := map[string]int{"a": 15, "b": 15}
	tests := []struct {
		name         string
		windows      []map[string]int
		drain        drainSpan
		median, most float64
	}{
		{"no windows", nil, drainSpan{}, 0, 0},
		{"the last window is cut short", []map[string]int{even, skewed}, drainSpan{}, 1, 1},
		{"a server without answers counts", []map[string]int{even, skewed, even, even}, drainSpan{}, 1, 2},
		{"a drained server is not missed", []map[string]int{even, skewed, drained, even}, drainSpan{server: "c", from: 1, until: 2}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			median, most := imbalance(test.windows, servers, test.drain)
			is.Equal(median, test.median)
			is.Equal(most, test.most)
		})
	}
}

func TestRevisions(t *testing.T) {
	is := is.New(t)
	revision := int64(5)
	running := &task{name: "balancer-1", done: make(chan struct{})}
	stopped := &task{name: "balancer-2", done: make(chan struct{})}
	stopped.stopRequested.Store(true)
	r := newRevisions([]observedProcess{
		{task: running, revision: func() int64 { return revision }},
		{task: stopped, revision: func() int64 { return 0 }},
	})
	r.poll()
	processes, lagging := r.lagging(5)
	is.Equal(processes, 1) // a stopped process is left out
	is.Equal(len(lagging), 0)
	_, lagging = r.lagging(6)
	is.Equal(lagging, []string{"balancer-1"})
	is.Equal(len(r.reverted()), 0)
	revision = 4
	r.poll()
	is.Equal(r.reverted(), []string{"balancer-1 from revision 5 to 4"})
}
