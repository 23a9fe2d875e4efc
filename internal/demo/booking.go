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
	// bookingPause is the shortest wait before a booking is sent again.
	bookingPause = 250 * time.Millisecond
)

// attempt holds the outcome of sending a booking under one name. A booking that
// was answered "not run" is sent again under another name and key, so that the
// ledgers show whether the first attempt ran nevertheless.
type attempt struct {
	name string
	// last is the verdict on the last answer.
	last caller.Verdict
	// inconclusive reports that an answer did not say whether the booking ran.
	inconclusive bool
}

// booking decides how a caller repeats a booking safely. It does no I/O: the driver
// sends what each step says and passes the answer to method answer.
type booking struct {
	id       string
	attempts []attempt
	key      string
	sends    int
}

// bookingStep is the next step of a booking: to send the booking under a name and
// a key after a wait, or to stop if done is set.
type bookingStep struct {
	done bool
	wait time.Duration
	name string
	key  string
}

// newBooking returns a booking and its first step. key is an unused idempotency key, or empty.
func newBooking(id, key string) (*booking, bookingStep) {
	b := &booking{id: id, key: key}
	return b, b.sendRenamed(0)
}

// sendRenamed sends the booking under a new name.
func (b *booking) sendRenamed(wait time.Duration) bookingStep {
	if b.sends == maxBookingSends {
		return bookingStep{done: true}
	}
	b.attempts = append(b.attempts, attempt{name: fmt.Sprintf("%s.%d", b.id, len(b.attempts)+1)})
	return b.resend(wait)
}

// resend sends the booking under the same name and key.
func (b *booking) resend(wait time.Duration) bookingStep {
	if b.sends == maxBookingSends {
		return bookingStep{done: true}
	}
	b.sends++
	return bookingStep{wait: wait, name: b.current().name, key: b.key}
}

func (b *booking) current() *attempt { return &b.attempts[len(b.attempts)-1] }

// answer processes the answer to the last request and returns the next step. Only an
// answer that says "not run" allows a fresh key; every other repeat keeps the key, so
// that the system runs the booking at most once.
func (b *booking) answer(a caller.Answer) bookingStep {
	b.current().last = a.Verdict
	wait := max(a.RetryAfter, bookingPause)
	switch a.Verdict {
	case caller.Answered, caller.Wrong, caller.Failed:
		return bookingStep{done: true}
	case caller.KeyNeeded:
		b.key = a.Key
		return b.sendRenamed(0)
	case caller.NotRun:
		b.key = a.Key
		return b.sendRenamed(wait)
	case caller.NotSent:
		return b.resend(wait)
	default:
		b.current().inconclusive = true
		if b.key == "" {
			return bookingStep{done: true}
		}
		return b.resend(wait)
	}
}

// bookingCheck is the result of comparing the answers to bookings with the ledgers.
type bookingCheck struct {
	made, confirmed int
	// repeated counts bookings that were repeated after an inconclusive answer.
	repeated int
	// twice, notRunThatRan and confirmedWithoutRun name bookings that ran more than
	// once, that ran although the answer said "not run", and that were confirmed
	// without a run.
	twice, notRunThatRan, confirmedWithoutRun []string
	// elsewhere names bookings that ran at a backend server of another service.
	elsewhere []string
}

// ledger lists, by the name of a booking, the backend server of each of its runs.
type ledger map[string][]string

// checkBookings compares the attempts of each booking with the ledgers. servers are
// the backend servers of the service that callers sent the bookings to.
func checkBookings(bookings [][]attempt, runs ledger, servers []string) bookingCheck {
	check := bookingCheck{made: len(bookings)}
	for _, attempts := range bookings {
		check.add(attempts, runs, servers)
	}
	return check
}

func (c *bookingCheck) add(attempts []attempt, runs ledger, servers []string) {
	total, inconclusive := 0, false
	for _, a := range attempts {
		total += len(runs[a.name])
		inconclusive = inconclusive || a.inconclusive
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
	if inconclusive {
		c.repeated++
	}
}
