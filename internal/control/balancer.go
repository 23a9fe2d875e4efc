package control

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// ownerPeriod bounds how often ownership of agents is worked out anew.
const ownerPeriod = time.Second

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
	if m.Kind == member.Balancer || b.judges(m.DataCentre) {
		b.ownersDirty = true
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
	class := ClassHeartbeat
	if contested {
		ack.Contested = memberList{b.table.Get(to).Member}
	}
	if self.State == member.Draining || self.State == member.Leaving {
		class = ClassUrgent
	}
	if contested || m.First || m.Sequence%fullAckEvery == 1 {
		ack.Owners = b.owners(to, self.DataCentre)
	}
	if m.Sequence%fullAckEvery == 1 {
		ack.Balancers = b.sampleBalancers(ackBalancers)
		ack.Peers = b.samplePeers(now, self)
	}
	b.n.send(now, class, to, ack)
}

// Sizes of the samples in an acknowledgement.
const (
	ackBalancers = 3
	ackPeers     = 3
)

// owners returns the balancers that should observe an agent: those of its data
// centre, or any when it has none alive.
func (b *balancer) owners(agent netip.AddrPort, dataCentre string) []netip.AddrPort {
	candidates := b.table.Balancers(dataCentre)
	if !b.hasBalancers(dataCentre) {
		candidates = nil
		for _, other := range b.table.DataCentres() {
			candidates = append(candidates, b.table.Balancers(other)...)
		}
	}
	return presence.Rank(presence.AddrKey(agent), candidates, observers)
}

// hasBalancers reports whether a data centre has a live balancer.
func (b *balancer) hasBalancers(dataCentre string) bool {
	for _, r := range b.table.Balancers(dataCentre) {
		if r.State.TakesNewFlows() {
			return true
		}
	}
	return false
}

// judges reports whether this node takes part in judging the members of a data
// centre: its own, and those that have no balancer to do it.
func (b *balancer) judges(dataCentre string) bool {
	return dataCentre == b.n.self.DataCentre || !b.hasBalancers(dataCentre)
}

func (b *balancer) sampleBalancers(n int) addrList {
	var list addrList
	for range n {
		if r := b.randomBalancer(b.n.self.DataCentre); r != nil {
			list = append(list, r.Addr)
		}
	}
	return list
}

// samplePeers returns willing agents of the same service, those of the same data centre first.
func (b *balancer) samplePeers(now time.Time, self member.Member) memberList {
	key := presence.GroupKey{DataCentre: self.DataCentre, Kind: member.Agent, Service: self.Service}
	list := b.sampleGroup(now, nil, b.table.Group(key), self.Addr)
	if len(list) < ackPeers {
		for _, c := range b.table.Candidates(now, self.Service) {
			if c.DataCentre != self.DataCentre && c.State.TakesNewFlows() && len(list) < ackPeers {
				list = append(list, c.Member)
			}
		}
	}
	return list
}

func (b *balancer) sampleGroup(now time.Time, list memberList, group []*presence.Record, except netip.AddrPort) memberList {
	if len(group) == 0 {
		return list
	}
	offset := b.n.cfg.Rand.IntN(len(group))
	for i := range group {
		r := group[(offset+i)%len(group)]
		if len(list) < ackPeers && r.Addr != except && r.State.TakesNewFlows() && b.table.Routable(now, r) {
			list = append(list, r.Member)
		}
	}
	return list
}

// pickAttempts bounds the random draws for one live balancer.
const pickAttempts = 8

// randomBalancer returns a random live balancer of a data centre, or nil.
func (b *balancer) randomBalancer(dataCentre string) *presence.Record {
	group := b.table.Balancers(dataCentre)
	if len(group) == 0 {
		return nil
	}
	for range pickAttempts {
		r := group[b.n.cfg.Rand.IntN(len(group))]
		if r.Addr != b.n.self.Addr && isReachable(r) {
			return r
		}
	}
	return nil
}

// randomRemote returns a random live balancer of another data centre, or nil.
func (b *balancer) randomRemote() *presence.Record {
	centres := b.table.DataCentres()
	if len(centres) == 0 {
		return nil
	}
	dataCentre := centres[b.n.cfg.Rand.IntN(len(centres))]
	if dataCentre == b.n.self.DataCentre {
		return nil
	}
	return b.randomBalancer(dataCentre)
}

