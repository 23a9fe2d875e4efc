package idempotency

import "time"

// Bounds of the records.
const (
	// recordRetention is how long the outcome of a settled request is kept for replay.
	recordRetention = 15 * time.Minute
	// minRetention is how long such an outcome is kept at least, even if the quota is exhausted.
	minRetention = 2 * time.Minute
	// maxRecords bounds the records of one ledger or grant log.
	maxRecords = 50_000
	// maxAnswerBytes bounds the answers that one ledger or grant log keeps.
	maxAnswerBytes = 16 << 20
)

// quota bounds the records and the answers of all tables of one ledger or grant log, and evicts
// settled records.
type quota struct {
	maxRecords int
	maxBytes   int
	records    int
	bytes      int
	// settled lists the settled records, the oldest first. It may contain records that were already
	// dropped.
	settled []settledRecord
}

type settledRecord struct {
	table  *table
	number uint64
}

// makeRoom reports whether another record fits. If necessary it evicts the oldest settled record
// that has been kept for minRetention; the mark of the record stays.
func (q *quota) makeRoom(now time.Time) bool {
	if q.records >= q.maxRecords {
		q.evict(now, minRetention, 1)
	}
	return q.records < q.maxRecords
}

// expire drops all settled records that have been kept for recordRetention. Records of requests
// that are still running are never dropped.
func (q *quota) expire(now time.Time) {
	q.evict(now, recordRetention, len(q.settled))
}

// evict drops up to limit settled records that have been kept for retention, the oldest first.
func (q *quota) evict(now time.Time, retention time.Duration, limit int) {
	for len(q.settled) > 0 && limit > 0 {
		oldest := q.settled[0]
		rec := oldest.table.records[oldest.number]
		if rec != nil && now.Sub(rec.settled) < retention {
			return
		}
		q.settled = q.settled[1:]
		if rec != nil {
			oldest.table.drop(oldest.number, rec)
			limit--
		}
	}
}
