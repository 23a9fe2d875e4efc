package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// probeOrder is a set of members in random probe order. Each is probed once per round, and the
// order is shuffled for each round.
type probeOrder struct {
	addrs []netip.AddrPort
	next  int
}

// insert adds a member at a random position among the members still to be probed in this round. The member at
// that position moves to the end.
func (p *probeOrder) insert(a netip.AddrPort, r *rand.Rand) {
	p.addrs = append(p.addrs, a)
	last := len(p.addrs) - 1
	first := min(p.next, last)
	position := first + r.IntN(last-first+1)
	p.addrs[position], p.addrs[last] = p.addrs[last], p.addrs[position]
}

func (p *probeOrder) remove(a netip.AddrPort) {
	p.addrs = slices.DeleteFunc(p.addrs, func(o netip.AddrPort) bool { return o == a })
}

// nextTarget returns the next member to probe. There must be at least one.
func (p *probeOrder) nextTarget(r *rand.Rand) netip.AddrPort {
	if p.next >= len(p.addrs) {
		p.next = 0
		r.Shuffle(len(p.addrs), func(i, j int) { p.addrs[i], p.addrs[j] = p.addrs[j], p.addrs[i] })
	}
	p.next++
	return p.addrs[p.next-1]
}

// sample returns up to count consecutive members, starting at a random position.
func (p *probeOrder) sample(count int, r *rand.Rand) []netip.AddrPort {
	count = min(count, len(p.addrs))
	if count == 0 {
		return nil
	}
	chosen := make([]netip.AddrPort, 0, count)
	start := r.IntN(len(p.addrs))
	for i := range count {
		chosen = append(chosen, p.addrs[(start+i)%len(p.addrs)])
	}
	return chosen
}

// probeOrderOf returns the probe order that holds the members of a data centre: local or remote.
func (n *Node) probeOrderOf(dataCentre string) *probeOrder {
	if dataCentre == n.self.DataCentre {
		return &n.local
	}
	return &n.remote
}

// chooseProbeOrder returns local with probability localShare, since traffic between data centres is
// expensive, and remote otherwise. If the drawn order is empty, it returns the other one.
func (n *Node) chooseProbeOrder() *probeOrder {
	fromLocal := n.cfg.Rand.Float64() < localShare
	if (fromLocal && len(n.local.addrs) > 0) || len(n.remote.addrs) == 0 {
		return &n.local
	}
	return &n.remote
}
