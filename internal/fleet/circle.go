package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// circle is a set of members in the random order in which they are probed. Each is
// probed once in a round, and the order is drawn anew for each round.
type circle struct {
	addrs []netip.AddrPort
	next  int
}

// insert puts a member at a random place among those that are still to be probed in
// this round. The one that stood there goes to the end.
func (c *circle) insert(a netip.AddrPort, r *rand.Rand) {
	c.addrs = append(c.addrs, a)
	last := len(c.addrs) - 1
	first := min(c.next, last)
	place := first + r.IntN(last-first+1)
	c.addrs[place], c.addrs[last] = c.addrs[last], c.addrs[place]
}

func (c *circle) remove(a netip.AddrPort) {
	c.addrs = slices.DeleteFunc(c.addrs, func(o netip.AddrPort) bool { return o == a })
}

// turn returns the next member to probe; the circle must not be empty.
func (c *circle) turn(r *rand.Rand) netip.AddrPort {
	if c.next >= len(c.addrs) {
		c.next = 0
		r.Shuffle(len(c.addrs), func(i, j int) { c.addrs[i], c.addrs[j] = c.addrs[j], c.addrs[i] })
	}
	c.next++
	return c.addrs[c.next-1]
}

// sample returns up to count members from a random place on.
func (c *circle) sample(count int, r *rand.Rand) []netip.AddrPort {
	count = min(count, len(c.addrs))
	if count == 0 {
		return nil
	}
	chosen := make([]netip.AddrPort, 0, count)
	start := r.IntN(len(c.addrs))
	for i := range count {
		chosen = append(chosen, c.addrs[(start+i)%len(c.addrs)])
	}
	return chosen
}

// circleOf returns the circle of a member: that of the own data centre or of all others.
func (n *Node) circleOf(dataCentre string) *circle {
	if dataCentre == n.self.DataCentre {
		return &n.local
	}
	return &n.remote
}

// drawCircle returns the members of the own data centre in most cases, because links
// between data centres are dear, and at times those of the others.
func (n *Node) drawCircle() *circle {
	fromLocal := n.cfg.Rand.Float64() < localShare
	if (fromLocal && len(n.local.addrs) > 0) || len(n.remote.addrs) == 0 {
		return &n.local
	}
	return &n.remote
}
