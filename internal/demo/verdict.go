package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// ticketBound is the time in which an accepted ticket must be in force everywhere.
	ticketBound = 5 * time.Second
	// drainGrace is the time after which a draining backend server must get no new work.
	drainGrace = 3 * time.Second
	// maxSamples bounds the samples of failures in a line.
	maxSamples = 5
)

// broken returns one line for each promise that the result breaks. A result
// without traffic proves nothing and counts as broken.
func (r *result) broken() []string {
	var lines []string
	for _, s := range r.services {
		lines = append(lines, s.broken()...)
	}
	for _, t := range r.tickets {
		if len(t.lagging) > 0 || t.after > ticketBound {
			lines = append(lines, fmt.Sprintf("ticket (%s) was not in force everywhere within %v%s", t.what, ticketBound, list(t.lagging)))
		}
	}
	if len(r.tickets) < plannedTickets {
		lines = append(lines, fmt.Sprintf("%d of %d tickets were accepted", len(r.tickets), plannedTickets))
	}
	if len(r.reverts) > 0 {
		lines = append(lines, "the configuration in force went back to an older one"+list(r.reverts))
	}
	if r.lateWork > 0 {
		lines = append(lines, fmt.Sprintf("%s got %d requests later than %v after its drain", r.drained, r.lateWork, drainGrace))
	}
	if !r.left {
		lines = append(lines, "the graceful stop of an agent did not end in time")
	}
	return append(lines, r.problems...)
}

// broken returns one line for each promise that was broken towards the callers
// of the service. Nothing that the demo does excuses an unknown outcome.
func (s *serviceResult) broken() []string {
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
		{len(s.bookings.twice), "bookings ran more than once" + list(s.bookings.twice)},
		{len(s.bookings.notRunThatRan), "bookings ran that were said not to" + list(s.bookings.notRunThatRan)},
		{len(s.bookings.confirmedWithoutRun), "bookings were confirmed that did not run" + list(s.bookings.confirmedWithoutRun)},
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

// list returns some samples in words, with a leading separator.
func list(samples []string) string {
	if len(samples) == 0 {
		return ""
	}
	return ": " + strings.Join(samples[:min(len(samples), maxSamples)], "; ")
}

// change is when a backend server stopped taking work, in seconds of the run.
type change struct {
	server string
	// from is the first window with a change under way, settled the first after it.
	from, settled int
}

// imbalance returns the busiest server's answers over the mean, as the median
// and the most of all windows of a second. Windows in which a server is being
// drained, and the last one, which is cut short, are left out.
func imbalance(windows []map[string]int, servers []string, drain change) (median, most float64) {
	var ratios []float64
	for i := 0; i+1 < len(windows); i++ {
		if i >= drain.from && i < drain.settled {
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
