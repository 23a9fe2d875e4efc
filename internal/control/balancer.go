package control

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// balancer is the part of a Node that keeps the member table and gossips changes.
type balancer struct {
	n        *Node
	table    *presence.Table
	gossip   *gossip
	detector *detector
	repair   *repair
	reach    *reach
	status   *status
	// joined is set once a peer's table was merged, or no peer could be found.
	joined   bool
	started  time.Time
	nextJoin time.Time
	// watching reports whether this node should watch the store.
	watching bool
	// ownersDirty is set when the ownership of agents must be recomputed, at nextOwners.
	ownersDirty bool
	nextOwners  time.Time
}

func newBalancer(now time.Time, n *Node) *balancer {
	b := &balancer{n: n, table: presence.NewTable(n.cfg.Presence), started: now, ownersDirty: true}
	b.gossip = newGossip(b)
	b.detector = newDetector(now, b)
	b.repair = newRepair(now, b)
	b.reach = newReach(b)
	b.status = &status{b: b}
	b.mergeDirect(now, n.self)
	return b
}

func (b *balancer) tick(now time.Time) {
	b.table.Expire(now)
	b.join(now)
	b.updateOwners(now)
	b.detector.tick(now)
	b.reach.tick(now)
	b.repair.tick(now)
	b.status.tick(now)
	b.gossip.tick(now)
}

// mergeUpdate merges a record that another balancer sent, or the death of a
// suspected member, which the other balancers of the data centre declare as well
// when the suspicion ends. It reports whether the record was new.
func (b *balancer) mergeUpdate(now time.Time, m member.Member) bool {
	return b.merge(now, m, false)
}

// mergeDirect merges a record that originates at this node: from a message of the
// member itself, or from this node's own probes.
func (b *balancer) mergeDirect(now time.Time, m member.Member) {
	b.merge(now, m, true)
}

// merge merges a record into the table, gossips a new record, and reports whether
// the record was new. A direct record is also sent to each other data centre.
func (b *balancer) merge(now time.Time, m member.Member, direct bool) bool {
	if m.Addr == b.n.self.Addr && m != b.n.self {
		return b.refute(now, m)
	}
	switch b.table.Merge(now, m) {
	case presence.Changed:
		b.handleChange(now, m, direct)
		return true
	case presence.LoadChanged:
		b.gossip.addLoad(m)
	case presence.Ignored:
		if !direct {
			b.gossip.countDuplicate(m)
		}
	}
	return false
}

// refute raises this node's incarnation if others have a record of it that supersedes its own.
func (b *balancer) refute(now time.Time, m member.Member) bool {
	if presence.Supersedes(m, b.n.self) {
		b.n.raiseIncarnation(now, m.Incarnation)
	}
	return false
}

func (b *balancer) handleChange(now time.Time, m member.Member, direct bool) {
	b.gossip.add(now, m, b.spreadLimit(), direct)
	b.detector.stateChanged(now, m)
	if m.Kind == member.Balancer {
		b.ownersDirty = true
	} else if b.monitors(m.DataCentre) {
		b.observeIfOwned(now, m)
	}
	b.n.notify(Notice{Kind: NoticePresence})
}

// spreadLimit is the number of times that a node sends an update. It grows with
// the logarithm of the number of balancers in the data centre, so that the
// update reaches all of them.
func (b *balancer) spreadLimit() int {
	balancers := len(b.table.Balancers(b.n.self.DataCentre))
	return gossipFanout * (2 + int(math.Ceil(math.Log10(float64(balancers+1)))))
}

func (b *balancer) handle(now time.Time, from netip.AddrPort, m Message) {
	b.detector.recordInbound(now, from)
	b.reach.recordInbound(now, from)
	switch m := m.(type) {
	case *Announce:
		b.handleAnnounce(now, from, m)
	case *Ping:
		b.handlePing(now, from, m)
	case *PingAck:
		b.handlePingAck(now, from, m)
	case *PingRequest:
		b.detector.relay(now, from, m)
	case *Gossip:
		b.handleGossip(now, from, m)
	case *Digest:
		b.repair.handleDigest(now, from, m)
	case *StatusQuery:
		b.status.handleQuery(now, from, m)
	case *StatusReply:
		b.status.handleReply(from, m)
	default:
		b.n.counters.BadMessages++
	}
}

