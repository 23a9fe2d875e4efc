package idempotency

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Grant allows one peer, the executor, to dispatch one request once.
type Grant struct {
	// Granter is the agent that gives the grant.
	Granter netip.AddrPort
	// Incarnation identifies the process life of the granter.
	Incarnation uint64
	// Number numbers the grants of one incarnation.
	Number uint64
	// Executor identifies the process life of the peer that may run the request.
	// Zero asks the peer for it; nothing runs under such a grant.
	Executor uint64
}

// String returns the text form for the relay field.
func (g Grant) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", g.Granter, g.Incarnation, g.Number, g.Executor)
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
	for i, into := range []*uint64{&g.Incarnation, &g.Number, &g.Executor} {
		*into, err = strconv.ParseUint(fields[i+1], 10, 64)
		if err != nil {
			return Grant{}, errBadGrant
		}
	}
	return g, nil
}

var errBadGrant = errkind.New(errkind.Invalid, "bad grant field in a relayed request",
	"run the same release on all agents")

// granterID identifies the process life of a granter.
type granterID struct {
	addr        netip.AddrPort
	incarnation uint64
}

// GrantLog holds what became of the grants that one executor got. It is not
// safe for concurrent use.
type GrantLog struct {
	incarnation uint64
	tables      map[granterID]*table
	room        *room
	latest      time.Time
	swept       time.Time
}

// NewGrantLog returns the empty GrantLog of the executor's process life incarnation.
func NewGrantLog(incarnation uint64) *GrantLog {
	r := &room{maxRecords: maxRecords, maxBytes: maxAnswerBytes}
	return &GrantLog{incarnation: incarnation, tables: make(map[granterID]*table), room: r}
}

// Begin decides what happens to a request under grant g. The request that gets
// the verdict Run must be settled by exactly one of Refuse, Finish and Lose.
func (l *GrantLog) Begin(now time.Time, g Grant, fp Fingerprint) Decision {
	now = l.advance(now)
	if g.Executor == 0 {
		return Decision{Verdict: OtherIncarnation}
	}
	// An earlier process life may have run it; its log is gone.
	if g.Executor != l.incarnation {
		return Decision{Verdict: OutcomeUnknown}
	}
	return l.table(g).begin(now, g.Number, fp)
}

// Refuse records that the grant's request certainly was not dispatched and
// never will be.
func (l *GrantLog) Refuse(now time.Time, g Grant) {
	l.table(g).refuse(l.advance(now), g.Number)
}

// Finish records the answer of the grant's request.
func (l *GrantLog) Finish(now time.Time, g Grant, o Outcome) {
	l.table(g).finish(l.advance(now), g.Number, o)
}

// Lose records that the grant's request may have run and its outcome is unknown.
func (l *GrantLog) Lose(now time.Time, g Grant) {
	l.table(g).lose(l.advance(now), g.Number)
}

func (l *GrantLog) table(g Grant) *table {
	id := granterID{addr: g.Granter, incarnation: g.Incarnation}
	t := l.tables[id]
	if t == nil {
		t = newTable(l.room)
		l.tables[id] = t
	}
	return t
}

func (l *GrantLog) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	if l.latest.Sub(l.swept) < expireInterval {
		return l.latest
	}
	l.swept = l.latest
	for id, t := range l.tables {
		t.expire(l.latest)
		if len(t.marks) == 0 && len(t.records) == 0 {
			delete(l.tables, id)
		}
	}
	return l.latest
}
