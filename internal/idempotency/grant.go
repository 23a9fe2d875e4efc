package idempotency

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// generationPeriod is how long a generation of a GrantLog is current. The GrantLog also accepts
// grants of the previous generation and drops the records of older generations.
const generationPeriod = 24 * time.Hour

// Epoch identifies one generation of an executor's GrantLog in one incarnation of the executor. For
// a grant whose epoch it has dropped, an executor replies that the outcome is unknown.
type Epoch struct {
	// Incarnation is the incarnation of the executor. Zero means that the epoch is unknown.
	Incarnation uint64
	// Generation counts the generations of the incarnation.
	Generation uint64
}

// String returns the text form for the relay fields.
func (e Epoch) String() string {
	return fmt.Sprintf("%d.%d", e.Incarnation, e.Generation)
}

// ParseEpoch parses the text form.
func ParseEpoch(text string) (Epoch, error) {
	incarnation, generation, found := strings.Cut(text, ".")
	first, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil || !found {
		return Epoch{}, errBadGrant
	}
	second, err := strconv.ParseUint(generation, 10, 64)
	if err != nil {
		return Epoch{}, errBadGrant
	}
	return Epoch{Incarnation: first, Generation: second}, nil
}

// Grant allows one peer, the executor, to dispatch one request once.
type Grant struct {
	// Granter is the agent that gives the grant.
	Granter netip.AddrPort
	// Incarnation is the incarnation of the granter.
	Incarnation uint64
	// Number numbers the grants of one incarnation.
	Number uint64
	// Executor is the epoch of the peer that may run the request. With the zero Epoch the peer runs
	// nothing and replies with its epoch.
	Executor Epoch
}

// String returns the text form for the relay field.
func (g Grant) String() string {
	return fmt.Sprintf("%s/%d/%d/%s", g.Granter, g.Incarnation, g.Number, g.Executor)
}

// ParseGrant parses the text form.
func ParseGrant(text string) (Grant, error) {
	fields := strings.Split(text, "/")
	if len(fields) != 4 {
		return Grant{}, errBadGrant
	}
	granter, err := netip.ParseAddrPort(fields[0])
	if err != nil {
		return Grant{}, errBadGrant
	}
	g := Grant{Granter: granter}
	if g.Incarnation, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
		return Grant{}, errBadGrant
	}
	if g.Number, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
		return Grant{}, errBadGrant
	}
	g.Executor, err = ParseEpoch(fields[3])
	return g, err
}

var errBadGrant = errkind.New(errkind.Invalid, "malformed grant or epoch in a relayed request",
	"run the same release on all agents")

// granterID identifies an incarnation of a granter. In a GrantLog it also contains the generation
// that the grants name.
type granterID struct {
	addr        netip.AddrPort
	incarnation uint64
	generation  uint64
}

// GrantLog holds the records of the requests that one executor ran under grants. It is not safe for
// concurrent use.
type GrantLog struct {
	epoch      Epoch
	tables     map[granterID]*table
	quota      *quota
	latest     time.Time
	lastExpiry time.Time
	rotated    time.Time
}

// NewGrantLog returns an empty GrantLog for the given incarnation of the executor.
func NewGrantLog(incarnation uint64) *GrantLog {
	q := &quota{maxRecords: maxRecords, maxBytes: maxAnswerBytes}
	return &GrantLog{epoch: Epoch{Incarnation: incarnation}, tables: make(map[granterID]*table), quota: q}
}

// Epoch returns the epoch that new grants must name.
func (l *GrantLog) Epoch() Epoch { return l.epoch }

// Begin decides whether the request under grant g may be dispatched. If the verdict is Run, the
// calling function must then call exactly one of Refuse, Finish and MarkUnknown.
func (l *GrantLog) Begin(now time.Time, g Grant, fp Fingerprint) Decision {
	now = l.advance(now)
	if g.Executor == (Epoch{}) {
		return Decision{Verdict: EpochMissing}
	}
	// The request may have run in an epoch whose records are gone.
	if g.Executor.Incarnation != l.epoch.Incarnation || g.Executor.Generation+1 < l.epoch.Generation {
		return Decision{Verdict: OutcomeUnknown}
	}
	id := granterOf(g)
	if l.tables[id] == nil {
		l.tables[id] = newTable(l.quota)
	}
	return l.tables[id].begin(now, g.Number, fp)
}

// Refuse records that the grant's request was not dispatched and never will be.
func (l *GrantLog) Refuse(now time.Time, g Grant) {
	if t := l.tables[granterOf(g)]; t != nil {
		t.refuse(l.advance(now), g.Number)
	}
}

// Finish records the answer of the grant's request.
func (l *GrantLog) Finish(now time.Time, g Grant, o Outcome) {
	if t := l.tables[granterOf(g)]; t != nil {
		t.finish(l.advance(now), g.Number, o)
	}
}

// MarkUnknown records that the grant's request may have run and its outcome is unknown.
func (l *GrantLog) MarkUnknown(now time.Time, g Grant) {
	if t := l.tables[granterOf(g)]; t != nil {
		t.markUnknown(l.advance(now), g.Number)
	}
}

func granterOf(g Grant) granterID {
	return granterID{addr: g.Granter, incarnation: g.Incarnation, generation: g.Executor.Generation}
}

// advance returns the latest time seen. It also starts new generations and expires old records
// periodically.
func (l *GrantLog) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	if l.rotated.IsZero() {
		l.rotated = l.latest
	}
	if l.latest.Sub(l.lastExpiry) >= expireInterval {
		l.lastExpiry = l.latest
		l.rotate()
		l.quota.expire(l.latest)
	}
	return l.latest
}

// rotate starts the generations that are due and drops all but the last two.
func (l *GrantLog) rotate() {
	passed := l.latest.Sub(l.rotated) / generationPeriod
	if passed == 0 {
		return
	}
	l.rotated = l.rotated.Add(passed * generationPeriod)
	l.epoch.Generation += uint64(passed)
	for id, t := range l.tables {
		if id.generation+1 < l.epoch.Generation {
			t.clear()
			delete(l.tables, id)
		}
	}
}
