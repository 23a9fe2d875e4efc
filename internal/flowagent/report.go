package flowagent

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
)

// Identity is what each report states about the backend server that it describes, the same for all incarnations.
type Identity struct {
	Service string
	// Addr is the address at which the backend server receives packets and health checks.
	Addr       netip.AddrPort
	DataCentre string
}

// String returns the identity as errors show it.
func (i Identity) String() string {
	return fmt.Sprintf("service %q at %v in data centre %q", i.Service, i.Addr, i.DataCentre)
}

// Report is a periodic message in which a backend server states its condition.
type Report struct {
	Identity
	// ID identifies the backend server; it may stay the same after a restart.
	ID    string
	State fleet.BackendState
	// StartMillis is the start time of the backend server in Unix milliseconds.
	StartMillis int64
	Slots       uint16
	// WarmupLeft is the remaining time during which the backend server is slow after its start.
	WarmupLeft time.Duration
	// Sequence increases with each report of one incarnation.
	Sequence int64
}

const (
	// lateReportWindow is how long after the last report a report with an earlier start time counts as late.
	// After that, an earlier start time means that the clock of the instance was set back.
	lateReportWindow = 3 * time.Second
	// firstReportMaxSequence is the highest sequence number at which the first received report shows that
	// this process has seen the backend server from its start.
	firstReportMaxSequence = 2
	// firstReportMaxAge is the age of a backend server up to which its first received report shows that this
	// process has seen it from its start. If another process had acknowledged an earlier report, the next
	// report would arrive later; failed reports are repeated much sooner.
	firstReportMaxAge = 400 * time.Millisecond
)

// Leave is the message in which a backend server states that it is ending.
type Leave struct {
	// ID identifies the backend server, as in its reports.
	ID string
	// StartMillis is the start time of the backend server in Unix milliseconds. It is zero if the message states none.
	StartMillis int64
}

// Ranges of the numbers in a report. A report outside of them comes from another program.
const (
	// maxClockStep is how far the start time of a backend server may lie in the future, because the clock of the
	// instance was set back after the start.
	maxClockStep = 24 * time.Hour
	// maxWarmup is the longest time that a backend server may be slow after its start.
	maxWarmup = 24 * time.Hour
	// minReportInterval is the least mean interval of the reports of one incarnation, and sequenceMargin is by how
	// much sequence numbers may be ahead of it.
	minReportInterval = time.Millisecond
	sequenceMargin    = 1000
)

// leaveDelay is the time from a backend server's leave message until it counts as gone. It may
// still be ending when the message arrives, and its flows must not be reset before it has ended.
const leaveDelay = 400 * time.Millisecond

// ReportTracker derives the state of one backend server from its reports, some of which are late or
// come from another backend server. It is not safe for concurrent use.
type ReportTracker struct {
	identity     Identity
	id           string
	backend      fleet.Backend
	sequence     int64
	warmingUntil time.Time
	goneAt       time.Time
	// sawFirstReport is set if no other process can have received an earlier report of the
	// incarnation.
	sawFirstReport bool
	// lastReport is when the last report was applied.
	lastReport time.Time
}

// NewReportTracker returns the tracker for the backend server with the given identity.
func NewReportTracker(identity Identity) *ReportTracker {
	return &ReportTracker{identity: identity, backend: fleet.Backend{Service: identity.Service}}
}

// Apply applies a report and returns the resulting state of the backend server. An error of kind Invalid
// means that the report describes another backend server or has a number out of range, an error of kind Stale that a
// newer report was applied before.
func (r *ReportTracker) Apply(now time.Time, report Report) (fleet.Backend, error) {
	if report.Identity != r.identity {
		return r.backend, errkind.New(errkind.Invalid,
			fmt.Sprintf("report of %v at the agent of %v", report.Identity, r.identity), "send reports to the agent on the same instance only")
	}
	if err := r.checkNumbers(now, report); err != nil {
		return r.backend, err
	}
	late := report.StartMillis < r.backend.StartMillis && now.Sub(r.lastReport) < lateReportWindow
	if late || (report.StartMillis == r.backend.StartMillis && report.Sequence <= r.sequence) {
		return r.backend, errkind.New(errkind.Stale,
			fmt.Sprintf("report %d of the start at %d is older than report %d of the start at %d", report.Sequence, report.StartMillis, r.sequence, r.backend.StartMillis),
			"none needed: the newer report stays in effect")
	}
	if report.StartMillis != r.backend.StartMillis {
		r.sawFirstReport = report.Sequence <= firstReportMaxSequence || isRecentStart(now, report.StartMillis)
	}
	r.lastReport = now
	r.id = report.ID
	r.sequence = report.Sequence
	r.goneAt = time.Time{}
	r.warmingUntil = now.Add(report.WarmupLeft)
	r.backend.State = report.State
	r.backend.StartMillis = report.StartMillis
	r.backend.Slots = report.Slots
	r.backend.Warming = report.WarmupLeft > 0
	return r.backend, nil
}

