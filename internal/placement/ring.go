package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
)

// HomeAgentsPerFlow is the number of agents that record the owner of one flow.
const HomeAgentsPerFlow = 2

// pointsPerAgent is the number of points of each agent on the ring; more points make the agents' shares more
// equal.
const pointsPerAgent = 8

// point is one position of an agent on the ring.
type point struct {
	hash  uint64
	agent netip.AddrPort
}

func comparePoints(a, o point) int {
	return cmp.Or(cmp.Compare(a.hash, o.hash), a.agent.Compare(o.agent))
}

// ring is a consistent hash of flows to agents (Karger and others, 1997). Changes are collected and
// applied together, since each application passes over all points.
type ring struct {
	points []point
	// added and removed hold the agents with pending changes; an agent is in at most one of them.
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

// apply applies the pending changes and reports whether any were pending.
func (r *ring) apply() bool {
	if len(r.added)+len(r.removed) == 0 {
		return false
	}
	if len(r.removed) > 0 {
		r.points = slices.DeleteFunc(r.points, func(p point) bool { return r.removed[p.agent] })
	}
	var newPoints []point
	for agent := range r.added {
		for i := range pointsPerAgent {
			newPoints = append(newPoints, point{hash: pointHash(agent, i), agent: agent})
		}
	}
	slices.SortFunc(newPoints, comparePoints)
	r.points = merge(r.points, newPoints)
	clear(r.added)
	clear(r.removed)
	return true
}

// merge merges two sorted lists.
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

// HomeAgents returns up to count different agents that record the owner of a flow, the first choice
// first. The result depends only on the key and the set of agents.
func (d *Directory) HomeAgents(key flow.Key, count int) []netip.AddrPort {
	points := d.ring.points
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

// PreferredHomeAgent returns the first home agent of a flow that is considered alive, or the first home agent
// if none is alive. It returns false if there are no agents.
func (d *Directory) PreferredHomeAgent(key flow.Key) (netip.AddrPort, bool) {
	homes := d.HomeAgents(key, HomeAgentsPerFlow)
	for _, home := range homes {
		if d.members[home].Liveness == fleet.Alive {
			return home, true
		}
	}
	if len(homes) == 0 {
		return netip.AddrPort{}, false
	}
	return homes[0], true
}
