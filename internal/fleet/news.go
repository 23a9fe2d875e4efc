package fleet

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
)

// update is a change of a member that is being gossiped.
type update struct {
	addr        netip.AddrPort
	repeatsLeft int
}

// gossip sends the record of a member to random members at once and queues it for later messages.
func (n *Node) gossip(a netip.AddrPort) {
	n.queueUpdate(a)
	m := n.message(typeUpdates)
	m.Members = n.nextUpdates(pushedUpdates)
	n.sendTo(m, n.pickMembers(updateFanout, a)...)
}

// queueUpdate queues the record of a member for later messages.
func (n *Node) queueUpdate(a netip.AddrPort) {
	n.queue = slices.DeleteFunc(n.queue, func(q update) bool { return q.addr == a })
	repeats := bits.Len(uint(len(n.table)))/doublingsPerRepeat + updateFanout
	n.queue = append(n.queue[max(0, len(n.queue)-maxQueuedUpdates+1):], update{addr: a, repeatsLeft: repeats})
}

// nextUpdates returns up to limit queued records for one message, the newest first, and removes
// those that were sent often enough.
func (n *Node) nextUpdates(limit int) []Member {
	var members []Member
	for i := range n.queue {
		if len(members) == limit {
			break
		}
		// The newest update is at the end of the queue.
		q := &n.queue[len(n.queue)-1-i]
		if r := n.table[q.addr]; r != nil {
			members = append(members, r.Member)
		}
		q.repeatsLeft--
	}
	n.queue = slices.DeleteFunc(n.queue, func(q update) bool { return q.repeatsLeft <= 0 })
	return members
}

// pickMembers returns up to count random members other than skip that are not dead.
func (n *Node) pickMembers(count int, skip netip.AddrPort) []netip.AddrPort {
	var chosen []netip.AddrPort
	for range pickTries {
		if len(chosen) == count {
			break
		}
		for _, a := range n.chooseProbeOrder().sample(1, n.cfg.Rand) {
			r := n.table[a]
			if a != skip && r != nil && r.Liveness <= Suspect && !slices.Contains(chosen, a) {
				chosen = append(chosen, a)
			}
		}
	}
	return chosen
}

// noteDuplicate reduces the repeats of an update that another member sends as well: the more
// members know it already, the fewer messages need to carry it.
func (n *Node) noteDuplicate(m *Member, r *tableEntry) {
	if *m != r.Member {
		return
	}
	for i := range n.queue {
		if n.queue[i].addr == m.Addr {
			n.queue[i].repeatsLeft -= updateFanout
			return
		}
	}
}

// GossipVersion sends the version of a newly applied desired state to random members.
func (n *Node) GossipVersion() ([]Send, []Event) {
	n.sendTo(n.message(typeUpdates), n.pickMembers(updateFanout, n.self.Addr)...)
	return n.takeOutput()
}

// SendVersion sends the version of the active desired state and the time since its confirmation to
// the given members.
func (n *Node) SendVersion(to []netip.AddrPort) ([]Send, []Event) {
	for _, a := range to {
		if a != n.self.Addr {
			n.sendTo(n.message(typeUpdates), a)
		}
	}
	return n.takeOutput()
}

func (n *Node) message(t messageType) *message {
	version, age := n.cfg.Version()
	m := &message{
		Type:    t,
		From:    n.self.Member,
		Load:    n.cfg.Load(),
		Sum:     n.sum,
		Version: version,
		Count:   uint32(len(n.table)),
		AgeMS:   uint32(min(age.Milliseconds(), math.MaxUint32)),
	}
	if n.complete != NoEvidence {
		m.setComplete() // overwritten in messages with a target
	}
	return m
}

func (n *Node) sendTo(m *message, to ...netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	payload, err := encode(m)
	if err != nil {
		return // unreachable, since all messages of this package can be encoded; covered by tests
	}
	for _, a := range to {
		n.out = append(n.out, Send{To: a, Payload: payload})
	}
}

func (n *Node) takeOutput() ([]Send, []Event) {
	out, events := n.out, n.events
	n.out, n.events = nil, nil
	return out, events
}
