package idempotency

import (
	"net/netip"
	"time"
)

// Ledger holds what became of the keys that one agent granted in its current
// process life. It is not safe for concurrent use.
type Ledger struct {
	granter     netip.AddrPort
	incarnation uint64
	table       *table
	latest      time.Time
	swept       time.Time
	// closed reports that no further request runs under the ledger's keys.
	closed bool
}

// NewLedger returns the empty Ledger of the agent at granter.
func NewLedger(granter netip.AddrPort, incarnation uint64) *Ledger {
	r := &room{maxRecords: maxRecords, maxBytes: maxAnswerBytes}
	return &Ledger{granter: granter, incarnation: incarnation, table: newTable(r)}
}

// Begin decides what happens to a request under key. Only the request that gets
// the verdict Run may be dispatched; it must be settled by exactly one of
// Refuse, Finish and Lose.
func (l *Ledger) Begin(now time.Time, key Key, fp Fingerprint) Decision {
	now = l.advance(now)
	if key.Granter != l.granter {
		return Decision{Verdict: NotGranter}
	}
	// An earlier process life may have run the request; its ledger is gone.
	if key.Incarnation != l.incarnation {
		return Decision{Verdict: OutcomeUnknown}
	}
	if now.Sub(key.Issued) >= KeyLifetime {
		return Decision{Verdict: OutcomeUnknown}
	}
	if l.closed {
		return l.table.lookUp(key.Counter, fp)
	}
	return l.table.begin(now, key.Counter, fp)
}

// Refuse records that the key's request certainly was not dispatched. The key
// is spent: it is never dispatched later.
func (l *Ledger) Refuse(now time.Time, key Key) {
	l.table.refuse(l.advance(now), key.Counter)
}

// RefuseUnlessBegun refuses key before its request was read, and reports whether the key's
// request certainly has not run and will not.
func (l *Ledger) RefuseUnlessBegun(now time.Time, key Key) bool {
	now = l.advance(now)
	if key.Granter != l.granter || key.Incarnation != l.incarnation || now.Sub(key.Issued) >= KeyLifetime {
		return false
	}
	return l.table.spend(now, key.Counter)
}

// Finish records the answer of the key's request.
func (l *Ledger) Finish(now time.Time, key Key, o Outcome) {
	l.table.finish(l.advance(now), key.Counter, o)
}

// MarkUnknown records that the key's request may have run and its outcome is unknown.
func (l *Ledger) MarkUnknown(now time.Time, key Key) {
	l.table.lose(l.advance(now), key.Counter)
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.table.room.records }

// advance keeps time from running backwards, so that no expired key becomes
// valid again, and sweeps now and then.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	if l.latest.Sub(l.swept) >= expireInterval {
		l.swept = l.latest
		l.table.room.expire(l.latest)
		l.table.marks.expire(l.latest.Add(-KeyLifetime))
	}
	return l.latest
}
