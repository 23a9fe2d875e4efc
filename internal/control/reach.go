package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// Timing of reachability checks between data centres.
const (
	// reachPeriod is the time between two pings to another data centre.
	reachPeriod = 5 * time.Second
	// reachRetry is the time between pings to a data centre that did not answer.
	reachRetry = time.Second
	// reachTimeout is how long a data centre may be silent before it counts as unreachable.
	reachTimeout = 12 * time.Second
)

// reach determines with which other data centres this node can exchange messages.
// The balancers of each data centre detect failures of its members. While this node
// receives no message from these balancers, the members keep their state, but
// members of reachable data centres are preferred for new flows.
type reach struct {
	b       *balancer
	centres map[string]*centre
}

// centre records whether another data centre is reachable.
type centre struct {
	lastSeen    time.Time
	next        time.Time
	unreachable bool
}

func newReach(b *balancer) *reach {
	return &reach{b: b, centres: map[string]*centre{}}
}

// recordInbound records a message from a balancer.
func (r *reach) recordInbound(now time.Time, from netip.AddrPort) {
	known := r.b.table.Get(from)
	if known == nil || known.Kind != member.Balancer {
		return
	}
	c := r.centres[known.DataCentre]
	if c == nil {
		return
	}
	c.lastSeen = now
	if c.unreachable {
		r.setUnreachable(known.DataCentre, c, false)
	}
}

func (r *reach) tick(now time.Time) {
	for _, dataCentre := range r.b.table.DataCentres() {
		if dataCentre == r.b.n.self.DataCentre {
			continue
		}
		c := r.centres[dataCentre]
		if c == nil {
			c = &centre{lastSeen: now, next: now.Add(r.b.n.jitter(reachPeriod))}
			r.centres[dataCentre] = c
		}
		r.check(now, dataCentre, c)
	}
}

func (r *reach) check(now time.Time, dataCentre string, c *centre) {
	silence := now.Sub(c.lastSeen)
	if silence >= reachTimeout && !c.unreachable {
		r.setUnreachable(dataCentre, c, true)
	}
	if now.Before(c.next) {
		return
	}
	c.next = now.Add(reachPeriod)
	if silence >= reachPeriod {
		c.next = now.Add(reachRetry)
	}
	if peer := r.b.randomBalancer(dataCentre); peer != nil {
		r.b.contact(now, peer.Addr)
	}
}

func (r *reach) setUnreachable(dataCentre string, c *centre, unreachable bool) {
	c.unreachable = unreachable
	r.b.table.SetReachable(dataCentre, !unreachable)
	r.b.n.notify(Notice{Kind: NoticePresence})
}

// resume restarts the timeouts after a freeze of this process.
func (r *reach) resume(now time.Time) {
	for _, c := range r.centres {
		c.lastSeen = now
	}
}
