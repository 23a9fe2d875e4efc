package control

import (
	"math"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/contacts"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/service"
)

// Node is the control logic of one process. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	self     member.Member
	catalog  *catalog.Catalog
	budget   *budget
	agent    *agent
	balancer *balancer
	out      []Output
	lastTick time.Time
	sequence uint32
	// contacts are balancers to contact besides the seeds of the configuration.
	contacts contacts.List
	pull     pull
	counters Counters
}

// Counters counts events since the start of the node.
type Counters struct {
	// StaleRefused counts configurations refused because they are older than the active one.
	StaleRefused uint64
	// BadMessages counts messages and records that are invalid, that this node's
	// role does not handle, or that name another sender.
	BadMessages uint64
	// Refutations counts the times that this node raised its incarnation: to refute
	// a suspicion or death, or after a freeze.
	Refutations uint64
	// Suspicions and Deaths count the members that this node declared suspect and dead.
	Suspicions, Deaths uint64
	// ContestedAnnouncements counts announcements refused because a newer record overrides them.
	ContestedAnnouncements uint64
	// FailedPulls counts pulls that failed or whose result could not be applied.
	FailedPulls uint64
	// Freezes counts gaps between ticks above FreezeLimit.
	Freezes uint64
}

// New returns a node that starts at time now.
func New(now time.Time, cfg Config) *Node {
	cfg = cfg.withDefaults()
	if !cfg.Self.Stream.IsValid() {
		cfg.Self.Stream = cfg.Self.Addr
	}
	n := &Node{
		cfg:      cfg,
		self:     cfg.Self,
		catalog:  catalog.New(),
		budget:   newBudget(now, cfg.BytesPerSecond),
		lastTick: now,
	}
	if n.self.Kind == member.Agent {
		n.agent = newAgent(now, n)
		return n
	}
	n.balancer = newBalancer(now, n)
	return n
}

// Tick does the periodic work. It must be called every TickPeriod.
func (n *Node) Tick(now time.Time) []Output {
	if gap := now.Sub(n.lastTick); gap > n.cfg.Timing.FreezeLimit {
		n.resume(now, gap)
	}
	n.lastTick = now
	if n.agent != nil {
		n.agent.tick(now)
	} else {
		n.balancer.tick(now)
	}
	return n.takeOutputs()
}

// resume handles a freeze of this process. Others may have declared it dead, so
// it takes a higher incarnation. It restarts all timeouts, because messages of
// others could not be processed during the gap.
func (n *Node) resume(now time.Time, gap time.Duration) {
	n.counters.Freezes++
	n.notify(Notice{Kind: NoticeFrozen, Gap: gap})
	n.raiseIncarnation(now, n.self.Incarnation)
	if n.agent != nil {
		n.agent.resume(now)
		return
	}
	n.balancer.resume(now)
}

// Handle processes a message that arrived in an authenticated envelope.
func (n *Node) Handle(now time.Time, from netip.AddrPort, m Message) []Output {
	if n.agent != nil {
		n.agent.handle(now, from, m)
	} else {
		n.balancer.handle(now, from, m)
	}
	return n.takeOutputs()
}

// SetState announces a new state of this node. A return to an earlier state
// needs a higher incarnation, since a higher state overrides a lower one.
func (n *Node) SetState(now time.Time, s member.State) []Output {
	if s == n.self.State {
		return nil
	}
	if s < n.self.State {
		n.self.Incarnation++
	}
	n.self.State = s
	n.selfChanged(now)
	return n.takeOutputs()
}

// SetCapacity announces a new capacity of this agent's backend server.
func (n *Node) SetCapacity(now time.Time, capacity uint16) []Output {
	if capacity == n.self.Capacity {
		return nil
	}
	n.self.Capacity = capacity
	n.self.Incarnation++
	n.selfChanged(now)
	return n.takeOutputs()
}

// loadStep is the least change of load that is announced.
const loadStep = 16

// SetLoad sets the load that the next announcement carries. It ignores changes
// smaller than loadStep, except changes to 0 or 255.
func (n *Node) SetLoad(load uint8) {
	step := max(load, n.self.Load) - min(load, n.self.Load)
	if step >= loadStep || load == 0 || load == math.MaxUint8 {
		n.self.Load = load
	}
}

