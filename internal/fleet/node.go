package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/contacts"
)

// tableEntry is a member's record in the table of this node.
type tableEntry struct {
	Member
	// sumCache is the hash of the record.
	sumCache uint64
	// since is when this node set the record.
	since time.Time
}

// Node is the membership state machine of one process. It is not safe for concurrent use.
type Node struct {
	cfg   Config
	self  *tableEntry
	table map[netip.AddrPort]*tableEntry
	// local holds the other members of the local data centre, remote the members of all other data centres.
	local, remote probeOrder
	// sum is the hash of the whole table: the exclusive or of the hashes of all records.
	sum   uint64
	queue []update
	// expiring holds the members that are not alive; each of their states has a timeout.
	expiring map[netip.AddrPort]*tableEntry
	// recent lists the members whose records changed last, the newest at the end.
	recent []netip.AddrPort
	probes map[uint32]*probe
	// contacts are members to contact besides the seeds.
	contacts contacts.List
	relays   map[uint32]relay
	sequence uint32
	joined   bool
	// complete is the evidence that the table is complete. heardComplete is set once a member with a complete table has sent
	// a message.
	complete      Evidence
	heardComplete bool
	// started is when this node started, without the time in which it was frozen. lastNewMember is when the last member was
	// added to the table.
	started, lastNewMember time.Time
	// badRecords counts the records that were left out because a field was out of range.
	badRecords int
	// introductionsLeft is the number of members to which this member may still introduce itself.
	introductionsLeft int

	lastTick, nextProbe, nextJoin, nextCompare time.Time
	// nextFetch is the earliest time of the next fetch of a whole table, lastFetch the time at which a
	// fetched table was last merged.
	nextFetch, lastFetch time.Time
	// lastReceived is when the last message of any other member arrived.
	lastReceived time.Time

	out    []Send
	events []Event
}

// New returns a node that starts at time now.
func New(now time.Time, cfg Config) *Node {
	n := &Node{
		cfg:               cfg,
		table:             map[netip.AddrPort]*tableEntry{},
		expiring:          map[netip.AddrPort]*tableEntry{},
		probes:            map[uint32]*probe{},
		relays:            map[uint32]relay{},
		lastTick:          now,
		lastReceived:      now,
		lastFetch:         now,
		introductionsLeft: maxIntroductions,
		started:           now,
	}
	cfg.Self.Revision = 1
	n.self = &tableEntry{Member: cfg.Self, since: now}
	n.self.sumCache = n.self.sum()
	n.table[cfg.Self.Addr] = n.self
	n.sum = n.self.sumCache
	n.events = append(n.events, Event{Kind: SelfChanged, Member: n.self.Member})
	return n
}

// Tick runs the timers; call it every TickPeriod.
func (n *Node) Tick(now time.Time) ([]Send, []Event) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	if gap > freezeLimit {
		n.resumeAfterFreeze(now, gap)
	}
	n.checkProbes(now)
	n.checkSuspects(now)
	n.checkUptime(now)
	if !now.Before(n.nextJoin) {
		n.contactSeeds(now)
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(probePeriod)
		n.startProbe(now)
	}
	return n.takeOutput()
}

// resumeAfterFreeze handles a gap in which this process did not run. Answers missing after the gap prove
// nothing, so probes and suspicions start anew. Other members may have declared this member dead, so it
// publishes a new record.
func (n *Node) resumeAfterFreeze(now time.Time, gap time.Duration) {
	n.events = append(n.events, Event{Kind: Frozen, Gap: gap})
	clear(n.probes)
	n.lastReceived = now
	n.started = n.started.Add(gap)
	for _, r := range n.table {
		if r.Liveness == Suspect {
			r.since = now
		}
	}
	n.nextJoin = now
	n.publishSelf(now)
}

// SetBackend publishes a new state of this agent's backend server.
func (n *Node) SetBackend(now time.Time, b Backend) ([]Send, []Event) {
	if b != n.self.Backend {
		n.self.Backend = b
		n.publishSelf(now)
	}
	return n.takeOutput()
}

// Leave publishes that this process is about to end.
func (n *Node) Leave(now time.Time) ([]Send, []Event) {
	n.self.Liveness, n.self.LeaveAnnounced = Leaving, true
	n.publishSelf(now)
	return n.takeOutput()
}

// SetLoad replaces the function that returns this member's load.
func (n *Node) SetLoad(load func() Load) { n.cfg.Load = load }

// AddContacts adds members to contact besides the seeds, such as those listed in the platform's store. Those that are not
// considered alive are contacted from the next tick on.
func (n *Node) AddContacts(found []netip.AddrPort) {
	n.contacts = n.contacts.Add(found)
	n.nextJoin = time.Time{}
}

