package request

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/idempotency"
)

// RecordID identifies the record of a non-repeatable request. The zero RecordID means that there is
// no record.
type RecordID struct {
	// Kind selects which of the other fields is set.
	Kind RecordKind
	// Key is the idempotency key of a request that a caller sent.
	Key idempotency.Key
	// Grant is the grant by which another agent allows this agent to run the request.
	Grant idempotency.Grant
}

// RecordKind is the kind of a RecordID.
type RecordKind uint8

// Kinds of RecordID.
const (
	// Unrecorded requests have no record.
	Unrecorded RecordKind = iota
	// ByKey requests are recorded in the ledger of the agent that issued the key.
	ByKey
	// ByGrant requests are recorded in the grant log of the executor.
	ByGrant
)

// Records holds one agent's records of non-repeatable requests: of the keys that it issued in its
// current incarnation, of the grants that it received, and of the keys of agents that have left. It
// also numbers the grants that the agent gives. It is not safe for concurrent use.
type Records struct {
	self        netip.AddrPort
	incarnation uint64
	ledger      *idempotency.Ledger
	archive     *idempotency.Archive
	grants      *idempotency.GrantLog
	lastGrant   uint64
	// peerEpochs holds the latest epoch that each peer announced.
	peerEpochs map[netip.AddrPort]idempotency.Epoch
}

// NewRecords returns empty Records for the agent at self.
func NewRecords(self netip.AddrPort, incarnation uint64) *Records {
	return &Records{
		self:        self,
		incarnation: incarnation,
		ledger:      idempotency.NewLedger(self, incarnation),
		archive:     idempotency.NewArchive(),
		grants:      idempotency.NewGrantLog(incarnation),
		peerEpochs:  make(map[netip.AddrPort]idempotency.Epoch),
	}
}

// Begin decides whether the request of id may run here. If the verdict is Run, the calling function
// must then call Refuse, Finish or MarkUnknown; only the first of these calls has an effect.
func (r *Records) Begin(now time.Time, id RecordID, fp idempotency.Fingerprint) idempotency.Decision {
	switch id.Kind {
	case ByKey:
		if decision, ok := r.archive.Decide(now, id.Key, fp); ok {
			return decision
		}
		return r.ledger.Begin(now, id.Key, fp)
	case ByGrant:
		return r.grants.Begin(now, id.Grant, fp)
	default:
		return idempotency.Decision{Verdict: idempotency.Run}
	}
}

// Close closes the ledger of this agent permanently and returns its final state for peers.
func (r *Records) Close(now time.Time) idempotency.ClosedLedger { return r.ledger.Close(now) }

// AddClosedLedger stores the closed ledger of another agent, so that this agent can answer for its
// keys.
func (r *Records) AddClosedLedger(now time.Time, c idempotency.ClosedLedger) error {
	return r.archive.Add(now, c)
}

// Refuse records that the request was not run and never will be.
func (r *Records) Refuse(now time.Time, id RecordID) {
	switch id.Kind {
	case ByKey:
		r.ledger.Refuse(now, id.Key)
	case ByGrant:
		r.grants.Refuse(now, id.Grant)
	}
}

// Finish records the answer of the request.
func (r *Records) Finish(now time.Time, id RecordID, o idempotency.Outcome) {
	switch id.Kind {
	case ByKey:
		r.ledger.Finish(now, id.Key, o)
	case ByGrant:
		r.grants.Finish(now, id.Grant, o)
	}
}

// MarkUnknown records that the request may have run and its outcome is unknown.
func (r *Records) MarkUnknown(now time.Time, id RecordID) {
	switch id.Kind {
	case ByKey:
		r.ledger.MarkUnknown(now, id.Key)
	case ByGrant:
		r.grants.MarkUnknown(now, id.Grant)
	}
}

// RefuseUnlessBegun permanently refuses a key whose request has not been read completely. It
// returns false, and changes nothing, if the key's request may already have run.
func (r *Records) RefuseUnlessBegun(now time.Time, key idempotency.Key) bool {
	return r.ledger.RefuseUnlessBegun(now, key)
}

// Epoch returns the epoch that grants for this agent must name.
func (r *Records) Epoch() idempotency.Epoch { return r.grants.Epoch() }

// Grant returns a new grant for peer. Its Executor is zero while the epoch of the peer is unknown.
func (r *Records) Grant(peer netip.AddrPort) idempotency.Grant {
	r.lastGrant++
	return idempotency.Grant{
		Granter:     r.self,
		Incarnation: r.incarnation,
		Number:      r.lastGrant,
		Executor:    r.peerEpochs[peer],
	}
}

// SetPeerEpoch stores the epoch that peer announced in an answer. The zero epoch is ignored.
func (r *Records) SetPeerEpoch(peer netip.AddrPort, epoch idempotency.Epoch) {
	if epoch != (idempotency.Epoch{}) {
		r.peerEpochs[peer] = epoch
	}
}
