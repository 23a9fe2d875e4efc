package presence

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/rendezvous"
	"github.com/almondledge/almondledge/internal/service"
)

// Record is a member with what this node observed of it.
type Record struct {
	member.Member
	// Since is when this node learned of the current state.
	Since time.Time
	// failedAt is when the member became suspect or dead without having
	// announced its end; zero for all others.
	failedAt time.Time
	// hash is that of the address.
	hash rendezvous.Hash
	// index is the position in the group's list.
	index int
}

// GroupKey names the members that can stand in for each other.
type GroupKey struct {
	DataCentre string
	Kind       member.Kind
	Service    service.ID
}

// group lists the members of one key, dead ones included while remembered.
type group struct {
	members []*Record
	// Members that failed since heldFrom stay routable until heldUntil.
	heldFrom, heldUntil time.Time
}

// Table holds the members that one node knows. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[netip.AddrPort]*Record
	groups  map[GroupKey]*group
	// dead lists dead members in the order in which this node learned of them.
	dead    []deadEntry
	sums    [Buckets]uint32
	version uint64

	// Indexes over groups.
	services    map[service.ID]map[GroupKey]bool
	agentGroups map[string][]GroupKey
	dataCentres []string
	// unreachable lists the data centres that this node cannot talk to.
	unreachable map[string]bool
	// changed lists services with news; moving counts the agents of a service
	// whose weight or routability changes with time.
	changed map[service.ID]bool
	moving  map[service.ID]int
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

		services:    map[service.ID]map[GroupKey]bool{},
		agentGroups: map[string][]GroupKey{},
		unreachable: map[string]bool{},
		changed:     map[service.ID]bool{},
		moving:      map[service.ID]int{},
	}
}

// Outcome tells what a merge did.
type Outcome uint8

// Outcomes of Merge.
const (
	// Ignored means that the table knew this or something newer.
	Ignored Outcome = iota
	// LoadChanged means that only the load report is newer.
	LoadChanged
	// Changed means that the statement is newer and now in force.
	Changed
)

// Supersedes reports whether statement a is newer than statement b about the
// same address: a higher incarnation wins; within one incarnation, a higher
// state. A member therefore answers a suspicion with a higher incarnation.
func Supersedes(a, b member.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Merge takes a statement about a member into the table.
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

// AddDead takes the record of a dead member that this node never knew alive, so
// that a process that wakes up is not trusted on that incarnation. Only a joining
// node does so; else dead members would be passed around without end.
func (t *Table) AddDead(now time.Time, m member.Member) {
	if m.State != member.Dead || t.records[m.Addr] != nil {
		return
	}
	t.insert(&Record{Member: m, Since: now, hash: rendezvous.HashAddr(m.Addr)})
	t.dead = append(t.dead, deadEntry{m.Addr, m.Incarnation, now})
}

// failureTime returns when a member that is now in the state of m failed, or
// zero when it did not.
func failureTime(now time.Time, m member.Member, old *Record) time.Time {
	if m.State != member.Suspect && (m.State != member.Dead || announcedEnd(old)) {
		return time.Time{}
	}
	if old != nil && !old.failedAt.IsZero() {
		return old.failedAt
	}
	return now
}

// announcedEnd reports whether a member said itself that it would stop.
func announcedEnd(r *Record) bool {
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
	t.note(old, 0)
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
	t.note(r, 1)
	r.index = len(g.members)
	g.members = append(g.members, r)
	t.toggleSum(r)
	t.version++
}

func (t *Table) remove(r *Record) {
	t.toggleSum(r)
	t.note(r, -1)
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

// Expire forgets members that have been dead for long enough.
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

// Get returns the record of addr, or nil. It must not be changed.
func (t *Table) Get(addr netip.AddrPort) *Record { return t.records[addr] }

// Len returns the number of remembered members, dead ones included.
func (t *Table) Len() int { return len(t.records) }

// Version changes whenever the table changes.
func (t *Table) Version() uint64 { return t.version }

// Group returns the remembered members of key in a stable order; the slice and
// its records must not be changed.
func (t *Table) Group(key GroupKey) []*Record {
	if g := t.groups[key]; g != nil {
		return g.members
	}
	return nil
}

func keyOf(m member.Member) GroupKey {
	return GroupKey{DataCentre: m.DataCentre, Kind: m.Kind, Service: m.Service}
}
