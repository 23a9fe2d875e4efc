package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
)

// Rules of reachability between data centres.
const (
	// reachPeriod is the time between two pings to another data centre.
	reachPeriod = 5 * time.Second
	// reachRetry is the time between pings to a data centre that did not answer.
	reachRetry = time.Second
	// reachTimeout is the silence after which a data centre is unreachable.
	reachTimeout = 12 * time.Second
)

// reach finds out which other data centres this node can talk to. Their members
// are judged by their own balancers; while none of those can be heard, the
// members keep their state, but reachable ones are preferred for new flows.
type reach struct {
	b       *balancer
	centres map[string]*centre
}

// centre is another data centre.
type centre struct {
	lastHeard   time.Time
	next        time.Time
	unreachable bool
}

func newReach(b *balancer) *reach {
	return &reach{b: b, centres: map[string]*centre{}}
}

// heard notes a message from a balancer.
func (r *reach) heard(now time.Time, from netip.AddrPort) {
	known := r.b.table.Get(from)
	if known == nil || known.Kind != member.Balancer {
		return
	}
	c := r.centres[known.DataCentre]
	if c == nil {
		return
	}
	c.lastHeard = now
	if c.unreachable {
		r.set(known.DataCentre, c, false)
	}
}

func (r *reach) tick(now time.Time) {
	for _, dataCentre := range r.b.table.DataCentres() {
		if dataCentre == r.b.n.self.DataCentre {
			continue
		}
		c := r.centres[dataCentre]
		if c == nil {
			c = &centre{lastHeard: now, next: now.Add(r.b.n.jitter(reachPeriod))}
			r.centres[dataCentre] = c
		}
		r.check(now, dataCentre, c)
	}
}

func (r *reach) check(now time.Time, dataCentre string, c *centre) {
	silence := now.Sub(c.lastHeard)
	if silence >= reachTimeout && !c.unreachable {
		r.set(dataCentre, c, true)
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

func (r *reach) set(dataCentre string, c *centre, unreachable bool) {
	c.unreachable = unreachable
	r.b.table.SetReachable(dataCentre, !unreachable)
	r.b.n.notify(Notice{Kind: NoticePresence})
}

// resume forgives the silence during a freeze of this process.
func (r *reach) resume(now time.Time) {
	for _, c := range r.centres {
		c.lastHeard = now
	}
}
