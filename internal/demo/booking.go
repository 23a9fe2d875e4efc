package demo

import (
	"fmt"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// maxBookingSends bounds the requests of one booking, repeats included.
	maxBookingSends = 8
	// bookingPause is the least wait before a booking is sent again.
	bookingPause = 250 * time.Millisecond
)

// attempt is one name under which a booking was sent. A booking that was not run
// is sent again under another name and key, so that a run of the first is noticed.
type attempt struct {
	name string
	// last is the last answer to it.
	last caller.Verdict
	// doubtful reports that some answer left open whether it ran.
	doubtful bool
}

// booking decides how a caller repeats a booking safely. It is pure: the driver
// sends what it says and hands it the answers.
type booking struct {
	id       string
	attempts []attempt
	key      string
	sends    int
}

// bookingStep is what the caller of a booking does next.
type bookingStep struct {
	done bool
	wait time.Duration
	name string
	key  string
}

// newBooking returns a booking and its first step. The key is one at hand, or empty.
func newBooking(id, key string) (*booking, bookingStep) {
	b := &booking{id: id, key: key}
	return b, b.anew(0)
}

// anew sends the booking under another name.
func (b *booking) anew(wait time.Duration) bookingStep {
	if b.sends == maxBookingSends {
		return bookingStep{done: true}
	}
	b.attempts = append(b.attempts, attempt{name: fmt.Sprintf("%s.%d", b.id, len(b.attempts)+1)})
	return b.again(wait)
}

// again sends the booking under the same name and key.
func (b *booking) again(wait time.Duration) bookingStep {
	if b.sends == maxBookingSends {
		return bookingStep{done: true}
	}
	b.sends++
	return bookingStep{wait: wait, name: b.current().name, key: b.key}
}

func (b *booking) current() *attempt { return &b.attempts[len(b.attempts)-1] }

// answer takes the answer to the last request and returns the next step. Only
// an answer that says "not run" allows a fresh key; every other repeat keeps
// the key, so that the system runs the booking at most once.
func (b *booking) answer(a caller.Answer) bookingStep {
	b.current().last = a.Verdict
	wait := max(a.RetryAfter, bookingPause)
	switch a.Verdict {
	case caller.Answered, caller.Wrong, caller.Failed:
		return bookingStep{done: true}
	case caller.KeyNeeded:
		b.key = a.Key
		return b.anew(0)
	case caller.NotRun:
		b.key = a.Key
		return b.anew(wait)
	case caller.NotSent:
		return b.again(wait)
	default:
		b.current().doubtful = true
		if b.key == "" {
			return bookingStep{done: true}
		}
		return b.again(wait)
	}
}

// bookingCheck compares what callers were told with the ledgers.
type bookingCheck struct {
	made, confirmed int
	// repeated counts bookings that were repeated after an answer that left
	// their outcome open.
	repeated int
	// twice, notRunThatRan and confirmedWithoutRun name bookings that ran more
	// than once, ran although the caller was told "not run", and were confirmed
	// without a run.
	twice, notRunThatRan, confirmedWithoutRun []string
	// elsewhere names those that ran at a backend server of another service.
	elsewhere []string
}

// ledger holds the names of the backend servers that ran each booking, once
// for each run.
type ledger map[string][]string

// checkBookings compares the attempts of each booking with the ledgers. The
// servers are those of the service that was asked.
func checkBookings(bookings [][]attempt, runs ledger, servers []string) bookingCheck {
	check := bookingCheck{made: len(bookings)}
	for _, attempts := range bookings {
		check.add(attempts, runs, servers)
	}
	return check
}

func (c *bookingCheck) add(attempts []attempt, runs ledger, servers []string) {
	total, doubtful := 0, false
	for _, a := range attempts {
		total += len(runs[a.name])
		doubtful = doubtful || a.doubtful
		saidNotRun := a.last == caller.NotRun || a.last == caller.KeyNeeded
		if saidNotRun && len(runs[a.name]) > 0 {
			c.notRunThatRan = append(c.notRunThatRan, a.name)
		}
		for _, server := range runs[a.name] {
			if !slices.Contains(servers, server) {
				c.elsewhere = append(c.elsewhere, a.name)
			}
		}
	}
	last := attempts[len(attempts)-1]
	if last.last == caller.Answered {
		c.confirmed++
		if len(runs[last.name]) == 0 {
			c.confirmedWithoutRun = append(c.confirmedWithoutRun, last.name)
		}
	}
	if total > 1 {
		c.twice = append(c.twice, last.name)
	}
	if doubtful {
		c.repeated++
	}
}
