package demo

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// class is a kind of request.
type class string

// Kinds of request.
const (
	classDesk    class = "desk"
	classFeed    class = "feed"
	classSheet   class = "sheet"
	classBooking class = "booking"
)

// classes lists the kinds of request in the order of the report.
var classes = []class{classDesk, classFeed, classSheet, classBooking}

// classResult is what the requests of one kind came to.
type classResult struct {
	// verdicts counts requests by their last answer.
	verdicts map[caller.Verdict]int
	latency  *hdrhistogram.Histogram
	// calm is the latency of requests that ended before the kill of a balancer
	// or began later than disturbance after it.
	calm *hdrhistogram.Histogram
}

// serviceResult is what the callers of one service got.
type serviceResult struct {
	name string
	// planned lists the kinds of request that the demo sends to the service.
	planned []class
	classes map[class]*classResult
	// flowsOpened counts connections, flowsMoved those that a planned stop ended
	// with GOAWAY, and flowsBroken those that ended without a graceful reason.
	flowsOpened, flowsMoved, flowsBroken int
	// wrongService counts answers by a backend server of another service.
	wrongService int
	// notRun counts answers that said "not run"; the request was then sent again.
	notRun int
	// windows are the answers of each backend server in each second.
	windows []map[string]int
	// bookings compares what callers were told with the ledgers.
	bookings bookingCheck
	// samples describe some of the failures.
	samples []string
}

// count returns the number of requests with one of the verdicts.
func (s *serviceResult) count(verdicts ...caller.Verdict) int {
	total := 0
	for _, c := range s.classes {
		for _, v := range verdicts {
			total += c.verdicts[v]
		}
	}
	return total
}

func (s *serviceResult) requests() int { return s.count(caller.Verdicts...) }

// cut counts requests without a whole answer.
func (s *serviceResult) cut() int { return s.count(caller.Cut, caller.TimedOut) }

// unserved counts requests that got no answer of the service in the end.
func (s *serviceResult) unserved() int {
	return s.count(caller.NotSent, caller.NotRun, caller.KeyNeeded, caller.InProgress, caller.Failed)
}

// ticketResult is how long a change ticket took.
type ticketResult struct {
	what string
	// processes is the number of processes that the ticket had to reach.
	processes int
	// lagging names those that did not have it in force in time.
	lagging []string
	// after is the time from its submission until it was in force at all of them.
	after time.Duration
}

// spread says how far the ticket came.
func (t ticketResult) spread() string {
	after := t.after.Round(time.Millisecond)
	if len(t.lagging) > 0 {
		return fmt.Sprintf("not in force at %d of %d processes after %v", len(t.lagging), t.processes, after)
	}
	return fmt.Sprintf("in force at all %d processes after %v", t.processes, after)
}

// result is all that the demo found out.
type result struct {
	services []*serviceResult
	tickets  []ticketResult
	// reverts names processes that went back to an older configuration.
	reverts []string
	// drained is the backend server that was taken out of service, lateWork the
	// requests that it got later than drainGrace after its ticket was accepted.
	drained  string
	lateWork uint64
	// left reports that its agent ended its graceful stop.
	left bool
	// problems are failures of the demo's own steps.
	problems []string
}
