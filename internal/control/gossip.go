package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// Sizes in gossip messages, in bytes, used to fill messages without encoding twice.
const (
	gossipHeaderSize = 90
	memberBaseSize   = 46
	loadSize         = 30
	// piggybackMembers is the number of changes that a probe carries.
	piggybackMembers = 4
)

// urgentExtraSends makes it less likely that urgent news dies out before the last
// node has heard it: that node would learn it by repair only, which is slower.
const urgentExtraSends = 2 * gossipFanout

// urgentPause is the time in which only the first news of a member is urgent.
const urgentPause = 5 * time.Second

// rumor is a change that is being passed on.
type rumor struct {
	m      member.Member
	urgent bool
	// superseded is set when later news of the member has replaced this.
	superseded bool
	// left is the number of sends left.
	left int
}

// gossip spreads changes among balancers: each is sent a bounded number of
// times, the queues are served in turn, and urgent ones go first.
type gossip struct {
	b      *balancer
	rumors map[netip.AddrPort]*rumor
	// fresh holds urgent news that was not sent yet, urgent the rest of it.
	fresh, urgent []*rumor
	normal        []*rumor
	// remote holds the first-hand news for each other data centre; nextRemote is
	// the place of the one that was served last.
	remote     map[string]*remoteQueue
	nextRemote int
	// lastUrgent holds when news of a member was last urgent.
	lastUrgent map[netip.AddrPort]time.Time
	nextForget time.Time

	loadRumors map[netip.AddrPort]*loadRumor
	loads      []*loadRumor

	// revisionLeft is the number of sends left for the news of a catalog revision.
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

// isUrgent reports whether news of a member must go before all other news: it
// gets no new flows any more. Only the first such news in a while is urgent, so
// that members whose state keeps changing cannot hold up the news of others.
func (g *gossip) isUrgent(now time.Time, m member.Member) bool {
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

// forgetUrgent drops the entries of lastUrgent that no longer matter.
func (g *gossip) forgetUrgent(now time.Time) {
	if now.Before(g.nextForget) {
		return
	}
	g.nextForget = now.Add(urgentPause)
	for addr, last := range g.lastUrgent {
		if now.Sub(last) >= urgentPause {
			delete(g.lastUrgent, addr)
		}
	}
}

// add queues a change; it replaces older news of the same member. A change that
// this node learned at first hand also goes to each other data centre.
func (g *gossip) add(now time.Time, m member.Member, sends int, firstHand bool) {
	if old := g.rumors[m.Addr]; old != nil {
		old.left = 0 // its queue drops it when it comes to it
		old.superseded = true
	}
	r := &rumor{m: m, left: sends, urgent: g.isUrgent(now, m)}
	if r.urgent {
		r.left += urgentExtraSends
	}
	if firstHand {
		g.addRemote(r)
	}
	g.rumors[m.Addr] = r
	if r.urgent {
		g.fresh = append(g.fresh, r)
	} else {
		g.normal = append(g.normal, r)
	}
}

// spreadRevision sends news of a new catalog revision a number of times.
func (g *gossip) spreadRevision(sends int) {
	g.revisionLeft = sends
}

func (g *gossip) tick(now time.Time) {
	g.forgetUrgent(now)
	g.sendRemote(now)
	if len(g.fresh)+len(g.urgent) > 0 {
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
	m := &Gossip{Self: g.b.n.record(), Revision: g.b.n.catalog.Revision()}
	switch class {
	case ClassUrgent:
		m.Updates = g.fill(&g.fresh, &g.urgent, m.Updates, &room, len(to))
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

// drop forgets all news: there is nobody to tell, and a later peer pulls the whole table.
func (g *gossip) drop() {
	clear(g.rumors)
	g.fresh, g.urgent, g.normal = nil, nil, nil
	clear(g.remote)
	clear(g.loadRumors)
	g.loads = nil
	g.revisionLeft = 0
}

// targets returns the balancers for one message: a few of the own data centre,
// and at times one of another.
func (g *gossip) targets() []netip.AddrPort {
	list := g.b.randomBalancers(gossipFanout, g.b.n.self.Addr)
	if len(list) == 0 || g.b.n.cfg.Rand.Float64() < remoteGossipShare {
		if r := g.b.randomRemote(); r != nil {
			list = append(list, r.Addr)
		}
	}
	return list
}

// fill takes rumors from the front of a queue into updates while there is room.
// A rumor with sends left goes to the back of the queue rest.
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

// piggyback returns a few urgent changes for a probe. They count as one send each.
func (g *gossip) piggyback() memberList {
	room := piggybackMembers * (memberBaseSize + maxDataCentreBytes)
	updates := g.fill(&g.fresh, &g.urgent, nil, &room, 1)
	return g.fill(&g.urgent, &g.urgent, updates, &room, 1)
}

// known notes that another balancer passed on what this node is passing on too:
// the news has got around, so fewer sends are left. News that takes a member out
// of service is spared, because the last node must hear of it in time.
func (g *gossip) known(m member.Member) {
	r := g.rumors[m.Addr]
	if r == nil || !m.State.TakesNewFlows() {
		return
	}
	if r.m.Incarnation == m.Incarnation && r.m.State == m.State {
		r.left -= gossipFanout
	}
}

// forget stops passing on the news of one member.
func (g *gossip) forget(a netip.AddrPort) {
	if r := g.rumors[a]; r != nil {
		r.left = 0
	}
}
