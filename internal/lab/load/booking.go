package load

import (
	"fmt"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// maxBookingSends bounds the requests of one booking, including repeats.
	maxBookingSends = 12
	// maxUnknownRepeats bounds how often a booking with an unknown outcome is repeated with
	// the same key.
	maxUnknownRepeats  = 3
	bookingRepeatDelay = 500 * time.Millisecond
)

// Outcome is the outcome of a booking as reported to its caller.
type Outcome string

// Outcomes of a booking.
const (
	// Confirmed means that the service reported success, even if its answer was wrong.
	Confirmed Outcome = "confirmed"
	// ReportedNotRun means that the response reported that the booking was not run.
	ReportedNotRun Outcome = "not-run"
	// OutcomeUnknown means that the caller does not know whether the booking ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the service answered with an error.
	OutcomeFailed Outcome = "failed"
	// NeverSent means that every request for the booking got the verdict caller.NotSent.
	NeverSent Outcome = "never-sent"
)

// Attempt is a booking sent under one name. If a response reports that the booking was not
// run, the caller sends it again under another name and key, so that the ledgers show
// whether the first attempt ran after all.
type Attempt struct {
	// Name identifies the attempt in the ledgers of the backend servers.
	Name string `json:"name"`
	// Outcome is the outcome as reported to the caller.
	Outcome Outcome `json:"outcome"`
}

// bookingStep is the caller's next action for a booking.
type bookingStep struct {
	done    bool
	wait    time.Duration
	attempt string
	key     string
}

// booking decides how a caller repeats a booking safely. It does no I/O: targetRun.book
// sends the requests and passes the answers to handleAnswer.
type booking struct {
	id       string
	attempts []Attempt
	key      string
	sends    int
	unknowns int
}

// newBooking returns a booking and its first step. key is an idempotency key or empty.
func newBooking(id, key string) (*booking, bookingStep) {
	b := &booking{id: id, key: key}
	b.beginAttempt()
	return b, b.send(0)
}

// beginAttempt adds an attempt under a new name.
func (b *booking) beginAttempt() {
	name := fmt.Sprintf("%s.%d", b.id, len(b.attempts)+1)
	b.attempts = append(b.attempts, Attempt{Name: name, Outcome: NeverSent})
	b.unknowns = 0
}

func (b *booking) currentAttempt() *Attempt { return &b.attempts[len(b.attempts)-1] }

// send returns the step that sends the current attempt after a wait, or ends the
// booking after maxBookingSends requests.
func (b *booking) send(wait time.Duration) bookingStep {
	if b.sends >= maxBookingSends {
		return bookingStep{done: true}
	}
	b.sends++
	return bookingStep{wait: wait, attempt: b.currentAttempt().Name, key: b.key}
}

func (b *booking) finish(o Outcome) bookingStep {
	b.currentAttempt().Outcome = o
	return bookingStep{done: true}
}

// handleAnswer processes the answer to the last request and returns the next step.
func (b *booking) handleAnswer(a caller.Answer) bookingStep {
	if a.Verdict != caller.NotSent {
		b.currentAttempt().Outcome = OutcomeUnknown
	}
	switch a.Verdict {
	case caller.Answered, caller.Wrong:
		return b.finish(Confirmed)
	case caller.Failed:
		return b.finish(OutcomeFailed)
	case caller.NotSent:
		return b.send(bookingRepeatDelay)
	case caller.KeyNeeded:
		return b.repeatWithKey(a)
	case caller.NotRun:
		return b.repeatUnderNewName(a)
	case caller.InProgress:
		return b.send(max(a.RetryAfter, bookingRepeatDelay))
	default:
		return b.repeatUnknown(a)
	}
}

// repeatWithKey sends the booking again with the key from the refusal. The request
// without a key was not run.
func (b *booking) repeatWithKey(a caller.Answer) bookingStep {
	if a.Key == "" {
		return b.finish(OutcomeFailed)
	}
	b.key = a.Key
	b.currentAttempt().Outcome = ReportedNotRun
	return b.send(0)
}

// repeatUnderNewName sends the booking again under a new name with the key from the
// refusal, if any.
func (b *booking) repeatUnderNewName(a caller.Answer) bookingStep {
	b.currentAttempt().Outcome = ReportedNotRun
	if b.sends >= maxBookingSends {
		return bookingStep{done: true}
	}
	b.key = a.Key
	b.beginAttempt()
	return b.send(max(a.RetryAfter, bookingRepeatDelay))
}

// repeatUnknown repeats the booking with the same key, since a booking runs at most once
// per key. Without a key, a repeat could run the booking twice, so the caller gives up.
func (b *booking) repeatUnknown(a caller.Answer) bookingStep {
	b.unknowns++
	if b.key == "" || b.unknowns > maxUnknownRepeats {
		return b.finish(OutcomeUnknown)
	}
	return b.send(max(a.RetryAfter, bookingRepeatDelay))
}

// BookingCheck holds the result of comparing the reported outcomes with the ledgers.
type BookingCheck struct {
	// Made is the number of bookings.
	Made int `json:"made"`
	// Outcomes counts the bookings by the outcome of their last attempt.
	Outcomes map[Outcome]int `json:"outcomes"`
	// Twice names bookings that ran more than once.
	Twice []string `json:"twice"`
	// NotRunThatRan names attempts that ran although they were reported as not run.
	NotRunThatRan []string `json:"notRunThatRan"`
	// ConfirmedWithoutRun names attempts that were answered but are in no ledger.
	ConfirmedWithoutRun []string `json:"confirmedWithoutRun"`
}

// checkBookings compares the attempts of each booking with the runs in the ledgers.
func checkBookings(bookings [][]Attempt, runs map[string]int) BookingCheck {
	check := BookingCheck{Made: len(bookings), Outcomes: make(map[Outcome]int)}
	for _, attempts := range bookings {
		total := 0
		for _, a := range attempts {
			n := runs[a.Name]
			total += n
			if a.Outcome == ReportedNotRun && n > 0 {
				check.NotRunThatRan = append(check.NotRunThatRan, a.Name)
			}
			if a.Outcome == Confirmed && n == 0 {
				check.ConfirmedWithoutRun = append(check.ConfirmedWithoutRun, a.Name)
			}
		}
		last := attempts[len(attempts)-1]
		check.Outcomes[last.Outcome]++
		if total > 1 {
			check.Twice = append(check.Twice, last.Name)
		}
	}
	return check
}
