package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// Assumed sizes of the parts of a gossip message, in bytes, so that messages can
// be filled without encoding them twice.
const (
	gossipHeaderSize = 90
	memberBaseSize   = 46
	loadSize         = 30
	// piggybackMembers is the number of updates that a probe carries.
	piggybackMembers = 4
)

// urgentExtraSends is the number of additional sends of an urgent update. They make
// it less likely that an update stops spreading before it has reached every node: a
// node that gossip does not reach gets the update only by repair, which is slower.
const urgentExtraSends = 2 * gossipFanout

// urgentPause is the time within which only the first update of a member is urgent.
const urgentPause = 5 * time.Second

// rumor is an update that this node is gossiping.
type rumor struct {
	m      member.Member
	urgent bool
	// superseded is set when a later update of the member has replaced this one.
	superseded bool
	// left is the number of sends left.
	left int
}

// gossip spreads updates among balancers. It sends each update a bounded number of
// times, works through each queue in rotation, and sends urgent updates first.
type gossip struct {
	b      *balancer
	rumors map[netip.AddrPort]*rumor
	// unsent queues urgent updates that were not sent yet, urgent queues urgent
	// updates that were sent before, and normal queues all other updates.
	unsent, urgent []*rumor
	normal         []*rumor
	// remote queues direct updates for each other data centre. nextRemote is the
	// index after which sendRemote continues.
	remote     map[string]*remoteQueue
	nextRemote int
	// lastUrgent holds when an update of a member was last urgent.
	lastUrgent map[netip.AddrPort]time.Time
	nextExpiry time.Time

	loadRumors map[netip.AddrPort]*loadRumor
	loads      []*loadRumor

	// revisionLeft is the number of sends left of a new catalog revision.
	revisionLeft int
	nextNormal   time.Time
	nextLoad     time.Time
}

func newGossip(b *balancer) *gossip {
	return &gossip{
		b:          b,
		rumors:     map[netip.AddrPort]*rumor{},
		remote:     map[string]*remoteQueue{},
		lastUrgent: map[netip.AddrPort]time.Time{},
		loadRumors: map[netip.AddrPort]*loadRumor{},
	}
}

// admitUrgent reports whether an update must be sent before all others because its
// member no longer takes new flows. Only the first such update of a member within
// urgentPause is urgent, so that members whose state keeps changing cannot delay
// updates of others. It records the time of an urgent update.
func (g *gossip) admitUrgent(now time.Time, m member.Member) bool {
	if m.State.TakesNewFlows() {
		return false
	}
	last, known := g.lastUrgent[m.Addr]
	if known && now.Sub(last) < urgentPause {
		return false
	}
	g.lastUrgent[m.Addr] = now
	return true
}

// expireUrgent drops expired entries of lastUrgent.
func (g *gossip) expireUrgent(now time.Time) {
	if now.Before(g.nextExpiry) {
		return
	}
	g.nextExpiry = now.Add(urgentPause)
	for addr, last := range g.lastUrgent {
		if now.Sub(last) >= urgentPause {
			delete(g.lastUrgent, addr)
		}
	}
}

// add queues an update; it replaces older updates of the same member. A direct
// update (see balancer.mergeDirect) also goes to each other data centre.
func (g *gossip) add(now time.Time, m member.Member, sends int, direct bool) {
	if old := g.rumors[m.Addr]; old != nil {
		old.left = 0 // fill drops it from its queue
		old.superseded = true
	}
	r := &rumor{m: m, left: sends, urgent: g.admitUrgent(now, m)}
	if r.urgent {
		r.left += urgentExtraSends
	}
	if direct {
		g.addRemote(r)
	}
	g.rumors[m.Addr] = r
	if r.urgent {
		g.unsent = append(g.unsent, r)
	} else {
		g.normal = append(g.normal, r)
	}
}

// spreadRevision makes the next messages announce a new catalog revision, until
// it was sent the given number of times.
func (g *gossip) spreadRevision(sends int) {
	g.revisionLeft = sends
}

