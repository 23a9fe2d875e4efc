package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// Sizes of the samples in an acknowledgement.
const (
	ackBalancers = 3
	ackPeers     = 3
)

func (b *balancer) sampleBalancers(n int) addrList {
	return b.randomBalancers(n, b.n.self.Addr)
}

// samplePeers returns agents of the same service that accept new flows. It prefers
// agents of the same data centre.
func (b *balancer) samplePeers(now time.Time, self member.Member) memberList {
	key := presence.GroupKey{DataCentre: self.DataCentre, Kind: member.Agent, Service: self.Service}
	list := b.sampleGroup(now, nil, b.table.Group(key), self.Addr)
	if len(list) >= ackPeers {
		return list
	}
	return b.sampleRemote(list, b.table.Candidates(now, self.Service), self.DataCentre)
}

// sampleRemote adds agents of other data centres that accept new flows. It starts
// at a random agent, so that relayed requests do not concentrate on the agents
// listed first.
func (b *balancer) sampleRemote(list memberList, candidates []presence.Candidate, dataCentre string) memberList {
	if len(candidates) == 0 {
		return list
	}
	offset := b.n.cfg.Rand.IntN(len(candidates))
	for i := range candidates {
		c := candidates[(offset+i)%len(candidates)]
		if len(list) < ackPeers && c.DataCentre != dataCentre && c.State.TakesNewFlows() {
			list = append(list, c.Member)
		}
	}
	return list
}

func (b *balancer) sampleGroup(now time.Time, list memberList, group []*presence.Record, except netip.AddrPort) memberList {
	if len(group) == 0 {
		return list
	}
	offset := b.n.cfg.Rand.IntN(len(group))
	for i := range group {
		r := group[(offset+i)%len(group)]
		if len(list) < ackPeers && r.Addr != except && r.State.TakesNewFlows() && b.table.Routable(now, r) {
			list = append(list, r.Member)
		}
	}
	return list
}

// pickAttempts bounds the random draws that look for one live balancer.
const pickAttempts = 8

// randomBalancer returns a random live balancer of a data centre, or nil.
func (b *balancer) randomBalancer(dataCentre string) *presence.Record {
	group := b.table.Balancers(dataCentre)
	if len(group) == 0 {
		return nil
	}
	for range pickAttempts {
		r := group[b.n.cfg.Rand.IntN(len(group))]
		if r.Addr != b.n.self.Addr && isReachable(r) {
			return r
		}
	}
	return nil
}

// randomBalancers returns up to n different live balancers of this data centre
// other than except.
func (b *balancer) randomBalancers(n int, except netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for range n * pickAttempts {
		r := b.randomBalancer(b.n.self.DataCentre)
		if r == nil || len(list) == n {
			break
		}
		if r.Addr != except && !slices.Contains(list, r.Addr) {
			list = append(list, r.Addr)
		}
	}
	return list
}

// randomRemote returns a random live balancer of another data centre, or nil.
func (b *balancer) randomRemote() *presence.Record {
	centres := b.table.DataCentres()
	if len(centres) == 0 {
		return nil
	}
	dataCentre := centres[b.n.cfg.Rand.IntN(len(centres))]
	if dataCentre == b.n.self.DataCentre {
		return nil
	}
	return b.randomBalancer(dataCentre)
}

// isReachable reports whether a balancer is expected to receive control messages.
func isReachable(r *presence.Record) bool {
	return r.State != member.Suspect && r.State != member.Dead
}
