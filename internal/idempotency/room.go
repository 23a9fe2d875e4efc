package idempotency

import "time"

// Bounds of what is remembered.
const (
	// recordRetention is how long the outcome of a finished request is kept for replay.
	recordRetention = 15 * time.Minute
	// leastRetention is how long it is kept at least, when room is short.
	leastRetention = 2 * time.Minute
	// maxRecords bounds the records of one ledger.
	maxRecords = 50_000
	// maxAnswerBytes bounds the answers that one ledger keeps.
	maxAnswerBytes = 16 << 20
)

// room counts what the tables of one owner hold together and says which
// records may go first.
type room struct {
	maxRecords int
	maxBytes   int
	records    int
	bytes      int
	// settled lists the settled records, the oldest first. Records that are
	// gone already may still be listed.
	settled []settledRecord
}

type settledRecord struct {
	table  *table
	number uint64
}

// has reports whether there is room for one more record. If need be it forgets
// the oldest settled record that was kept for its least time; its mark stays.
func (r *room) has(now time.Time) bool {
	if r.records >= r.maxRecords {
		r.forget(now, leastRetention, 1)
	}
	return r.records < r.maxRecords
}

// expire forgets all settled records after their retention. A record of a
// request under way is never forgotten.
func (r *room) expire(now time.Time) {
	r.forget(now, recordRetention, len(r.settled))
}

// forget drops up to most settled records that were kept for retention.
func (r *room) forget(now time.Time, retention time.Duration, most int) {
	for len(r.settled) > 0 && most > 0 {
		oldest := r.settled[0]
		rec := oldest.table.records[oldest.number]
		if rec != nil && now.Sub(rec.settled) < retention {
			return
		}
		r.settled = r.settled[1:]
		if rec != nil {
			oldest.table.drop(oldest.number, rec)
			most--
		}
	}
}
