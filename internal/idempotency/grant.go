package idempotency

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// generationPeriod is how long one generation of a GrantLog takes grants as the
// current one; it is remembered for as long again.
const generationPeriod = 24 * time.Hour

// Epoch identifies what an executor remembers: a process life, and a generation
// within it. An executor that forgot an old generation refuses its grants.
type Epoch struct {
	// Incarnation identifies the process life. Zero is no life.
	Incarnation uint64
	// Generation counts the generations of the process life.
	Generation uint64
}

// String returns the text form for the relay fields.
func (l Epoch) String() string {
	return fmt.Sprintf("%d.%d", l.Incarnation, l.Generation)
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
	// Incarnation identifies the process life of the granter.
	Incarnation uint64
	// Number numbers the grants of one incarnation.
	Number uint64
	// Executor is the life of the peer that may run the request. The zero Life
	// asks the peer for it; nothing runs under such a grant.
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

var errBadGrant = errkind.New(errkind.Invalid, "bad grant field in a relayed request",
	"run the same release on all agents")

// granterID identifies the process life of a granter, as one generation knows it.
type granterID struct {
	addr        netip.AddrPort
	incarnation uint64
	generation  uint64
}

// GrantLog holds what became of the grants that one executor got. It is not
// safe for concurrent use.
type GrantLog struct {
	life    Epoch
	tables  map[granterID]*table
	room    *room
	latest  time.Time
	swept   time.Time
	rotated time.Time
}

// NewGrantLog returns the empty GrantLog of the executor's process life incarnation.
func NewGrantLog(incarnation uint64) *GrantLog {
	r := &room{maxRecords: maxRecords, maxBytes: maxAnswerBytes}
	return &GrantLog{life: Epoch{Incarnation: incarnation}, tables: make(map[granterID]*table), room: r}
}

// Epoch returns the life that new grants must name.
func (l *GrantLog) Epoch() Epoch { return l.life }

// Begin decides what happens to a request under grant g. The request that gets
// the verdict Run must be settled by exactly one of Refuse, Finish and Lose.
func (l *GrantLog) Begin(now time.Time, g Grant, fp Fingerprint) Decision {
	now = l.advance(now)
	if g.Executor == (Epoch{}) {
		return Decision{Verdict: EpochMissing}
	}
	// An earlier life may have run it; what it knew is gone.
	if g.Executor.Incarnation != l.life.Incarnation || g.Executor.Generation+1 < l.life.Generation {
		return Decision{Verdict: OutcomeUnknown}
	}
	id := idOf(g)
	if l.tables[id] == nil {
		l.tables[id] = newTable(l.room)
	}
	return l.tables[id].begin(now, g.Number, fp)
}

// Refuse records that the grant's request certainly was not dispatched and
// never will be.
func (l *GrantLog) Refuse(now time.Time, g Grant) {
	if t := l.tables[idOf(g)]; t != nil {
		t.refuse(l.advance(now), g.Number)
	}
}

// Finish records the answer of the grant's request.
func (l *GrantLog) Finish(now time.Time, g Grant, o Outcome) {
	if t := l.tables[idOf(g)]; t != nil {
		t.finish(l.advance(now), g.Number, o)
	}
}

// MarkUnknown records that the grant's request may have run and its outcome is unknown.
func (l *GrantLog) MarkUnknown(now time.Time, g Grant) {
	if t := l.tables[idOf(g)]; t != nil {
		t.lose(l.advance(now), g.Number)
	}
}

func idOf(g Grant) granterID {
	return granterID{addr: g.Granter, incarnation: g.Incarnation, generation: g.Executor.Generation}
}

func (l *GrantLog) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	if l.rotated.IsZero() {
		l.rotated = l.latest
	}
	if l.latest.Sub(l.swept) >= expireInterval {
		l.swept = l.latest
		l.rotate()
		l.room.expire(l.latest)
	}
	return l.latest
}

// rotate starts new generations as time passes and forgets all but the last two.
func (l *GrantLog) rotate() {
	passed := l.latest.Sub(l.rotated) / generationPeriod
	if passed == 0 {
		return
	}
	l.rotated = l.rotated.Add(passed * generationPeriod)
	l.life.Generation += uint64(passed)
	for id, t := range l.tables {
		if id.generation+1 < l.life.Generation {
			t.clear()
			delete(l.tables, id)
		}
	}
}
