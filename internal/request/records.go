package request

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/idempotency"
)

// RecordID names what a request that must not be repeated is recorded under. The
// zero RecordID has no record.
type RecordID struct {
	// Kind says which of the other fields is set.
	Kind RecordKind
	// Key is the idempotency key of a request that came from a caller.
	Key idempotency.Key
	// Grant is the grant of a request that another agent lets this one run.
	Grant idempotency.Grant
}

// RecordKind is the kind of a Subject.
type RecordKind uint8

// Kinds of Subject.
const (
	// Unrecorded requests have no record.
	Unrecorded RecordKind = iota
	// ByKey requests are recorded in the ledger of the agent that granted the key.
	ByKey
	// ByGrant requests are recorded in the grant log of the executor.
	ByGrant
)

// Records holds what one agent knows, in its current process life, of requests
// that must not be repeated: the keys it issued, the grants it got and the
// grants it gave. It is not safe for concurrent use.
type Records struct {
	self        netip.AddrPort
	incarnation uint64
	ledger      *idempotency.Ledger
	archive     *idempotency.Archive
	grants      *idempotency.GrantLog
	granted     uint64
	// executors holds the lives of peers, as they told them.
	executors map[netip.AddrPort]idempotency.Epoch
}

// NewRecords returns the empty Records of the agent at self.
func NewRecords(self netip.AddrPort, incarnation uint64) *Records {
	return &Records{
		self:        self,
		incarnation: incarnation,
		ledger:      idempotency.NewLedger(self, incarnation),
		archive:     idempotency.NewArchive(),
		grants:      idempotency.NewGrantLog(incarnation),
		executors:   make(map[netip.AddrPort]idempotency.Epoch),
	}
}

// Begin decides whether the request of s may run here. A request that gets the
// verdict Run must be settled by Refuse, Finish or Lose; the first one counts.
func (r *Records) Begin(now time.Time, s RecordID, fp idempotency.Fingerprint) idempotency.Decision {
	switch s.Kind {
	case ByKey:
		if decision, ok := r.archive.Decide(now, s.Key, fp); ok {
			return decision
		}
		return r.ledger.Begin(now, s.Key, fp)
	case ByGrant:
		return r.grants.Begin(now, s.Grant, fp)
	default:
		return idempotency.Decision{Verdict: idempotency.Run}
	}
}

// Close ends the ledger of this agent for good and returns it, for peers.
func (r *Records) Close(now time.Time) idempotency.ClosedLedger { return r.ledger.Close(now) }

// AddClosedLedger keeps the closed ledger of another agent, to answer for its keys.
func (r *Records) AddClosedLedger(now time.Time, c idempotency.ClosedLedger) error {
	return r.archive.Add(now, c)
}

// Refuse records that the request certainly was not run; it never runs later.
func (r *Records) Refuse(now time.Time, s RecordID) {
	switch s.Kind {
	case ByKey:
		r.ledger.Refuse(now, s.Key)
	case ByGrant:
		r.grants.Refuse(now, s.Grant)
	}
}

// Finish records the answer of the request.
func (r *Records) Finish(now time.Time, s RecordID, o idempotency.Outcome) {
	switch s.Kind {
	case ByKey:
		r.ledger.Finish(now, s.Key, o)
	case ByGrant:
		r.grants.Finish(now, s.Grant, o)
	}
}

// MarkUnknown records that the request may have run and its outcome is unknown.
func (r *Records) MarkUnknown(now time.Time, s RecordID) {
	switch s.Kind {
	case ByKey:
		r.ledger.MarkUnknown(now, s.Key)
	case ByGrant:
		r.grants.MarkUnknown(now, s.Grant)
	}
}

// RefuseUnlessBegun refuses key before its request was read, and reports whether the key's
// request certainly has not run and will not.
func (r *Records) RefuseUnlessBegun(now time.Time, key idempotency.Key) bool {
	return r.ledger.RefuseUnlessBegun(now, key)
}

// Epoch returns the life that grants for this agent must name.
func (r *Records) Epoch() idempotency.Epoch { return r.grants.Epoch() }

// Grant returns a fresh grant for peer. Its Executor is zero while the life of
// the peer is not known.
func (r *Records) Grant(peer netip.AddrPort) idempotency.Grant {
	r.granted++
	return idempotency.Grant{
		Granter:     r.self,
		Incarnation: r.incarnation,
		Number:      r.granted,
		Executor:    r.executors[peer],
	}
}

// SetPeerEpoch notes the life that peer told in an answer.
func (r *Records) SetPeerEpoch(peer netip.AddrPort, life idempotency.Epoch) {
	if life != (idempotency.Epoch{}) {
		r.executors[peer] = life
	}
}
