package flowagent

import (
	"fmt"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
)

// Report is what a backend server says of itself, again and again.
type Report struct {
	// ID names the backend server; a restarted one may keep its ID.
	ID      string
	Service string
	State   fleet.BackendState
	// StartMillis is its start in Unix milliseconds.
	StartMillis int64
	Slots       uint16
	// WarmupLeft is how much longer it is slow.
	WarmupLeft time.Duration
	// Sequence increases with each report of one start.
	Sequence int64
}

const (
	// clockPatience is how long an earlier start than the last one counts as a late
	// report. After that it is the clock of the instance that was set back.
	clockPatience = 3 * time.Second
	// earlySequence is the last number of a report that shows that this process heard
	// the backend server from its start.
	earlySequence = 2
	// promptReport is the age of a backend server up to which its first report shows the
	// same: had another process acknowledged one before, the next would come later. A
	// backend server whose reports fail repeats them much sooner.
	promptReport = 400 * time.Millisecond
)

// leaveDelay is the time from a backend server's last word to its being taken as
// gone. It may still be ending when the word arrives, and its flows must not be
// reset before.
const leaveDelay = 400 * time.Millisecond

// ReportTracker follows the reports of one backend server, some of which are late or
// not its own. It is not safe for concurrent use.
type ReportTracker struct {
	service   string
	id        string
	backend   fleet.Backend
	sequence  int64
	warmUntil time.Time
	goneAt    time.Time
	// sawStart is set if no other process can have taken a report of this life before.
	sawStart bool
	// heard is when the last report was taken.
	heard time.Time
}

// NewReportTracker returns the follower of a backend server of service.
func NewReportTracker(service string) *ReportTracker {
	return &ReportTracker{service: service, backend: fleet.Backend{Service: service}}
}

// Apply returns the state of the backend server after a report. An error of kind
// Invalid means that the report is of another backend server, one of kind Stale
// that a newer one was taken before.
func (r *ReportTracker) Apply(now time.Time, report Report) (fleet.Backend, error) {
	if report.Service != r.service {
		return r.backend, errkind.New(errkind.Invalid,
			fmt.Sprintf("report of service %q at an agent of %q", report.Service, r.service), "send reports to the agent on the same instance only")
	}
	late := report.StartMillis < r.backend.StartMillis && now.Sub(r.heard) < clockPatience
	if late || (report.StartMillis == r.backend.StartMillis && report.Sequence <= r.sequence) {
		return r.backend, errkind.New(errkind.Stale,
			fmt.Sprintf("report %d of the start at %d is older than report %d of the start at %d", report.Sequence, report.StartMillis, r.sequence, r.backend.StartMillis),
			"none needed: the newer report holds")
	}
	if report.StartMillis != r.backend.StartMillis {
		r.sawStart = report.Sequence <= earlySequence || isPrompt(now, report.StartMillis)
	}
	r.heard = now
	r.id = report.ID
	r.sequence = report.Sequence
	r.goneAt = time.Time{}
	r.warmUntil = now.Add(report.WarmupLeft)
	r.backend.State = report.State
	r.backend.StartMillis = report.StartMillis
	r.backend.Slots = report.Slots
	r.backend.Warming = report.WarmupLeft > 0
	return r.backend, nil
}

// isPrompt reports whether a backend server born at a Unix millisecond has just
// started. One from the future has another clock, and shows nothing.
func isPrompt(now time.Time, born int64) bool {
	age := now.Sub(time.UnixMilli(born))
	return age >= 0 && age < promptReport
}

// Leave notes that the backend server with an ID is ending. The word of another
// one changes nothing.
func (r *ReportTracker) Leave(now time.Time, id string) fleet.Backend {
	if id != r.id || r.backend.State == fleet.BackendGone {
		return r.backend
	}
	r.backend.State = fleet.BackendDraining
	r.goneAt = now.Add(leaveDelay)
	return r.backend
}

// Sequence returns the number of the last report taken.
func (r *ReportTracker) Sequence() int64 { return r.sequence }

// SawFirstReport reports whether this process took the first report of the backend server's
// present life that any process took.
func (r *ReportTracker) SawFirstReport() bool { return r.sawStart }

// SinceLastReport returns how long no report was taken; it is zero before the first one.
func (r *ReportTracker) SinceLastReport(now time.Time) time.Duration {
	if r.heard.IsZero() {
		return 0
	}
	return now.Sub(r.heard)
}

// ApplyHealthCheck returns a state that a check has shown before the first report, with a
// number of slots to go by until then.
func (r *ReportTracker) ApplyHealthCheck(state fleet.BackendState, slots uint16) fleet.Backend {
	if r.heard.IsZero() {
		r.backend.State, r.backend.Slots = state, slots
	}
	return r.backend
}

// MarkGone notes that the backend server has ended without a word.
func (r *ReportTracker) MarkGone() fleet.Backend {
	r.backend.State = fleet.BackendGone
	return r.backend
}

// Tick returns the state of the backend server and whether time alone has changed it.
func (r *ReportTracker) Tick(now time.Time) (fleet.Backend, bool) {
	before := r.backend
	if r.backend.Warming && !now.Before(r.warmUntil) {
		r.backend.Warming = false
	}
	if !r.goneAt.IsZero() && !now.Before(r.goneAt) {
		r.backend.State = fleet.BackendGone
	}
	return r.backend, r.backend != before
}
