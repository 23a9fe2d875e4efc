package presence

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/rendezvous"
	"github.com/almondledge/almondledge/internal/service"
)

// Record is a member with this node's own observations of the member.
type Record struct {
	member.Member
	// Since is when this node received the current state.
	Since time.Time
	// failedAt is when the member became suspect or dead without having announced
	// that it would stop. It is zero for members that have not failed.
	failedAt time.Time
	// hash is the rendezvous hash of the address.
	hash rendezvous.Hash
	// index is the position in group.members.
	index int
}

// GroupKey identifies a group of members that can replace each other.
type GroupKey struct {
	DataCentre string
	Kind       member.Kind
	Service    service.ID
}

// group lists the members of one key, including dead ones that are still remembered.
type group struct {
	members []*Record
	// Self-preservation: members that failed since preservedFrom stay routable
	// until preservedUntil, and for longer while no member of the group is alive.
	preservedFrom, preservedUntil time.Time
}

// Table holds the members that one node knows. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[netip.AddrPort]*Record
	groups  map[GroupKey]*group
	// dead lists the dead members in the order in which they were recorded as dead.
	dead []deadEntry
	// sums holds one checksum for each bucket.
	sums    [Buckets]uint32
	version uint64

	// Indexes over groups.
	services    map[service.ID]map[GroupKey]bool
	agentGroups map[string][]GroupKey
	dataCentres []string
	// unreachable holds the data centres with which this node cannot exchange messages.
	unreachable map[string]bool
	// changed holds the services whose candidates may have changed since the last
	// call of TakeChanged. timeDependent holds, for each service, the number of
	// agents whose weight or routability changes with time alone.
	changed       map[service.ID]bool
	timeDependent map[service.ID]int
}

type deadEntry struct {
	addr        netip.AddrPort
	incarnation uint64
	since       time.Time
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg.withDefaults(),
		records: map[netip.AddrPort]*Record{},
		groups:  map[GroupKey]*group{},

		services:      map[service.ID]map[GroupKey]bool{},
		agentGroups:   map[string][]GroupKey{},
		unreachable:   map[string]bool{},
		changed:       map[service.ID]bool{},
		timeDependent: map[service.ID]int{},
	}
}

// Outcome is the result of a merge.
type Outcome uint8

// Outcomes of Merge.
const (
	// Ignored means that the table already had this record or a newer record of the member, or that
	// the record is of a dead member that the table does not know.
	Ignored Outcome = iota
	// LoadChanged means that only the load has changed.
	LoadChanged
	// Changed means that the record was new or newer and is now in the table.
	Changed
)

// Supersedes reports whether record a is newer than record b of the same
// address: a higher incarnation wins; within one incarnation, a higher state. A
// member therefore refutes a suspicion with a higher incarnation.
func Supersedes(a, b member.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Merge merges the record of a member into the table. It ignores dead members
// that the table does not know.
func (t *Table) Merge(now time.Time, m member.Member) Outcome {
	old, known := t.records[m.Addr]
	if !known && m.State == member.Dead {
		return Ignored
	}
	if known && !Supersedes(m, old.Member) {
		return t.mergeLoad(old, m)
	}
	if known {
		t.remove(old)
	}
	r := &Record{Member: m, Since: now, hash: rendezvous.HashAddr(m.Addr)}
	r.failedAt = failureTime(now, m, old)
	t.insert(r)
	if known {
		t.dropIfEmpty(keyOf(old.Member))
	}
	if r.failedAt.Equal(now) {
		t.recordFailure(now, r)
	}
	if m.State == member.Dead {
		t.dead = append(t.dead, deadEntry{m.Addr, m.Incarnation, now})
	}
	return Changed
}

// AddDead adds the record of a dead member that the table does not contain. If the
// member's process was only frozen and resumes, this node then ignores
// announcements with the dead incarnation. Only a joining node calls it: otherwise
// nodes would send each other the records of dead members without end.
func (t *Table) AddDead(now time.Time, m member.Member) {
	if m.State != member.Dead || t.records[m.Addr] != nil {
		return
	}
	t.insert(&Record{Member: m, Since: now, hash: rendezvous.HashAddr(m.Addr)})
	t.dead = append(t.dead, deadEntry{m.Addr, m.Incarnation, now})
}

// failureTime returns when a member failed, or zero if it has not failed. m is the
// member's new record and old its earlier record.
func failureTime(now time.Time, m member.Member, old *Record) time.Time {
	if m.State != member.Suspect && (m.State != member.Dead || announcedStop(old)) {
		return time.Time{}
	}
	if old != nil && !old.failedAt.IsZero() {
		return old.failedAt
	}
	return now
}

// announcedStop reports whether the member itself announced that it would stop.
func announcedStop(r *Record) bool {
	return r != nil && (r.State == member.Draining || r.State == member.Leaving)
}

func (t *Table) mergeLoad(old *Record, m member.Member) Outcome {
	if m.Incarnation != old.Incarnation || m.Sequence <= old.Sequence {
		return Ignored
	}
	old.Sequence = m.Sequence
	if old.Load == m.Load {
		return Ignored
	}
	old.Load = m.Load
	t.version++
	t.markChanged(old, 0)
	return LoadChanged
}

func (t *Table) insert(r *Record) {
	t.records[r.Addr] = r
	key := keyOf(r.Member)
	g := t.groups[key]
	if g == nil {
		g = &group{}
		t.groups[key] = g
		t.link(key)
	}
	t.markChanged(r, 1)
	r.index = len(g.members)
	g.members = append(g.members, r)
	t.toggleSum(r)
	t.version++
}

func (t *Table) remove(r *Record) {
	t.toggleSum(r)
	t.markChanged(r, -1)
	delete(t.records, r.Addr)
	key := keyOf(r.Member)
	g := t.groups[key]
	last := len(g.members) - 1
	g.members[r.index] = g.members[last]
	g.members[r.index].index = r.index
	g.members[last] = nil
	g.members = g.members[:last]
	t.version++
}

// Expire forgets members that have been dead for DeadRetention.
func (t *Table) Expire(now time.Time) {
	for len(t.dead) > 0 && now.Sub(t.dead[0].since) >= t.cfg.DeadRetention {
		d := t.dead[0]
		t.dead = t.dead[1:]
		r := t.records[d.addr]
		if r != nil && r.State == member.Dead && r.Incarnation == d.incarnation {
			t.remove(r)
			t.dropIfEmpty(keyOf(r.Member))
		}
	}
}

func (t *Table) dropIfEmpty(key GroupKey) {
	if g := t.groups[key]; g != nil && len(g.members) == 0 {
		delete(t.groups, key)
		t.unlink(key)
	}
}

// Get returns the record of addr, or nil. Callers must not change it.
func (t *Table) Get(addr netip.AddrPort) *Record { return t.records[addr] }

// Len returns the number of remembered members, dead ones included.
func (t *Table) Len() int { return len(t.records) }

// Version returns a number that grows with each change of the table.
func (t *Table) Version() uint64 { return t.version }

// Group returns the remembered members of key in a stable order. Callers must
// not change the slice or its records.
func (t *Table) Group(key GroupKey) []*Record {
	if g := t.groups[key]; g != nil {
		return g.members
	}
	return nil
}

func keyOf(m member.Member) GroupKey {
	return GroupKey{DataCentre: m.DataCentre, Kind: m.Kind, Service: m.Service}
}
