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

// classResult holds the results of the requests of one kind.
type classResult struct {
	// verdicts counts requests by the verdict on their last answer.
	verdicts map[caller.Verdict]int
	latency  *hdrhistogram.Histogram
	// undisturbed is the latency of requests that ended before a balancer was
	// killed or began later than killEffect after the kill.
	undisturbed *hdrhistogram.Histogram
}

// serviceResult holds the results of the callers of one service.
type serviceResult struct {
	name string
	// planned lists the kinds of request that the demo sends to the service.
	planned []class
	classes map[class]*classResult
	// flowsOpened counts connections, flowsMoved the connections that a planned
	// stop ended with GOAWAY, and flowsBroken the connections that were not
	// closed gracefully.
	flowsOpened, flowsMoved, flowsBroken int
	// wrongService counts answers by a backend server of another service.
	wrongService int
	// notRun counts answers that said "not run"; the request was then sent again.
	notRun int
	// windows count the answers of each backend server, one window for each second.
	windows []map[string]int
	// bookings is the comparison of answers to bookings with the ledgers.
	bookings bookingCheck
	// samples describe some of the failures.
	samples []string
}

// count returns the number of requests whose verdict is one of verdicts.
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

// cut counts requests that were sent but got no complete answer.
func (s *serviceResult) cut() int { return s.count(caller.Cut, caller.TimedOut) }

// unserved counts requests that the service had not served after the last attempt.
func (s *serviceResult) unserved() int {
	return s.count(caller.NotSent, caller.NotRun, caller.KeyNeeded, caller.InProgress, caller.Failed)
}

// ticketResult is the result of a change ticket.
type ticketResult struct {
	what string
	// processes is the number of processes that the ticket had to reach.
	processes int
	// lagging names the processes at which the ticket was not active in time.
	lagging []string
	// after is the time from the submission of the ticket until it was active at
	// all processes.
	after time.Duration
}

// describe returns how many processes the ticket reached and in which time.
func (t ticketResult) describe() string {
	after := t.after.Round(time.Millisecond)
	if len(t.lagging) > 0 {
		return fmt.Sprintf("not in force at %d of %d processes after %v", len(t.lagging), t.processes, after)
	}
	return fmt.Sprintf("in force at all %d processes after %v", t.processes, after)
}

// result holds the results of a run.
type result struct {
	services []*serviceResult
	tickets  []ticketResult
	// reverts describes the processes that returned to an older configuration.
	reverts []string
	// drained is the backend server that was taken out of service, lateRequests the
	// number of requests that it received later than drainGrace after its drain was
	// submitted.
	drained      string
	lateRequests uint64
	// agentLeft reports that the graceful stop of the drained backend server's
	// agent ended in time.
	agentLeft bool
	// problems are failures of the demo's own steps.
	problems []string
}
