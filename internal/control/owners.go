package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
	"github.com/almondledge/almondledge/internal/rendezvous"
)

// ownerPeriod is the least time between two computations of the ownership of agents.
const ownerPeriod = time.Second

// owners returns the balancers that should observe an agent, highest ranked first.
// They belong to the agent's data centre, or to any data centre if the agent's has
// no live balancer.
func (b *balancer) owners(agent netip.AddrPort, dataCentre string) []netip.AddrPort {
	return presence.Rank(rendezvous.HashAddr(agent), b.ownerCandidates(dataCentre), observers)
}

// owns reports whether this node is one of the owners of an agent.
func (b *balancer) owns(agent netip.AddrPort, dataCentre string) bool {
	return presence.InRank(rendezvous.HashAddr(agent), b.ownerCandidates(dataCentre), observers, b.n.self.Addr)
}

// ownerCandidates returns the balancers among which the agents of a data centre are distributed.
func (b *balancer) ownerCandidates(dataCentre string) []*presence.Record {
	if b.hasBalancers(dataCentre) {
		return b.table.Balancers(dataCentre)
	}
	var all []*presence.Record
	for _, other := range b.table.DataCentres() {
		all = append(all, b.table.Balancers(other)...)
	}
	return all
}

// hasBalancers reports whether a data centre has a live balancer.
func (b *balancer) hasBalancers(dataCentre string) bool {
	for _, r := range b.table.Balancers(dataCentre) {
		if r.State.TakesNewFlows() {
			return true
		}
	}
	return false
}

// monitors reports whether this node takes part in failure detection for a data
// centre: for its own, and for each data centre without a live balancer.
func (b *balancer) monitors(dataCentre string) bool {
	return dataCentre == b.n.self.DataCentre || !b.hasBalancers(dataCentre)
}

// updateOwners determines which agents this node must observe and whether it
// watches the store, after a change among the balancers.
func (b *balancer) updateOwners(now time.Time) {
	if !b.ownersDirty || now.Before(b.nextOwners) {
		return
	}
	b.ownersDirty = false
	b.nextOwners = now.Add(ownerPeriod)
	b.updateWatching()
	for _, dataCentre := range b.table.AgentDataCentres() {
		if b.monitors(dataCentre) {
			b.observeOwned(now, dataCentre)
		}
	}
}

// observeOwned starts to observe those agents of a data centre that this node owns.
func (b *balancer) observeOwned(now time.Time, dataCentre string) {
	b.table.Agents(dataCentre, func(r *presence.Record) { b.observeIfOwned(now, r.Member) })
}

func (b *balancer) observeIfOwned(now time.Time, m member.Member) {
	if m.State == member.Dead || b.detector.observes(m.Addr) {
		return
	}
	if b.owns(m.Addr, m.DataCentre) {
		b.detector.observe(now, m.Addr)
	}
}

func (b *balancer) updateWatching() {
	watching := false
	dataCentre := b.n.self.DataCentre
	for _, a := range presence.Rank(rendezvous.HashName(dataCentre), b.table.Balancers(dataCentre), watchers) {
		watching = watching || a == b.n.self.Addr
	}
	if watching == b.watching {
		return
	}
	b.watching = watching
	b.n.notify(Notice{Kind: NoticeWatcher})
}
