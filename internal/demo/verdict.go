package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// ticketBound is the time in which an accepted ticket must be active at all processes.
	ticketBound = 5 * time.Second
	// drainGrace is the time after which a draining backend server must receive no new requests.
	drainGrace = 3 * time.Second
	// maxSamples bounds the samples of failures in one line.
	maxSamples = 5
)

// violations returns one line for each broken promise. A planned kind of request
// without any answer counts as a broken promise, since the run proves nothing
// about requests of that kind.
func (r *result) violations() []string {
	var lines []string
	for _, s := range r.services {
		lines = append(lines, s.violations()...)
	}
	for _, t := range r.tickets {
		if len(t.lagging) > 0 || t.after > ticketBound {
			lines = append(lines, fmt.Sprintf("ticket (%s) was not in force everywhere within %v%s", t.what, ticketBound, sampleList(t.lagging)))
		}
	}
	if len(r.tickets) < plannedTickets {
		lines = append(lines, fmt.Sprintf("%d of %d tickets were accepted", len(r.tickets), plannedTickets))
	}
	if len(r.reverts) > 0 {
		lines = append(lines, "the configuration in force went back to an older one"+sampleList(r.reverts))
	}
	if r.lateRequests > 0 {
		lines = append(lines, fmt.Sprintf("%s got %d requests later than %v after its drain", r.drained, r.lateRequests, drainGrace))
	}
	if !r.agentLeft {
		lines = append(lines, "the graceful stop of an agent did not end in time")
	}
	return append(lines, r.problems...)
}

// violations returns one line for each broken promise to the callers of the
// service. None of the demo's events may cause an unknown outcome, so an unknown
// outcome counts as a broken promise as well.
func (s *serviceResult) violations() []string {
	checks := []struct {
		count int
		what  string
	}{
		{s.flowsBroken, "flows were broken"},
		{s.cut(), "requests were cut"},
		{s.count(caller.Wrong), "answers were not whole or not the caller's own"},
		{s.wrongService, "requests reached the wrong service"},
		{s.unserved(), "requests were not served in the end"},
		{s.count(caller.Unknown), "requests ended with an unknown outcome"},
		{len(s.bookings.twice), "bookings ran more than once" + sampleList(s.bookings.twice)},
		{len(s.bookings.notRunThatRan), "bookings ran that were said not to" + sampleList(s.bookings.notRunThatRan)},
		{len(s.bookings.confirmedWithoutRun), "bookings were confirmed that did not run" + sampleList(s.bookings.confirmedWithoutRun)},
	}
	var lines []string
	for _, c := range checks {
		if c.count > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d %s", s.name, c.count, c.what))
		}
	}
	for _, c := range s.planned {
		if got := s.classes[c]; got == nil || got.verdicts[caller.Answered] == 0 {
			lines = append(lines, fmt.Sprintf("%s: no %s request was answered", s.name, c))
		}
	}
	return lines
}

// sampleList returns up to maxSamples samples after a separator, or an empty string.
func sampleList(samples []string) string {
	if len(samples) == 0 {
		return ""
	}
	return ": " + strings.Join(samples[:min(len(samples), maxSamples)], "; ")
}

// drainSpan is the period of the drain of a backend server, in windows of a
// second from the start of traffic.
type drainSpan struct {
	server string
	// from is the first window of the drain, until is the first window after the
	// drain.
	from, until int
}

// imbalance returns the median and the maximum over all windows of the ratio of
// the busiest server's answers to the mean. It leaves out the windows in which a
// server is being drained, and the last window, which is incomplete. In later
// windows it leaves out the drained server.
func imbalance(windows []map[string]int, servers []string, drain drainSpan) (median, most float64) {
	var ratios []float64
	for i := 0; i+1 < len(windows); i++ {
		if i >= drain.from && i < drain.until {
			continue
		}
		present := make([]int, 0, len(servers))
		for _, name := range servers {
			if name != drain.server || i < drain.from {
				present = append(present, windows[i][name])
			}
		}
		if ratio := maxOverMean(present); ratio > 0 {
			ratios = append(ratios, ratio)
		}
	}
	return percentile(ratios, 50), percentile(ratios, 100)
}