// raiseIncarnation announces an incarnation above contested, unless the current one is above it.
func (n *Node) raiseIncarnation(now time.Time, contested uint64) {
	if contested < n.self.Incarnation {
		return
	}
	n.self.Incarnation = contested + 1
	n.counters.Refutations++
	n.notify(Notice{Kind: NoticeIncarnation, Incarnation: n.self.Incarnation})
	n.selfChanged(now)
}

func (n *Node) selfChanged(now time.Time) {
	if n.agent != nil {
		n.agent.announceNow(now)
		return
	}
	n.balancer.mergeDirect(now, n.self)
}

// Self returns the member record that the node announces.
func (n *Node) Self() member.Member { return n.self }

// Catalog returns the active configuration.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog }

// Table returns the member table of a balancer, and nil for an agent.
func (n *Node) Table() *presence.Table {
	if n.balancer == nil {
		return nil
	}
	return n.balancer.table
}

// Ready reports whether the node has a catalog and, as a balancer, has joined its peers.
func (n *Node) Ready() bool {
	if n.catalog.Revision() == 0 {
		return false
	}
	return n.agent != nil || n.balancer.joined
}

// Watching reports whether this node should watch the store.
func (n *Node) Watching() bool {
	return n.balancer != nil && n.balancer.watching
}

// ReplyTargets returns the balancers through which an agent sends replies.
func (n *Node) ReplyTargets(now time.Time) []netip.AddrPort {
	if n.agent == nil {
		return nil
	}
	return n.agent.replyTargets(now)
}

// Peers returns the agents of the same service that accept new flows and that
// balancers named to this agent within peerLifetime.
func (n *Node) Peers(now time.Time) []member.Member {
	if n.agent == nil {
		return nil
	}
	return n.agent.recentPeers(now)
}

// Usage returns the traffic sent so far, by class.
func (n *Node) Usage() [Classes]Usage { return n.budget.usage }

// Counters returns the event counters.
func (n *Node) Counters() Counters { return n.counters }

// DeltaSince returns the answer to a peer's catalog pull.
func (n *Node) DeltaSince(rev int64, id service.ID) catalog.Delta {
	return n.catalog.DeltaSince(rev, id)
}

// Bucket returns the answer to a peer's member pull. An agent has no member table and returns nil.
func (n *Node) Bucket(buckets ...uint8) []member.Member {
	if n.balancer == nil {
		return nil
	}
	return n.balancer.table.Bucket(buckets...)
}

// ApplyStore applies a delta read from the platform store. An error of kind
// Stale means that the store is older than the active configuration.
func (n *Node) ApplyStore(d catalog.Delta) ([]Output, error) {
	err := n.apply(d)
	return n.takeOutputs(), err
}

// apply applies a delta to the catalog and spreads the new revision.
func (n *Node) apply(d catalog.Delta) error {
	next, err := n.catalog.Apply(d)
	if errkind.Is(err, errkind.Stale) {
		n.counters.StaleRefused++
		n.notify(Notice{Kind: NoticeStale, Err: err})
	}
	if err != nil || next == n.catalog {
		return err
	}
	n.catalog = next
	n.notify(Notice{Kind: NoticeCatalog})
	if n.balancer != nil {
		n.balancer.gossip.spreadRevision(n.balancer.spreadLimit())
	}
	return nil
}

// send encodes m, sends it if the budget of its class allows that, and reports whether it was sent.
func (n *Node) send(now time.Time, class Class, to netip.AddrPort, m Message) bool {
	payload, err := Encode(m)
	if err != nil {
		n.counters.BadMessages++
		return false
	}
	return n.sendPayload(now, class, to, payload)
}

func (n *Node) sendPayload(now time.Time, class Class, to netip.AddrPort, payload []byte) bool {
	if !n.budget.allow(now, class, len(payload)) {
		return false
	}
	n.out = append(n.out, Datagram{To: to, Payload: payload, Class: class})
	return true
}

func (n *Node) notify(notice Notice) {
	n.out = append(n.out, notice)
}

func (n *Node) takeOutputs() []Output {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) nextSequence() uint32 {
	n.sequence++
	return n.sequence
}

// selfRecord returns the record of this node as messages carry it.
func (n *Node) selfRecord() MemberRecord { return MemberRecord(n.self) }

// jitter returns a random duration of at most limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.cfg.Rand.Int64N(int64(limit) + 1))
}