// checkNumbers returns an error of kind Invalid if a number of a report is out of range.
func (r *ReportTracker) checkNumbers(now time.Time, report Report) error {
	switch {
	case report.Slots == 0:
		return outOfRange("slots", int64(report.Slots))
	case report.WarmupLeft < 0 || report.WarmupLeft > maxWarmup:
		return outOfRange("remaining warm-up in milliseconds", report.WarmupLeft.Milliseconds())
	case report.StartMillis <= 0 || report.StartMillis > now.Add(maxClockStep).UnixMilli():
		return outOfRange("start time in Unix milliseconds", report.StartMillis)
	case report.Sequence < 0 || report.Sequence > r.maxSequence(now, report.StartMillis):
		return outOfRange("sequence number", report.Sequence)
	}
	return nil
}

// maxSequence returns the highest sequence number that a report of the incarnation with the given start time can
// have. If a number above it were applied, all later reports of the incarnation would count as late.
func (r *ReportTracker) maxSequence(now time.Time, startMillis int64) int64 {
	if startMillis == r.backend.StartMillis {
		return r.sequence + int64(now.Sub(r.lastReport)/minReportInterval) + sequenceMargin
	}
	age := max(0, now.Sub(time.UnixMilli(startMillis)))
	return int64((age+maxClockStep)/minReportInterval) + sequenceMargin
}

func outOfRange(name string, value int64) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("report of a backend server ignored: its %s is %d", name, value),
		"check which program sends it")
}

// isRecentStart reports whether a start time in Unix milliseconds lies within firstReportMaxAge. A start time
// in the future comes from a differing clock and proves nothing.
func isRecentStart(now time.Time, startMillis int64) bool {
	age := now.Sub(time.UnixMilli(startMillis))
	return age >= 0 && age < firstReportMaxAge
}

// Leave applies a leave message and returns the resulting state of the backend server. An error of kind Stale means
// that the message is not of the current incarnation and changed nothing. Since a backend server drains before it
// leaves, a message without a start time counts only while the backend server drains: it may be a late one of an
// earlier incarnation with the same ID.
func (r *ReportTracker) Leave(now time.Time, m Leave) (fleet.Backend, error) {
	isCurrent := m.StartMillis == r.backend.StartMillis
	if m.StartMillis == 0 {
		isCurrent = r.backend.State == fleet.BackendDraining
	}
	switch {
	case m.ID != r.id || !isCurrent:
		return r.backend, errkind.New(errkind.Stale,
			fmt.Sprintf("leave message of %q, start at %d, while %q, start at %d, is %v", m.ID, m.StartMillis, r.id, r.backend.StartMillis, r.backend.State),
			"none needed: the backend server stays in use")
	case r.backend.State == fleet.BackendGone:
		return r.backend, nil
	}
	r.backend.State = fleet.BackendDraining
	r.goneAt = now.Add(leaveDelay)
	return r.backend, nil
}

// Sequence returns the sequence number of the last report that was applied.
func (r *ReportTracker) Sequence() int64 { return r.sequence }

// SawFirstReport reports whether no other process can have received an earlier report of the backend server's
// incarnation.
func (r *ReportTracker) SawFirstReport() bool { return r.sawFirstReport }

// SinceLastReport returns the time since the last report; it is zero before the first one.
func (r *ReportTracker) SinceLastReport(now time.Time) time.Duration {
	if r.lastReport.IsZero() {
		return 0
	}
	return now.Sub(r.lastReport)
}

// ApplyHealthCheck sets the state that a health check has shown and an assumed number of slots,
// unless a report was received. It returns the resulting state.
func (r *ReportTracker) ApplyHealthCheck(state fleet.BackendState, slots uint16) fleet.Backend {
	if r.lastReport.IsZero() {
		r.backend.State, r.backend.Slots = state, slots
	}
	return r.backend
}

// MarkGone records that the backend server has ended without a leave message.
func (r *ReportTracker) MarkGone() fleet.Backend {
	r.backend.State = fleet.BackendGone
	return r.backend
}

// Tick ends the warm-up and the leave delay when they are over. It returns the state of the backend server
// and whether the state changed.
func (r *ReportTracker) Tick(now time.Time) (fleet.Backend, bool) {
	before := r.backend
	if r.backend.Warming && !now.Before(r.warmingUntil) {
		r.backend.Warming = false
	}
	if !r.goneAt.IsZero() && !now.Before(r.goneAt) {
		r.backend.State = fleet.BackendGone
	}
	return r.backend, r.backend != before
}
