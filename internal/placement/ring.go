package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
)

// HomeAgentsPerFlow is the number of agents that keep track of one flow's owner.
const HomeAgentsPerFlow = 2

// pointsPerAgent evens out the parts of the ring.
const pointsPerAgent = 8

// point is a place of an agent on the ring of homes.
type point struct {
	hash  uint64
	agent netip.AddrPort
}

func comparePoints(a, o point) int {
	return cmp.Or(cmp.Compare(a.hash, o.hash), a.agent.Compare(o.agent))
}

// ring is a consistent hash of flows to agents (Karger and others, 1997). Changes
// are gathered and take effect together, since each costs a pass over all points.
type ring struct {
	points []point
	// added and removed hold the agents whose places change; an agent is in one at most.
	added, removed map[netip.AddrPort]bool
}

func (r *ring) add(agent netip.AddrPort) {
	if r.added == nil {
		r.added, r.removed = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	}
	if r.removed[agent] {
		delete(r.removed, agent)
		return
	}
	r.added[agent] = true
}

func (r *ring) remove(agent netip.AddrPort) {
	if r.added[agent] {
		delete(r.added, agent)
		return
	}
	r.removed[agent] = true
}

// settle puts the gathered changes in force, and reports whether there were any.
func (r *ring) settle() bool {
	if len(r.added)+len(r.removed) == 0 {
		return false
	}
	if len(r.removed) > 0 {
		r.points = slices.DeleteFunc(r.points, func(p point) bool { return r.removed[p.agent] })
	}
	var fresh []point
	for agent := range r.added {
		for i := range pointsPerAgent {
			fresh = append(fresh, point{hash: pointHash(agent, i), agent: agent})
		}
	}
	slices.SortFunc(fresh, comparePoints)
	r.points = merge(r.points, fresh)
	clear(r.added)
	clear(r.removed)
	return true
}

// merge joins two ordered lists into one.
func merge(a, b []point) []point {
	if len(b) == 0 {
		return a
	}
	merged := make([]point, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if comparePoints(a[0], b[0]) < 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

func pointHash(a netip.AddrPort, i int) uint64 {
	ip := a.Addr().As4()
	return xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port()), byte(i)})
}

// HomeAgents returns up to count different agents that keep track of who owns a flow,
// the first of them most likely. They depend on nothing but the set of agents.
func (b *Directory) HomeAgents(key flow.Key, count int) []netip.AddrPort {
	points := b.ring.points
	if len(points) == 0 {
		return nil
	}
	homes := make([]netip.AddrPort, 0, count)
	start, _ := slices.BinarySearchFunc(points, key.Hash(), func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range points {
		agent := points[(start+i)%len(points)].agent
		if slices.Contains(homes, agent) {
			continue
		}
		homes = append(homes, agent)
		if len(homes) == count {
			break
		}
	}
	return homes
}

// PreferredHomeAgent returns the first home of a flow that is believed to answer, or the
// first one if none is, and false if there are no agents.
func (b *Directory) PreferredHomeAgent(key flow.Key) (netip.AddrPort, bool) {
	homes := b.HomeAgents(key, HomeAgentsPerFlow)
	for _, home := range homes {
		if b.members[home].Liveness == fleet.Alive {
			return home, true
		}
	}
	if len(homes) == 0 {
		return netip.AddrPort{}, false
	}
	return homes[0], true
}
