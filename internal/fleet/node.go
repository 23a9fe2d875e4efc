package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// record is a member with what this node observed of it.
type record struct {
	Member
	// sumCache is the hash of the statement.
	sumCache uint64
	// since is when the current statement came into force here.
	since time.Time
}

// Node is the membership logic of one process. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    *record
	records map[netip.AddrPort]*record
	// local and remote are the other members of the own data centre and of all others.
	local, remote circle
	// sum is the hash of the whole table: the exclusive or of all statements.
	sum   uint64
	queue []news
	// fading holds the members that are not alive, whose time will end.
	fading map[netip.AddrPort]*record
	// recent lists members whose statements changed last, the newest at the end.
	recent   []netip.AddrPort
	probes   map[uint32]*probe
	relays   map[uint32]relay
	sequence uint32
	joined   bool
	// greetings is the number of members that this one may still greet.
	greetings int

	lastTick, nextProbe, nextJoin, nextCompare time.Time
	// nextFetch is when a whole table may be fetched again, and lastFetch when the last
	// one was taken.
	nextFetch, lastFetch time.Time
	// lastHeard is when any other member was heard last.
	lastHeard time.Time

	out    []Send
	events []Event
}

// New returns a node that starts at time now.
func New(now time.Time, cfg Config) *Node {
	n := &Node{
		cfg:       cfg,
		records:   map[netip.AddrPort]*record{},
		fading:    map[netip.AddrPort]*record{},
		probes:    map[uint32]*probe{},
		relays:    map[uint32]relay{},
		lastTick:  now,
		lastHeard: now,
		lastFetch: now,
		greetings: maxGreetings,
	}
	cfg.Self.Revision = 1
	n.self = &record{Member: cfg.Self, since: now}
	n.self.sumCache = n.self.sum()
	n.records[cfg.Self.Addr] = n.self
	n.sum = n.self.sumCache
	n.events = append(n.events, Event{Kind: SelfChanged, Member: n.self.Member})
	return n
}

// Tick lets time pass; call it every TickPeriod.
func (n *Node) Tick(now time.Time) ([]Send, []Event) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	if gap > freezeLimit {
		n.thaw(now, gap)
	}
	n.checkProbes(now)
	n.checkSuspects(now)
	if !now.Before(n.nextJoin) {
		n.contactSeeds(now)
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(probePeriod)
		n.startProbe(now)
	}
	return n.take()
}

// thaw follows a time in which this process did not run: silence of others proves
// nothing, and others may have taken this member for dead.
func (n *Node) thaw(now time.Time, gap time.Duration) {
	n.events = append(n.events, Event{Kind: Frozen, Gap: gap})
	clear(n.probes)
	n.lastHeard = now
	for _, r := range n.records {
		if r.Liveness == Suspect {
			r.since = now
		}
	}
	n.nextJoin = now
	n.restate(now)
}

// SetBackend announces a new state of this agent's backend server.
func (n *Node) SetBackend(now time.Time, b Backend) ([]Send, []Event) {
	if b != n.self.Backend {
		n.self.Backend = b
		n.restate(now)
	}
	return n.take()
}

// Leave announces that this process is about to end.
func (n *Node) Leave(now time.Time) ([]Send, []Event) {
	n.self.Liveness, n.self.LeaveAnnounced = Leaving, true
	n.restate(now)
	return n.take()
}

// SetLoad replaces the source of this member's load.
func (n *Node) SetLoad(load func() Load) { n.cfg.Load = load }

// AddSeeds adds members to contact, such as those listed in the platform's store.
// Until one has answered they are contacted with the next tick.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	if !n.joined {
		n.nextJoin = time.Time{}
	}
	for _, seed := range seeds {
		if seed != n.self.Addr && !slices.Contains(n.cfg.Seeds, seed) {
			n.cfg.Seeds = append(slices.Clone(n.cfg.Seeds), seed)
		}
	}
}

// SetSeeds replaces the members to contact first, after the settings changed.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.cfg.Seeds = slices.Clone(seeds) }

// Isolated reports whether this member hears nobody though it knows others.
func (n *Node) Isolated(now time.Time) bool {
	return len(n.records) > 1 && now.Sub(n.lastHeard) >= isolationTimeout
}

// Joined reports whether another member has answered with its table.
func (n *Node) Joined() bool { return n.joined }

// Self returns this member's own statement.
func (n *Node) Self() Member { return n.self.Member }

// Len returns the number of members, dead ones included.
func (n *Node) Len() int { return len(n.records) }

// Count returns the number of members of a liveness.
func (n *Node) Count(l Liveness) int {
	count := 0
	for _, r := range n.records {
		if r.Liveness == l {
			count++
		}
	}
	return count
}

// Members returns all statements in the order of their addresses, dead members included.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.records))
	for _, r := range n.records {
		members = append(members, r.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return members
}

// restate spreads a new statement of this member about itself.
func (n *Node) restate(now time.Time) {
	n.self.Revision++
	n.replace(now, n.self, n.self.Member)
	n.events = append(n.events, Event{Kind: SelfChanged, Member: n.self.Member})
	n.spread(n.self.Addr)
}

// replace puts a statement in force.
func (n *Node) replace(now time.Time, r *record, m Member) {
	n.sum ^= r.sumCache
	r.Member = m
	r.sumCache = m.sum()
	r.since = now
	n.sum ^= r.sumCache
	if m.Liveness == Alive || r == n.self {
		delete(n.fading, m.Addr)
	} else {
		n.fading[m.Addr] = r
	}
	n.recent = slices.DeleteFunc(n.recent, func(a netip.AddrPort) bool { return a == m.Addr })
	n.recent = append(n.recent[max(0, len(n.recent)-recentMembers+1):], m.Addr)
}

// learn takes a statement of another member into the table if it is new.
func (n *Node) learn(now time.Time, m Member) {
	if n.fill(now, m) {
		n.spread(m.Addr)
	}
}

// fill takes a statement into the table without passing it on, and reports whether it
// was new.
func (n *Node) fill(now time.Time, m Member) bool {
	if m.Addr == n.self.Addr {
		n.refute(now, m)
		return false
	}
	r := n.records[m.Addr]
	if r == nil {
		if m.Liveness == Dead && n.joined {
			return false // news of somebody who was never met here
		}
		r = &record{}
		n.records[m.Addr] = r
		n.circleOf(m.DataCentre).insert(m.Addr, n.cfg.Rand)
	} else if !Supersedes(&m, &r.Member) {
		n.heardAgain(&m, r)
		return false
	}
	n.replace(now, r, m)
	n.events = append(n.events, Event{Kind: MemberChanged, Member: m})
	return true
}

// refute answers a statement about this member that others hold against it.
func (n *Node) refute(now time.Time, m Member) {
	if !Supersedes(&m, &n.self.Member) {
		return
	}
	n.self.Incarnation = max(n.self.Incarnation, m.Incarnation)
	n.self.Revision = max(n.self.Revision, m.Revision)
	if m.Incarnation > n.cfg.Self.Incarnation {
		n.self.Incarnation = m.Incarnation + 1
	}
	n.events = append(n.events, Event{Kind: Refuted, Member: m})
	n.restate(now)
}
