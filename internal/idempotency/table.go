package idempotency

import (
	"net/http"
	"time"
)

// Bounds of one table.
const (
	// MaxAnswerSize is the largest answer that is kept for replay, in bytes.
	MaxAnswerSize = 16 << 10
	// expireInterval is the least time between two sweeps.
	expireInterval = 10 * time.Second
)

// Fingerprint is a hash of a request's method, path and body.
type Fingerprint [32]byte

// Outcome is the answer that a request got.
type Outcome struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body is the body; valid when Whole is set.
	Body []byte
	// Whole reports that the answer was kept as a whole and can be replayed.
	Whole bool
}

// Verdict is the answer to a request that asks to run under a key or a grant.
type Verdict uint8

// Verdicts.
const (
	// Run means that this request, and no other, may be dispatched now.
	Run Verdict = iota + 1
	// InProgress means that the same request is running.
	InProgress
	// Replay means that the same request has finished; its outcome is given.
	Replay
	// OutcomeUnknown means that the same request may have run.
	OutcomeUnknown
	// KeyReused means that the key was used for another request; this one was not run.
	KeyReused
	// NotGranter means that another agent granted the key.
	NotGranter
	// RefusedBefore means that the same request was refused before dispatch and will never run.
	RefusedBefore
	// Full means that there is no room for another record; the key is refused for good.
	Full
	// EpochMissing means that the grant names no life of the executor; nothing
	// can have run under it.
	EpochMissing
)

// Decision is a verdict with the outcome for Replay.
type Decision struct {
	Verdict Verdict
	Outcome Outcome
}

type recordState uint8

const (
	begun recordState = iota + 1
	finished
	unknown
)

type record struct {
	state       recordState
	fingerprint Fingerprint
	outcome     Outcome
	settled     time.Time
}

// table holds the records of one sequence of numbers.
type table struct {
	marks   marks
	records map[uint64]*record
	room    *room
}

func newTable(r *room) *table {
	return &table{marks: make(marks), records: make(map[uint64]*record), room: r}
}

// lookUp decides about n without letting it run: one that was not begun is refused.
func (t *table) lookUp(n uint64, fp Fingerprint) Decision {
	if rec := t.records[n]; rec != nil {
		return rec.decide(fp)
	}
	if t.marks.get(n) == used {
		return Decision{Verdict: OutcomeUnknown}
	}
	return Decision{Verdict: RefusedBefore}
}

func (t *table) begin(now time.Time, n uint64, fp Fingerprint) Decision {
	if t.records[n] != nil || t.marks.get(n) != unused {
		return t.lookUp(n, fp)
	}
	if !t.room.has(now) {
		t.marks.set(now, n, refused)
		return Decision{Verdict: Full}
	}
	t.marks.set(now, n, used)
	t.records[n] = &record{state: begun, fingerprint: fp}
	t.room.records++
	return Decision{Verdict: Run}
}

func (r *record) decide(fp Fingerprint) Decision {
	if r.fingerprint != fp {
		return Decision{Verdict: KeyReused}
	}
	switch r.state {
	case begun:
		return Decision{Verdict: InProgress}
	case finished:
		return Decision{Verdict: Replay, Outcome: r.outcome}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// refuse marks n as never dispatched, for good: a late copy of the request
// must not run after its caller was told that it was not run.
func (t *table) refuse(now time.Time, n uint64) {
	rec := t.records[n]
	if rec == nil || rec.state != begun {
		return
	}
	t.drop(n, rec)
	t.marks.set(now, n, refused)
}

// spend marks n as never dispatched, unless it was begun before, and reports
// whether n certainly has not run and will not.
func (t *table) spend(now time.Time, n uint64) bool {
	if t.marks.get(n) == used {
		return false
	}
	t.marks.set(now, n, refused)
	return true
}

func (t *table) finish(now time.Time, n uint64, o Outcome) {
	rec := t.records[n]
	if rec == nil || rec.state == finished {
		return
	}
	if len(o.Body) > MaxAnswerSize || t.room.bytes+len(o.Body) > t.room.maxBytes {
		o.Whole = false
	}
	if !o.Whole {
		o.Body = nil
	}
	t.room.bytes += len(o.Body)
	rec.state = finished
	rec.outcome = o
	t.settle(now, n, rec)
}

func (t *table) lose(now time.Time, n uint64) {
	rec := t.records[n]
	if rec == nil || rec.state != begun {
		return
	}
	rec.state = unknown
	t.settle(now, n, rec)
}

func (t *table) settle(now time.Time, n uint64, rec *record) {
	rec.settled = now
	t.room.settled = append(t.room.settled, settledRecord{table: t, number: n})
}

// clear gives back the room of all records.
func (t *table) clear() {
	for n, rec := range t.records {
		t.drop(n, rec)
	}
}

func (t *table) drop(n uint64, rec *record) {
	t.room.bytes -= len(rec.outcome.Body)
	t.room.records--
	delete(t.records, n)
}
