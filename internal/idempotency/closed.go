package idempotency

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// MaxClosedBytes bounds the encoded form of a ClosedLedger.
	MaxClosedBytes = 4 << 20
	// closedAnswerBytes bounds the answer bodies in a ClosedLedger.
	closedAnswerBytes = 1 << 20
	// maxClosedRecords and maxClosedBlocks bound the records and mark blocks in a ClosedLedger.
	maxClosedRecords = 4096
	maxClosedBlocks  = 4096
	// MaxArchived is the number of closed ledgers that an Archive keeps.
	MaxArchived = 256
)

var errClosedInvalid = errkind.New(errkind.Invalid, "the closed ledger is malformed or too large",
	"run the same release on all agents")

// ClosedLedger is the final state of an agent's ledger. An agent that leaves sends it to its peers,
// so that they can decide on requests with the keys that the agent issued.
type ClosedLedger struct {
	// Granter and Incarnation identify the incarnation that issued the keys.
	Granter     netip.AddrPort `msgpack:"granter"`
	Incarnation uint64         `msgpack:"incarnation"`
	// Blocks hold the marks of all numbers that were used or refused. Incomplete reports that some
	// blocks were left out because there were too many.
	Blocks     []ClosedBlock `msgpack:"blocks"`
	Incomplete bool          `msgpack:"incomplete,omitempty"`
	// Records hold the outcomes that are kept for replay.
	Records []ClosedRecord `msgpack:"records"`
}

// ClosedBlock holds the marks of marksPerBlock consecutive numbers.
type ClosedBlock struct {
	Number uint64                               `msgpack:"n"`
	Words  [marksPerBlock / marksPerWord]uint64 `msgpack:"w"`
}

// ClosedRecord is the record of one key's request.
type ClosedRecord struct {
	Counter     uint64      `msgpack:"n"`
	Fingerprint Fingerprint `msgpack:"f"`
	// Finished reports that Outcome is known.
	Finished bool    `msgpack:"d"`
	Outcome  Outcome `msgpack:"o"`
}

// Close closes the ledger: requests with its keys are no longer allowed to run. It returns the
// state from which peers decide on requests with these keys. A request that is still running counts
// as unknown.
func (l *Ledger) Close(now time.Time) ClosedLedger {
	l.advance(now)
	l.closed = true
	closed := ClosedLedger{Granter: l.granter, Incarnation: l.incarnation}
	for number, block := range l.table.marks {
		if len(closed.Blocks) == maxClosedBlocks {
			closed.Incomplete = true
			break
		}
		closed.Blocks = append(closed.Blocks, ClosedBlock{Number: number, Words: block.words})
	}
	closed.Records = l.table.closedRecords()
	return closed
}

// closedRecords returns the newest records up to the bounds. The requests of omitted records get an
// unknown outcome, because their numbers are marked as used.
func (t *table) closedRecords() []ClosedRecord {
	numbers := make([]uint64, 0, len(t.records))
	for n := range t.records {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	var records []ClosedRecord
	bytes := 0
	for _, n := range numbers[:min(len(numbers), maxClosedRecords)] {
		rec := t.records[n]
		closed := ClosedRecord{Counter: n, Fingerprint: rec.fingerprint, Finished: rec.state == finished, Outcome: rec.outcome}
		bytes += len(closed.Outcome.Body)
		if bytes > closedAnswerBytes {
			closed.Outcome.Body = nil
			closed.Outcome.Whole = false
		}
		records = append(records, closed)
	}
	return records
}

// Archive holds the closed ledgers of agents that have left. It is not safe for concurrent use.
type Archive struct {
	ledgers map[granterID]*archivedLedger
	// order lists the ledgers, the oldest first.
	order []granterID
}

type archivedLedger struct {
	marks      marks
	incomplete bool
	records    map[uint64]ClosedRecord
	added      time.Time
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{ledgers: make(map[granterID]*archivedLedger)}
}

// Add stores a closed ledger until the last of its keys has expired. If the archive is full it
// drops the oldest ledger, whose keys then have an unknown outcome.
func (a *Archive) Add(now time.Time, c ClosedLedger) error {
	if !c.Granter.IsValid() || c.Incarnation == 0 || len(c.Blocks) > maxClosedBlocks || len(c.Records) > maxClosedRecords {
		return errClosedInvalid
	}
	a.expire(now)
	id := granterID{addr: c.Granter, incarnation: c.Incarnation}
	if a.ledgers[id] != nil {
		return nil
	}
	if len(a.order) == MaxArchived {
		a.dropOldest()
	}
	ledger := &archivedLedger{marks: make(marks), incomplete: c.Incomplete, records: make(map[uint64]ClosedRecord), added: now}
	for _, b := range c.Blocks {
		ledger.marks[b.Number] = &block{words: b.Words}
	}
	for _, record := range c.Records {
		ledger.records[record.Counter] = record
	}
	a.ledgers[id] = ledger
	a.order = append(a.order, id)
	return nil
}

// Len returns the number of closed ledgers.
func (a *Archive) Len() int { return len(a.order) }

// Decide decides on a request whose key was issued by an agent that has left. It returns false if
// the archive does not hold that agent's closed ledger. It never allows a request to run: an unused
// key is refused, and its request can never run because the ledger is closed.
func (a *Archive) Decide(now time.Time, key Key, fp Fingerprint) (Decision, bool) {
	a.expire(now)
	ledger := a.ledgers[granterID{addr: key.Granter, incarnation: key.Incarnation}]
	if ledger == nil {
		return Decision{}, false
	}
	if record, ok := ledger.records[key.Counter]; ok {
		return record.decide(fp), true
	}
	if ledger.marks.get(key.Counter) == used || ledger.incomplete {
		return Decision{Verdict: OutcomeUnknown}, true
	}
	return Decision{Verdict: RefusedBefore}, true
}

func (r ClosedRecord) decide(fp Fingerprint) Decision {
	switch {
	case r.Fingerprint != fp:
		return Decision{Verdict: KeyReused}
	case r.Finished:
		return Decision{Verdict: Replay, Outcome: r.Outcome}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

func (a *Archive) expire(now time.Time) {
	for len(a.order) > 0 && now.Sub(a.ledgers[a.order[0]].added) >= KeyLifetime {
		a.dropOldest()
	}
}

func (a *Archive) dropOldest() {
	delete(a.ledgers, a.order[0])
	a.order = a.order[1:]
}
