package control

import (
	"time"
)

// maxRemoteMembers bounds the updates in one message to another data centre.
const maxRemoteMembers = 8

// remoteQueue holds the direct updates for one other data centre.
type remoteQueue struct {
	urgent, normal []remoteUpdate
}

// remoteUpdate is a direct update and the number of sends left to one data centre.
type remoteUpdate struct {
	r    *rumor
	left int
}

// addRemote queues a direct update for each other data centre.
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
			q.urgent = append(q.urgent, remoteUpdate{r, urgentOriginSends})
		} else {
			q.normal = append(q.normal, remoteUpdate{r, 1})
		}
	}
}

// sendRemote sends direct updates to one balancer of each other data centre. When
// the budget is used up, the next call continues with the same data centre.
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

// sendQueue sends the front of a queue. It returns false if the budget does not allow that.
func (g *gossip) sendQueue(now time.Time, dataCentre string, q *remoteQueue) bool {
	updates, urgentTaken := takeUpdates(q.urgent, nil)
	class := ClassUrgent
	normalTaken := 0
	if len(updates) == 0 {
		class = ClassMember
		updates, normalTaken = takeUpdates(q.normal, nil)
	}
	to := g.b.randomBalancer(dataCentre)
	if to == nil {
		*q = remoteQueue{} // no live balancer there; a balancer that joins later gets the updates by repair
		return true
	}
	if len(updates) > 0 {
		m := &Gossip{Self: g.b.n.selfRecord(), Revision: g.b.n.catalog.Revision(), Updates: updates}
		if !g.b.n.send(now, class, to.Addr, m) {
			return false
		}
	}
	q.urgent = requeueUpdates(q.urgent, urgentTaken)
	q.normal = requeueUpdates(q.normal, normalTaken)
	return true
}

// takeUpdates appends the members of the updates at the front of a queue to list,
// and skips superseded updates. It returns the list and the number of updates taken
// or skipped.
func takeUpdates(queue []remoteUpdate, list memberList) (members memberList, taken int) {
	for _, update := range queue {
		if len(list) == maxRemoteMembers {
			break
		}
		taken++
		if !update.r.superseded {
			list = append(list, update.r.m)
		}
	}
	return list, taken
}

// requeueUpdates removes the front of a queue after it was sent; updates with
// sends left are appended again.
func requeueUpdates(queue []remoteUpdate, taken int) []remoteUpdate {
	front := queue[:taken]
	queue = queue[taken:]
	for _, update := range front {
		update.left--
		if update.left > 0 && !update.r.superseded {
			queue = append(queue, update)
		}
	}
	return queue
}