// handleAnnounce merges an agent's announcement of itself. If a known record
// overrides the announcement, the acknowledgement carries that record, and the
// announcement is not merged and does not count as a heartbeat.
func (b *balancer) handleAnnounce(now time.Time, from netip.AddrPort, m *Announce) {
	self := member.Member(m.Self)
	if self.Addr != from || self.Kind != member.Agent {
		b.n.counters.BadMessages++
		return
	}
	known := b.table.Get(from)
	contested := known != nil && overrides(known.Member, self)
	if contested {
		b.n.counters.ContestedAnnouncements++
	} else {
		b.mergeDirect(now, self)
		b.detector.recordAnnouncement(now, self, m.Revision)
	}
	b.acknowledge(now, from, m, contested)
}

// overrides reports whether the known record makes an announcement invalid: the
// known incarnation is higher, or it is the same and the known state is suspect or
// dead.
func overrides(known, announced member.Member) bool {
	if known.Incarnation != announced.Incarnation {
		return known.Incarnation > announced.Incarnation
	}
	return known.State == member.Suspect || known.State == member.Dead
}

func (b *balancer) acknowledge(now time.Time, to netip.AddrPort, m *Announce, contested bool) {
	self := member.Member(m.Self)
	ack := &AnnounceAck{
		Sequence:        m.Sequence,
		Stream:          addr(b.n.self.Stream),
		Revision:        b.n.catalog.Revision(),
		ServiceRevision: b.n.catalog.ServiceRevision(self.Service),
	}
	if contested {
		ack.Contested = memberList{b.table.Get(to).Member}
	}
	leaving := !b.n.self.State.TakesNewFlows() // the agent must find other balancers soon
	ack.Leaving = leaving
	if contested || leaving || m.First || m.Sequence%fullAckEvery == 1 {
		ack.Owners = b.owners(to, self.DataCentre)
	}
	if m.Sequence%fullAckEvery == 1 {
		ack.Balancers = b.sampleBalancers(ackBalancers)
		ack.Peers = b.samplePeers(now, self)
	}
	b.n.send(now, ClassHeartbeat, to, ack)
}

func (b *balancer) handlePing(now time.Time, from netip.AddrPort, m *Ping) {
	self := member.Member(m.Self)
	if self.Addr != from {
		b.n.counters.BadMessages++
		return
	}
	overriding := b.overriding(self)
	b.mergeUpdates(now, m.Updates)
	b.mergeSender(now, self, m.Revision)
	ack := &PingAck{Sequence: m.Sequence, Self: b.n.selfRecord(), Revision: b.n.catalog.Revision()}
	ack.Updates = slices.Concat(overriding, b.gossip.piggyback())
	b.n.send(now, ClassProbe, from, ack)
}

// overriding returns the record that overrides the sender's announcement of
// itself, or an empty list.
func (b *balancer) overriding(announced member.Member) memberList {
	known := b.table.Get(announced.Addr)
	if known == nil || !overrides(known.Member, announced) {
		return nil
	}
	return memberList{known.Member}
}

func (b *balancer) handlePingAck(now time.Time, from netip.AddrPort, m *PingAck) {
	self := member.Member(m.Self)
	b.mergeUpdates(now, m.Updates)
	if self.Addr == from {
		b.mergeSender(now, self, m.Revision)
	}
	b.detector.handleAck(now, self, m)
}

func (b *balancer) handleGossip(now time.Time, from netip.AddrPort, m *Gossip) {
	self := member.Member(m.Self)
	if self.Addr != from {
		b.n.counters.BadMessages++
		return
	}
	if overriding := b.overriding(self); overriding != nil {
		b.n.send(now, ClassMember, from, &Gossip{Self: b.n.selfRecord(), Revision: b.n.catalog.Revision(), Updates: overriding})
	}
	b.mergeUpdates(now, m.Updates)
	for _, l := range m.Loads {
		b.mergeLoad(now, l)
	}
	b.mergeSender(now, self, m.Revision)
}

func (b *balancer) mergeUpdates(now time.Time, updates []member.Member) {
	for _, u := range updates {
		b.mergeUpdate(now, u)
	}
}

func (b *balancer) mergeLoad(now time.Time, l loadReport) {
	r := b.table.Get(l.Addr)
	if r == nil || r.Incarnation != l.Incarnation {
		return
	}
	m := r.Member
	m.Load, m.Sequence = l.Load, l.Sequence
	b.mergeUpdate(now, m)
}

// mergeSender merges the sender's own record if it is a balancer, joins through
// it if this node has not joined yet, and pulls the catalog when the sender is ahead.
func (b *balancer) mergeSender(now time.Time, sender member.Member, revision int64) {
	if sender.Kind != member.Balancer {
		return
	}
	b.mergeUpdate(now, sender)
	if revision > b.n.catalog.Revision() {
		b.n.pullCatalog(now, sender.Addr, sender.Stream, 0)
	}
	if !b.joined {
		b.repair.pull(now, sender.Addr, sender.Stream, nil)
	}
}
