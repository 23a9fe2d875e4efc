package control

import (
	"time"
)

// sendRemote tells one balancer of each other data centre what this node learned
// at first hand.
func (g *gossip) sendRemote(now time.Time, class Class) {
	origin := takeOrigins(&g.urgentOrigins, nil)
	origin = takeOrigins(&g.origins, origin)
	if len(origin) == 0 {
		return
	}
	m := &Gossip{Self: g.b.n.record(), Revision: g.b.n.catalog.Revision()}
	for _, r := range origin {
		m.Updates = append(m.Updates, r.m)
	}
	sent := true
	for _, dataCentre := range g.b.table.DataCentres() {
		if dataCentre == g.b.n.self.DataCentre {
			continue
		}
		if r := g.b.randomBalancer(dataCentre); r != nil {
			sent = g.b.n.send(now, class, r.Addr, m) && sent
		}
	}
	for _, r := range origin {
		if sent {
			r.origin-- // else the budget held something back, and the next message tries again
		}
		g.addOrigin(r)
	}
}

// takeOrigins moves news that still has to go to other data centres from a queue to list.
func takeOrigins(queue *[]*rumor, list []*rumor) []*rumor {
	for len(*queue) > 0 && len(list) < maxRemoteMembers {
		r := (*queue)[0]
		*queue = (*queue)[1:]
		if !r.superseded {
			list = append(list, r)
		}
	}
	return list
}

// addOrigin queues news that still has to go to other data centres.
func (g *gossip) addOrigin(r *rumor) {
	switch {
	case r.origin == 0:
	case r.urgent:
		g.urgentOrigins = append(g.urgentOrigins, r)
	default:
		g.origins = append(g.origins, r)
	}
}
