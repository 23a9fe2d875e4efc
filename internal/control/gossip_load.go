package control

import (
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// loadPeriod is the time between two messages that carry load reports only.
const loadPeriod = time.Second

// loadSends is the number of times that a node sends a load report.
const loadSends = 4

// loadRumor is a load report that this node is gossiping.
type loadRumor struct {
	report loadReport
	left   int
	queued bool
}

// addLoad queues a load report for the balancers of the same data centre.
func (g *gossip) addLoad(m member.Member) {
	if m.DataCentre != g.b.n.self.DataCentre {
		return
	}
	l := g.loadRumors[m.Addr]
	if l == nil {
		l = &loadRumor{}
		g.loadRumors[m.Addr] = l
	}
	l.report = loadReport{Addr: m.Addr, Incarnation: m.Incarnation, Sequence: m.Sequence, Load: m.Load}
	l.left = loadSends
	if !l.queued {
		l.queued = true
		g.loads = append(g.loads, l)
	}
}

func (g *gossip) fillLoads(room *int, sends int) loadList {
	var list loadList
	for range len(g.loads) {
		if *room < loadSize || len(list) >= maxLoads {
			return list
		}
		l := g.loads[0]
		g.loads = g.loads[1:]
		*room -= loadSize
		list = append(list, l.report)
		l.left -= sends
		if l.left > 0 {
			g.loads = append(g.loads, l)
			continue
		}
		l.queued = false
		delete(g.loadRumors, l.report.Addr)
	}
	return list
}
