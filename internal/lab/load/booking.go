package load

import (
	"fmt"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// maxBookingSends bounds the requests of one booking, repeats included.
	maxBookingSends = 12
	// maxUnknownRepeats is how often a booking of unknown outcome is repeated
	// with the same key before the caller gives up.
	maxUnknownRepeats = 3
	bookingRepeatWait = 500 * time.Millisecond
)

// Outcome is what a booking came to, as its caller was told.
type Outcome string

// Outcomes of a booking.
const (
	// Confirmed means that the booking was answered.
	Confirmed Outcome = "confirmed"
	// ReportedNotRun means that the system said that it was not run.
	ReportedNotRun Outcome = "not-run"
	// OutcomeUnknown means that the caller does not know.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the service answered with an error.
	OutcomeFailed Outcome = "failed"
	// NeverSent means that no request for it left the caller.
	NeverSent Outcome = "never-sent"
)

// Attempt is one name under which a booking was sent. A booking that was not
// run is sent again under another name and key, so that a run of the first is noticed.
type Attempt struct {
	// Name is the booking in the backend servers' ledgers.
	Name string `json:"name"`
	// Outcome is what the caller was told.
	Outcome Outcome `json:"outcome"`
}

// bookingStep is what the caller of a booking does next.
type bookingStep struct {
	done    bool
	wait    time.Duration
	attempt string
	key     string
}

// booking decides how a caller repeats a booking safely. It is pure; the driver
// sends what it says and hands it the answers.
type booking struct {
	id       string
	attempts []Attempt
	key      string
	sends    int
	unknowns int
}

// newBooking returns a booking and its first step. Key is a key at hand, or empty.
func newBooking(id, key string) (*booking, bookingStep) {
	b := &booking{id: id, key: key}
	b.begin()
	return b, b.send(0)
}

func (b *booking) begin() {
	name := fmt.Sprintf("%s.%d", b.id, len(b.attempts)+1)
	b.attempts = append(b.attempts, Attempt{Name: name, Outcome: NeverSent})
	b.unknowns = 0
}

func (b *booking) current() *Attempt { return &b.attempts[len(b.attempts)-1] }

func (b *booking) send(wait time.Duration) bookingStep {
	if b.sends >= maxBookingSends {
		return bookingStep{done: true}
	}
	b.sends++
	return bookingStep{wait: wait, attempt: b.current().Name, key: b.key}
}

func (b *booking) finish(o Outcome) bookingStep {
	b.current().Outcome = o
	return bookingStep{done: true}
}

// answer takes the answer to the last request and returns the next step.
func (b *booking) answer(a caller.Answer) bookingStep {
	if a.Verdict != caller.NotSent {
		b.current().Outcome = OutcomeUnknown
	}
	switch a.Verdict {
	case caller.Answered, caller.Wrong:
		return b.finish(Confirmed)
	case caller.Failed:
		return b.finish(OutcomeFailed)
	case caller.NotSent:
		return b.send(bookingRepeatWait)
	case caller.KeyNeeded:
		return b.withKey(a)
	case caller.NotRun:
		return b.anew(a)
	case caller.InProgress:
		return b.send(max(a.RetryAfter, bookingRepeatWait))
	default:
		return b.repeatUnknown(a)
	}
}

// withKey sends the booking again with the key that came with the refusal. The
// request without a key was not run.
func (b *booking) withKey(a caller.Answer) bookingStep {
	if a.Key == "" {
		return b.finish(OutcomeFailed)
	}
	b.key = a.Key
	b.current().Outcome = ReportedNotRun
	return b.send(0)
}

// anew sends the booking under another name and a fresh key.
func (b *booking) anew(a caller.Answer) bookingStep {
	b.current().Outcome = ReportedNotRun
	if b.sends >= maxBookingSends {
		return bookingStep{done: true}
	}
	b.key = a.Key
	b.begin()
	return b.send(max(a.RetryAfter, bookingRepeatWait))
}

// repeatUnknown repeats with the same key, which the system runs at most once.
// Without a key a repeat could run twice, so the caller stops.
func (b *booking) repeatUnknown(a caller.Answer) bookingStep {
	b.unknowns++
	if b.key == "" || b.unknowns > maxUnknownRepeats {
		return b.finish(OutcomeUnknown)
	}
	return b.send(max(a.RetryAfter, bookingRepeatWait))
}

// BookingCheck compares what callers were told with the ledgers.
type BookingCheck struct {
	// Made is the number of bookings.
	Made int `json:"made"`
	// Outcomes counts the bookings by what their callers were told last.
	Outcomes map[Outcome]int `json:"outcomes"`
	// Twice names bookings that ran more than once.
	Twice []string `json:"twice"`
	// NotRunThatRan names attempts that ran although the caller was told "not run".
	NotRunThatRan []string `json:"notRunThatRan"`
	// ConfirmedWithoutRun names attempts that were answered and are in no ledger.
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
