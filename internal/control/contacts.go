package control

import (
	"net/netip"
	"slices"
	"time"
)

// AddContacts adds balancers to contact besides the seeds, such as those of the roster.
func (n *Node) AddContacts(found []netip.AddrPort) {
	n.contacts = n.contacts.Add(found)
	if n.balancer != nil {
		n.balancer.nextJoin = time.Time{}
	}
}

// seeds returns the seeds of the configuration and the contacts that were found later.
func (n *Node) seeds() []netip.AddrPort { return slices.Concat(n.cfg.Seeds, n.contacts) }

// BalancersInContact returns the number of balancers that this node can reach as far as it knows: for a balancer those in its
// table, itself included, for an agent those that have acknowledged an announcement within AckTimeout.
func (n *Node) BalancersInContact(now time.Time) int {
	if n.agent != nil {
		return n.agent.acknowledged(now)
	}
	return n.balancer.reachableBalancers()
}
