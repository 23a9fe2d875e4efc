package idempotency

import (
	"net/http"
	"time"
)

// Bounds of the tables.
const (
	// MaxAnswerSize is the largest answer body that is kept for replay, in bytes.
	MaxAnswerSize = 16 << 10
	// expireInterval is the minimum time between two runs of the expiry.
	expireInterval = 10 * time.Second
)

// Fingerprint is a hash of a request's method, host, path, query and body.
type Fingerprint [32]byte

// Outcome is the recorded answer to a request.
type Outcome struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end fields.
	Header http.Header
	// Body is the body if Whole is set, and nil otherwise.
	Body []byte
	// Whole reports that the complete answer was kept and can be replayed.
	Whole bool
}

// Verdict is the decision on a request under a key or a grant.
type Verdict uint8

// Verdicts.
const (
	// Run means that this request, and no other, may be dispatched now.
	Run Verdict = iota + 1
	// InProgress means that the same request is running.
	InProgress
	// Replay means that the same request has finished; its outcome is given.
	Replay
	// OutcomeUnknown means that the same request may have run, and its outcome is not known.
	OutcomeUnknown
	// KeyReused means that the key or grant was used for a different request. This request was not
	// run.
	KeyReused
	// NotGranter means that another agent issued the key.
	NotGranter
	// RefusedBefore means that the same request was refused before dispatch and never runs.
	RefusedBefore
	// Full means that there is no room for another record. The key or grant is refused permanently.
	Full
	// EpochMissing means that the grant names no epoch of the executor. No request can have run
	// under it.
	EpochMissing
)

// Decision is a Verdict. For Replay it includes the recorded outcome.
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

// table holds records by number. In a Ledger the number is the counter of the key, and in a
// GrantLog it is the number of the grant; a GrantLog has one table for each granter and generation.
type table struct {
	marks   marks
	records map[uint64]*record
	quota   *quota
}

func newTable(q *quota) *table {
	return &table{marks: make(marks), records: make(map[uint64]*record), quota: q}
}

// lookUp decides on the request with number n without allowing it to run. A number that was never
// begun is refused.
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
	if !t.quota.makeRoom(now) {
		t.marks.set(now, n, refused)
		return Decision{Verdict: Full}
	}
	t.marks.set(now, n, used)
	t.records[n] = &record{state: begun, fingerprint: fp}
	t.quota.records++
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

// refuse permanently refuses number n after its request was begun and not dispatched: a late copy
// of the request must not run after the caller received "not run".
func (t *table) refuse(now time.Time, n uint64) {
	rec := t.records[n]
	if rec == nil || rec.state != begun {
		return
	}
	t.drop(n, rec)
	t.marks.set(now, n, refused)
}

// refuseUnlessBegun permanently refuses number n. It returns false, and changes nothing, if the
// request of n was begun before and so may have run.
func (t *table) refuseUnlessBegun(now time.Time, n uint64) bool {
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
	if len(o.Body) > MaxAnswerSize || t.quota.bytes+len(o.Body) > t.quota.maxBytes {
		o.Whole = false
	}
	if !o.Whole {
		o.Body = nil
	}
	t.quota.bytes += len(o.Body)
	rec.state = finished
	rec.outcome = o
	t.settle(now, n, rec)
}

func (t *table) markUnknown(now time.Time, n uint64) {
	rec := t.records[n]
	if rec == nil || rec.state != begun {
		return
	}
	rec.state = unknown
	t.settle(now, n, rec)
}

// settle records when the outcome of number n was decided, and makes its record eligible for
// eviction.
func (t *table) settle(now time.Time, n uint64, rec *record) {
	rec.settled = now
	t.quota.settled = append(t.quota.settled, settledRecord{table: t, number: n})
}

// clear drops all records and returns their share of the quota.
func (t *table) clear() {
	for n, rec := range t.records {
		t.drop(n, rec)
	}
}

func (t *table) drop(n uint64, rec *record) {
	t.quota.bytes -= len(rec.outcome.Body)
	t.quota.records--
	delete(t.records, n)
}