func (g *gossip) tick(now time.Time) {
	g.expireUrgent(now)
	g.sendRemote(now)
	if len(g.unsent)+len(g.urgent) > 0 {
		g.send(now, ClassUrgent)
	} else if g.revisionLeft > 0 {
		g.send(now, ClassTicket)
	}
	if len(g.normal) > 0 && !now.Before(g.nextNormal) {
		g.send(now, ClassMember)
		g.nextNormal = now.Add(g.b.n.cfg.Timing.GossipPeriod)
	}
	if len(g.loads) > 0 && !now.Before(g.nextLoad) {
		g.send(now, ClassLoad)
		g.nextLoad = now.Add(loadPeriod)
	}
}

// send builds one message from the queues of a class and sends it to random
// balancers. Every message carries the catalog revision.
func (g *gossip) send(now time.Time, class Class) {
	to := g.targets()
	if len(to) == 0 {
		g.drop()
		return
	}
	room := 0
	for len(to) > 0 {
		room = g.b.n.budget.available(now, class, len(to)) - gossipHeaderSize
		if room >= memberBaseSize+maxDataCentreBytes {
			break
		}
		to = to[:len(to)-1]
	}
	if len(to) == 0 {
		return
	}
	m := &Gossip{Self: g.b.n.selfRecord(), Revision: g.b.n.catalog.Revision()}
	switch class {
	case ClassUrgent:
		m.Updates = g.fill(&g.unsent, &g.urgent, m.Updates, &room, len(to))
		m.Updates = g.fill(&g.urgent, &g.urgent, m.Updates, &room, len(to))
	case ClassMember:
		m.Updates = g.fill(&g.normal, &g.normal, m.Updates, &room, len(to))
	case ClassLoad:
		m.Loads = g.fillLoads(&room, len(to))
	}
	payload, err := Encode(m)
	if err != nil {
		g.b.n.counters.BadMessages++
		return
	}
	for _, addr := range to {
		g.b.n.sendPayload(now, class, addr, payload)
	}
	g.revisionLeft = max(0, g.revisionLeft-len(to))
}

// drop discards all updates, when there is no balancer to send them to. A peer
// that joins later pulls the whole table.
func (g *gossip) drop() {
	clear(g.rumors)
	g.unsent, g.urgent, g.normal = nil, nil, nil
	clear(g.remote)
	clear(g.loadRumors)
	g.loads = nil
	g.revisionLeft = 0
}

// targets returns the balancers for one message: some of this data centre, and
// sometimes one of another.
func (g *gossip) targets() []netip.AddrPort {
	list := g.b.randomBalancers(gossipFanout, g.b.n.self.Addr)
	if len(list) == 0 || g.b.n.cfg.Rand.Float64() < remoteGossipShare {
		if r := g.b.randomRemote(); r != nil {
			list = append(list, r.Addr)
		}
	}
	return list
}

// fill moves rumors from the front of queue into updates while there is room.
// A rumor with sends left is appended to the queue rest.
func (g *gossip) fill(queue, rest *[]*rumor, updates memberList, room *int, sends int) memberList {
	for range len(*queue) {
		r := (*queue)[0]
		size := memberBaseSize + len(r.m.DataCentre)
		if r.left > 0 && (size > *room || len(updates) >= maxMembers) {
			return updates
		}
		*queue = (*queue)[1:]
		if r.left > 0 {
			*room -= size
			updates = append(updates, r.m)
			r.left -= sends
		}
		if r.left > 0 {
			*rest = append(*rest, r)
			continue
		}
		if g.rumors[r.m.Addr] == r {
			delete(g.rumors, r.m.Addr)
		}
	}
	return updates
}

// piggyback returns some urgent updates for a probe. They count as one send each.
func (g *gossip) piggyback() memberList {
	room := piggybackMembers * (memberBaseSize + maxDataCentreBytes)
	updates := g.fill(&g.unsent, &g.urgent, nil, &room, 1)
	return g.fill(&g.urgent, &g.urgent, updates, &room, 1)
}

// countDuplicate reduces the sends left of an update that this node is gossiping
// and also receives from another balancer, because such an update has already
// spread. Updates that take a member out of service are exempt: they must reach
// every node in time.
func (g *gossip) countDuplicate(m member.Member) {
	r := g.rumors[m.Addr]
	if r == nil || !m.State.TakesNewFlows() {
		return
	}
	if r.m.Incarnation == m.Incarnation && r.m.State == m.State {
		r.left -= gossipFanout
	}
}

// forget stops gossiping the update of one member.
func (g *gossip) forget(a netip.AddrPort) {
	if r := g.rumors[a]; r != nil {
		r.left = 0
	}
}
