package idempotency

import (
	"net/netip"
	"time"
)

// Ledger holds the records of the requests whose keys one agent issued in its current incarnation.
// It is not safe for concurrent use.
type Ledger struct {
	granter     netip.AddrPort
	incarnation uint64
	table       *table
	latest      time.Time
	lastExpiry  time.Time
	// closed reports that no further request may run under the ledger's keys.
	closed bool
}

// NewLedger returns an empty Ledger for the agent at granter.
func NewLedger(granter netip.AddrPort, incarnation uint64) *Ledger {
	q := &quota{maxRecords: maxRecords, maxBytes: maxAnswerBytes}
	return &Ledger{granter: granter, incarnation: incarnation, table: newTable(q)}
}

// Begin decides whether the request under key may be dispatched. If the verdict is Run, the calling
// function must then call exactly one of Refuse, Finish and MarkUnknown.
func (l *Ledger) Begin(now time.Time, key Key, fp Fingerprint) Decision {
	now = l.advance(now)
	if key.Granter != l.granter {
		return Decision{Verdict: NotGranter}
	}
	// An earlier incarnation may have run the request; its ledger is lost.
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

// Refuse records that the key's request was not dispatched. The key cannot be used again, so the
// request is never dispatched later.
func (l *Ledger) Refuse(now time.Time, key Key) {
	l.table.refuse(l.advance(now), key.Counter)
}

// RefuseUnlessBegun permanently refuses a key whose request has not been read completely. It
// returns false, and changes nothing, if the key's request may already have run.
func (l *Ledger) RefuseUnlessBegun(now time.Time, key Key) bool {
	now = l.advance(now)
	if key.Granter != l.granter || key.Incarnation != l.incarnation || now.Sub(key.Issued) >= KeyLifetime {
		return false
	}
	return l.table.refuseUnlessBegun(now, key.Counter)
}

// Finish records the answer of the key's request.
func (l *Ledger) Finish(now time.Time, key Key, o Outcome) {
	l.table.finish(l.advance(now), key.Counter, o)
}

// MarkUnknown records that the key's request may have run and its outcome is unknown.
func (l *Ledger) MarkUnknown(now time.Time, key Key) {
	l.table.markUnknown(l.advance(now), key.Counter)
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.table.quota.records }

// advance returns the latest time seen, so that a clock that is set back makes no expired key valid
// again. It also expires old records and marks periodically.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	if l.latest.Sub(l.lastExpiry) >= expireInterval {
		l.lastExpiry = l.latest
		l.table.quota.expire(l.latest)
		l.table.marks.expire(l.latest.Add(-KeyLifetime))
	}
	return l.latest
}