// isReachable reports whether control messages to a balancer make sense.
func isReachable(r *presence.Record) bool {
	return r.State != member.Suspect && r.State != member.Dead
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

// Joining.
const (
	// joinRetry is the time between attempts to join.
	joinRetry = 500 * time.Millisecond
	// joinTimeout is how long a node looks for peers before it runs alone.
	joinTimeout = 5 * time.Second
	// joinContacts is the number of seeds contacted at a time.
	joinContacts = 3
)

// join contacts seeds until a peer's table is merged. Afterwards it goes on
// contacting seeds and dead balancers now and then, so that parts of the fleet
// that gave each other up find together again.
func (b *balancer) join(now time.Time) {
	if now.Before(b.nextJoin) {
		return
	}
	if !b.joined && now.Sub(b.started) >= joinTimeout {
		b.joined = true
	}
	if b.joined {
		b.nextJoin = now.Add(b.n.cfg.Timing.RejoinPeriod + b.n.jitter(b.n.cfg.Timing.RejoinPeriod))
		b.rejoin(now)
		return
	}
	b.nextJoin = now.Add(joinRetry)
	seeds := b.n.cfg.Seeds
	for range min(joinContacts, len(seeds)) {
		b.contact(now, seeds[b.n.cfg.Rand.IntN(len(seeds))])
	}
}

func (b *balancer) rejoin(now time.Time) {
	if seeds := b.n.cfg.Seeds; len(seeds) > 0 {
		seed := seeds[b.n.cfg.Rand.IntN(len(seeds))]
		if r := b.table.Get(seed); r == nil || !isReachable(r) {
			b.contact(now, seed)
		}
	}
	group := b.table.Balancers(b.n.self.DataCentre)
	if len(group) == 0 {
		return
	}
	if r := group[b.n.cfg.Rand.IntN(len(group))]; !isReachable(r) {
		b.contact(now, r.Addr)
	}
}

// contactFar pings a seed and a balancer of another data centre, to find out
// whether this node can receive at all.
func (b *balancer) contactFar(now time.Time) {
	if seeds := b.n.cfg.Seeds; len(seeds) > 0 {
		b.contact(now, seeds[b.n.cfg.Rand.IntN(len(seeds))])
	}
	if r := b.randomRemote(); r != nil {
		b.contact(now, r.Addr)
	}
}

// contact pings a member and tells it what this node holds against it.
func (b *balancer) contact(now time.Time, to netip.AddrPort) {
	if to == b.n.self.Addr {
		return
	}
	ping := &Ping{Sequence: b.n.nextSequence(), Self: b.n.record(), Revision: b.n.catalog.Revision()}
	if r := b.table.Get(to); r != nil && !isReachable(r) {
		ping.Updates = memberList{r.Member}
	}
	b.n.send(now, ClassProbe, to, ping)
}

// updateOwners works out which agents this node must observe and whether it
// watches the store, after balancers have come or gone.
func (b *balancer) updateOwners(now time.Time) {
	if !b.ownersDirty || now.Before(b.nextOwners) {
		return
	}
	b.ownersDirty = false
	b.nextOwners = now.Add(ownerPeriod)
	b.updateWatching()
	for _, dataCentre := range b.table.AgentDataCentres() {
		if b.judges(dataCentre) {
			b.claimAgents(now, dataCentre)
		}
	}
}

// claimAgents starts to observe the agents of a data centre that this node owns.
func (b *balancer) claimAgents(now time.Time, dataCentre string) {
	b.table.Agents(dataCentre, func(r *presence.Record) {
		if r.State == member.Dead || b.detector.observes(r.Addr) {
			return
		}
		for _, owner := range b.owners(r.Addr, r.DataCentre) {
			if owner == b.n.self.Addr {
				b.detector.observe(now, r.Addr)
			}
		}
	})
}

func (b *balancer) updateWatching() {
	watching := false
	dataCentre := b.n.self.DataCentre
	for _, a := range presence.Rank([]byte(dataCentre), b.table.Balancers(dataCentre), watchers) {
		watching = watching || a == b.n.self.Addr
	}
	if watching == b.watching {
		return
	}
	b.watching = watching
	b.n.notify(Notice{Kind: NoticeWatcher})
}

// thaw restarts all waits after the process was frozen.
func (b *balancer) thaw(now time.Time) {
	b.detector.thaw(now)
	b.reach.thaw(now)
	b.n.pull.until = time.Time{}
	b.repair.pulling = time.Time{}
}
