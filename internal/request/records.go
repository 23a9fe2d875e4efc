package request

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/idempotency"
)

// Subject names what a request that must not be repeated is recorded under. The
// zero Subject has no record.
type Subject struct {
	// Kind says which of the other fields is set.
	Kind SubjectKind
	// Key is the idempotency key of a request that came from a caller.
	Key idempotency.Key
	// Grant is the grant of a request that another agent lets this one run.
	Grant idempotency.Grant
}

// SubjectKind is the kind of a Subject.
type SubjectKind uint8

// Kinds of Subject.
const (
	// Unrecorded requests have no record.
	Unrecorded SubjectKind = iota
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
	executors map[netip.AddrPort]idempotency.Life
}

// NewRecords returns the empty Records of the agent at self.
func NewRecords(self netip.AddrPort, incarnation uint64) *Records {
	return &Records{
		self:        self,
		incarnation: incarnation,
		ledger:      idempotency.NewLedger(self, incarnation),
		archive:     idempotency.NewArchive(),
		grants:      idempotency.NewGrantLog(incarnation),
		executors:   make(map[netip.AddrPort]idempotency.Life),
	}
}

// Begin decides whether the request of s may run here. A request that gets the
// verdict Run must be settled by Refuse, Finish or Lose; the first one counts.
func (r *Records) Begin(now time.Time, s Subject, fp idempotency.Fingerprint) idempotency.Decision {
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
func (r *Records) Close(now time.Time) idempotency.Closed { return r.ledger.Close(now) }

// Inherit keeps the closed ledger of another agent, to answer for its keys.
func (r *Records) Inherit(now time.Time, c idempotency.Closed) error {
	return r.archive.Add(now, c)
}

// Refuse records that the request certainly was not run; it never runs later.
func (r *Records) Refuse(now time.Time, s Subject) {
	switch s.Kind {
	case ByKey:
		r.ledger.Refuse(now, s.Key)
	case ByGrant:
		r.grants.Refuse(now, s.Grant)
	}
}

// Finish records the answer of the request.
func (r *Records) Finish(now time.Time, s Subject, o idempotency.Outcome) {
	switch s.Kind {
	case ByKey:
		r.ledger.Finish(now, s.Key, o)
	case ByGrant:
		r.grants.Finish(now, s.Grant, o)
	}
}

// Lose records that the request may have run and its outcome is unknown.
func (r *Records) Lose(now time.Time, s Subject) {
	switch s.Kind {
	case ByKey:
		r.ledger.Lose(now, s.Key)
	case ByGrant:
		r.grants.Lose(now, s.Grant)
	}
}

// Spend refuses key before its request was read, and reports whether the key's
// request certainly has not run and will not.
func (r *Records) Spend(now time.Time, key idempotency.Key) bool {
	return r.ledger.Spend(now, key)
}

// Life returns the life that grants for this agent must name.
func (r *Records) Life() idempotency.Life { return r.grants.Life() }

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

// Learn notes the life that peer told in an answer.
func (r *Records) Learn(peer netip.AddrPort, life idempotency.Life) {
	if life != (idempotency.Life{}) {
		r.executors[peer] = life
	}
}