// SetSeeds replaces the seeds after a change of the settings.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.cfg.Seeds = slices.Clone(seeds) }

// Isolated reports whether this member knows other members but has received no message for isolationTimeout.
func (n *Node) Isolated(now time.Time) bool {
	return len(n.table) > 1 && now.Sub(n.lastReceived) >= isolationTimeout
}

// AliveCount returns the number of members that are alive, this member included.
func (n *Node) AliveCount() int { return len(n.table) - len(n.expiring) }

// Liveness returns the liveness of a member, or false if the member is unknown.
func (n *Node) Liveness(a netip.AddrPort) (Liveness, bool) {
	r := n.table[a]
	if r == nil {
		return 0, false
	}
	return r.Liveness, true
}

// Joined reports whether another member has answered with its table.
func (n *Node) Joined() bool { return n.joined }

// Self returns this member's own record.
func (n *Node) Self() Member { return n.self.Member }

// Len returns the number of members, including dead ones.
func (n *Node) Len() int { return len(n.table) }

// BadRecords returns the number of records that were left out because a field was out of range.
func (n *Node) BadRecords() int { return n.badRecords }

// Count returns the number of members with the given liveness.
func (n *Node) Count(l Liveness) int {
	count := 0
	for _, r := range n.table {
		if r.Liveness == l {
			count++
		}
	}
	return count
}

// Members returns all records sorted by address, including dead members.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.table))
	for _, r := range n.table {
		members = append(members, r.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return members
}

// publishSelf increments the revision of this member's own record, or its incarnation after the highest revision, and
// gossips the record.
func (n *Node) publishSelf(now time.Time) {
	if n.self.Revision >= maxRevision {
		n.self.Incarnation++
		n.self.Revision = 0
	}
	n.self.Revision++
	n.setRecord(now, n.self, n.self.Member)
	n.events = append(n.events, Event{Kind: SelfChanged, Member: n.self.Member})
	n.gossip(n.self.Addr)
}

// setRecord replaces the record of a table entry. The record has been valid since the given time.
func (n *Node) setRecord(since time.Time, r *tableEntry, m Member) {
	n.sum ^= r.sumCache
	r.Member = m
	r.sumCache = m.sum()
	r.since = since
	n.sum ^= r.sumCache
	if m.Liveness == Alive || r == n.self {
		delete(n.expiring, m.Addr)
	} else {
		n.expiring[m.Addr] = r
	}
	n.recent = slices.DeleteFunc(n.recent, func(a netip.AddrPort) bool { return a == m.Addr })
	n.recent = append(n.recent[max(0, len(n.recent)-recentMembers+1):], m.Addr)
}

// applyUpdate merges a record and gossips the record if it is new.
func (n *Node) applyUpdate(now time.Time, m Member) {
	if n.mergeRecord(now, m, time.Time{}) {
		n.gossip(m.Addr)
	}
}

// mergeRecord merges a record into the table without gossiping it, and reports whether it was new. A record with a
// field out of range is left out. For a dead member, died is the time of its death, or zero if it is not stated.
func (n *Node) mergeRecord(now time.Time, m Member, died time.Time) bool {
	if m.Validate() != nil {
		n.badRecords++
		return false
	}
	if m.Addr == n.self.Addr {
		n.refute(now, m)
		return false
	}
	r := n.table[m.Addr]
	if r == nil {
		if m.Liveness == Dead && !n.mayLearnOfDeath(now, died) {
			return false
		}
		r = &tableEntry{}
		n.table[m.Addr] = r
		n.lastNewMember = now
		n.probeOrderOf(m.DataCentre).insert(m.Addr, n.cfg.Rand)
	} else if !Supersedes(&m, &r.Member) {
		n.noteDuplicate(&m, r)
		return false
	}
	since := now
	if m.Liveness == Dead && !died.IsZero() {
		since = died
	}
	n.setRecord(since, r, m)
	n.events = append(n.events, Event{Kind: MemberChanged, Member: m})
	return true
}

// refute publishes a newer record of this member if other members have a record that supersedes the current
// one.
func (n *Node) refute(now time.Time, m Member) {
	if !Supersedes(&m, &n.self.Member) {
		return
	}
	n.self.Incarnation, n.self.Revision = m.Incarnation, m.Revision
	if m.Incarnation > n.cfg.Self.Incarnation && m.Incarnation < maxMillis {
		n.self.Incarnation, n.self.Revision = m.Incarnation+1, 0
	}
	n.events = append(n.events, Event{Kind: Refuted, Member: m})
	n.publishSelf(now)
}
