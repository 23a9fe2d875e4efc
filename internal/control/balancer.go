package control

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// balancer is the part of a Node that keeps the member table and spreads changes.
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
	// ownersDirty asks for ownership to be worked out anew at nextOwners.
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
	b.learnFirstHand(now, n.self)
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

// learn merges a statement that came from another balancer.
func (b *balancer) learn(now time.Time, m member.Member) bool {
	return b.merge(now, m, false)
}

// learnFirstHand merges what a member said to this node, or what this node
// found out itself.
func (b *balancer) learnFirstHand(now time.Time, m member.Member) {
	b.merge(now, m, true)
}

// merge merges a statement into the table, spreads it if it is news, and
// reports whether it was.
func (b *balancer) merge(now time.Time, m member.Member, firstHand bool) bool {
	if m.Addr == b.n.self.Addr && m != b.n.self {
		return b.learnSelf(now, m)
	}
	switch b.table.Merge(now, m) {
	case presence.Changed:
		b.changed(now, m, firstHand)
		return true
	case presence.LoadChanged:
		b.gossip.addLoad(m)
	case presence.Ignored:
		if !firstHand {
			b.gossip.known(m)
		}
	}
	return false
}

// learnSelf answers what others say about this node.
func (b *balancer) learnSelf(now time.Time, m member.Member) bool {
	if presence.Supersedes(m, b.n.self) {
		b.n.raiseIncarnation(now, m.Incarnation)
	}
	return false
}

func (b *balancer) changed(now time.Time, m member.Member, firstHand bool) {
	b.gossip.add(now, m, b.spreadLimit(), firstHand)
	b.detector.changed(now, m)
	if m.Kind == member.Balancer {
		b.ownersDirty = true
	} else if b.judges(m.DataCentre) {
		b.claimAgent(now, m)
	}
	b.n.notify(Notice{Kind: NoticePresence})
}

// spreadLimit is the number of times that a node passes a change on. It grows
// with the logarithm of the data centre's balancers, so that all hear of it.
func (b *balancer) spreadLimit() int {
	balancers := len(b.table.Balancers(b.n.self.DataCentre))
	return gossipFanout * (2 + int(math.Ceil(math.Log10(float64(balancers+1)))))
}

func (b *balancer) handle(now time.Time, from netip.AddrPort, m Message) {
	b.detector.heard(now, from)
	b.reach.heard(now, from)
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

// handleAnnounce merges what an agent says of itself, unless something newer is
// known: then the agent is told and its statement does not count as a heartbeat.
func (b *balancer) handleAnnounce(now time.Time, from netip.AddrPort, m *Announce) {
	self := member.Member(m.Self)
	if self.Addr != from || self.Kind != member.Agent {
		b.n.counters.BadMessages++
		return
	}
	known := b.table.Get(from)
	contested := known != nil && contests(known.Member, self)
	if contested {
		b.n.counters.ContestedAnnouncements++
	} else {
		b.learnFirstHand(now, self)
		b.detector.announced(now, self, m.Revision)
	}
	b.acknowledge(now, from, m, contested)
}

// contests reports whether the known record forbids trust in a direct statement:
// it is of a later incarnation, or a suspicion or death of the same one.
func contests(known, stated member.Member) bool {
	if known.Incarnation != stated.Incarnation {
		return known.Incarnation > stated.Incarnation
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
	leaving := !b.n.self.State.TakesNewFlows() // the agent must find others soon
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
	contest := b.contest(self)
	b.learnAll(now, m.Updates)
	b.learnSender(now, self, m.Revision)
	ack := &PingAck{Sequence: m.Sequence, Self: b.n.record(), Revision: b.n.catalog.Revision()}
	ack.Updates = slices.Concat(contest, b.gossip.piggyback())
	b.n.send(now, ClassProbe, from, ack)
}

// contest returns what overrides the sender's statement about itself, if anything.
func (b *balancer) contest(stated member.Member) memberList {
	known := b.table.Get(stated.Addr)
	if known == nil || !contests(known.Member, stated) {
		return nil
	}
	return memberList{known.Member}
}

func (b *balancer) handlePingAck(now time.Time, from netip.AddrPort, m *PingAck) {
	self := member.Member(m.Self)
	b.learnAll(now, m.Updates)
	if self.Addr == from {
		b.learnSender(now, self, m.Revision)
	}
	b.detector.answered(now, self, m)
}

func (b *balancer) handleGossip(now time.Time, from netip.AddrPort, m *Gossip) {
	self := member.Member(m.Self)
	if self.Addr != from {
		b.n.counters.BadMessages++
		return
	}
	if contest := b.contest(self); contest != nil {
		b.n.send(now, ClassMember, from, &Gossip{Self: b.n.record(), Revision: b.n.catalog.Revision(), Updates: contest})
	}
	b.learnAll(now, m.Updates)
	for _, l := range m.Loads {
		b.learnLoad(now, l)
	}
	b.learnSender(now, self, m.Revision)
}

func (b *balancer) learnAll(now time.Time, updates []member.Member) {
	for _, u := range updates {
		b.learn(now, u)
	}
}

func (b *balancer) learnLoad(now time.Time, l loadReport) {
	r := b.table.Get(l.Addr)
	if r == nil || r.Incarnation != l.Incarnation {
		return
	}
	m := r.Member
	m.Load, m.Sequence = l.Load, l.Sequence
	b.learn(now, m)
}

// learnSender merges the sender's own record, joins through it if this node has
// not joined yet, and pulls the catalog when the sender is ahead.
func (b *balancer) learnSender(now time.Time, sender member.Member, revision int64) {
	if sender.Kind != member.Balancer {
		return
	}
	b.learn(now, sender)
	if revision > b.n.catalog.Revision() {
		b.n.pullCatalog(now, sender.Addr, sender.Stream, 0)
	}
	if !b.joined {
		b.repair.pull(now, sender.Addr, sender.Stream, nil)
	}
}
