package control

import (
	"time"
)

// maxRemoteMembers is the number of changes in one message to another data centre.
const maxRemoteMembers = 8

// remoteQueue holds the news for one other data centre.
type remoteQueue struct {
	urgent, normal []remoteNews
}

// remoteNews is a change that this node learned at first hand.
type remoteNews struct {
	r    *rumor
	left int
}

// addRemote queues first-hand news for each other data centre.
func (g *gossip) addRemote(r *rumor) {
	for _, dataCentre := range g.b.table.DataCentres() {
		if dataCentre == g.b.n.self.DataCentre {
			continue
		}
		q := g.remote[dataCentre]
		if q == nil {
			q = &remoteQueue{}
			g.remote[dataCentre] = q
		}
		if r.urgent {
			q.urgent = append(q.urgent, remoteNews{r, urgentOriginSends})
		} else {
			q.normal = append(q.normal, remoteNews{r, 1})
		}
	}
}

// sendRemote tells one balancer of each other data centre what this node learned
// at first hand. Where the budget ends, the next call goes on.
func (g *gossip) sendRemote(now time.Time) {
	centres := g.b.table.DataCentres()
	for range len(centres) {
		g.nextRemote = (g.nextRemote + 1) % len(centres)
		dataCentre := centres[g.nextRemote]
		q := g.remote[dataCentre]
		if q == nil {
			continue
		}
		if !g.sendQueue(now, dataCentre, q) {
			g.nextRemote--
			return
		}
		if len(q.urgent)+len(q.normal) == 0 {
			delete(g.remote, dataCentre)
		}
	}
}

// sendQueue sends the front of a queue and reports whether the budget allowed it.
func (g *gossip) sendQueue(now time.Time, dataCentre string, q *remoteQueue) bool {
	updates, urgentTaken := takeNews(q.urgent, nil)
	class := ClassUrgent
	normalTaken := 0
	if len(updates) == 0 {
		class = ClassMember
		updates, normalTaken = takeNews(q.normal, nil)
	}
	to := g.b.randomBalancer(dataCentre)
	if to == nil {
		*q = remoteQueue{} // nobody there to tell; repair follows when there is
		return true
	}
	if len(updates) > 0 {
		m := &Gossip{Self: g.b.n.record(), Revision: g.b.n.catalog.Revision(), Updates: updates}
		if !g.b.n.send(now, class, to.Addr, m) {
			return false
		}
	}
	q.urgent = passNews(q.urgent, urgentTaken)
	q.normal = passNews(q.normal, normalTaken)
	return true
}

// takeNews appends the members at the front of a queue to list, and returns how
// many items of the queue that covers. Superseded news is passed over.
func takeNews(queue []remoteNews, list memberList) (members memberList, taken int) {
	for _, news := range queue {
		if len(list) == maxRemoteMembers {
			break
		}
		taken++
		if !news.r.superseded {
			list = append(list, news.r.m)
		}
	}
	return list, taken
}

// passNews drops the front of a queue after it was sent; what has sends left goes to the back.
func passNews(queue []remoteNews, taken int) []remoteNews {
	front := queue[:taken]
	queue = queue[taken:]
	for _, news := range front {
		news.left--
		if news.left > 0 && !news.r.superseded {
			queue = append(queue, news)
		}
	}
	return queue
}
