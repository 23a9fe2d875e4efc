package fleet

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
)

// news is a change that is being passed on.
type news struct {
	addr netip.AddrPort
	left int
}

// spread passes a change on at once and queues it for later messages.
func (n *Node) spread(a netip.AddrPort) {
	n.enqueue(a)
	m := n.message(typeNews)
	m.Members = n.takeNews(pushedMembers)
	n.sendTo(m, n.pick(newsFanout, a)...)
}

// enqueue lets later messages carry a change.
func (n *Node) enqueue(a netip.AddrPort) {
	n.queue = slices.DeleteFunc(n.queue, func(q news) bool { return q.addr == a })
	repeats := bits.Len(uint(len(n.records)))/doublingsPerRepeat + newsFanout
	n.queue = append(n.queue[max(0, len(n.queue)-maxNews+1):], news{addr: a, left: repeats})
}

// takeNews returns up to most changes to add to one message, the newest first; those
// sent often enough are forgotten.
func (n *Node) takeNews(most int) []Member {
	var members []Member
	for i := range n.queue {
		if len(members) == most {
			break
		}
		// The newest news stands last and goes first.
		q := &n.queue[len(n.queue)-1-i]
		if r := n.records[q.addr]; r != nil {
			members = append(members, r.Member)
		}
		q.left--
	}
	n.queue = slices.DeleteFunc(n.queue, func(q news) bool { return q.left <= 0 })
	return members
}

// pick returns up to count random members that are believed to run, without skip.
func (n *Node) pick(count int, skip netip.AddrPort) []netip.AddrPort {
	var chosen []netip.AddrPort
	for range pickTries {
		if len(chosen) == count {
			break
		}
		for _, a := range n.drawCircle().sample(1, n.cfg.Rand) {
			r := n.records[a]
			if a != skip && r != nil && r.Liveness <= Suspect && !slices.Contains(chosen, a) {
				chosen = append(chosen, a)
			}
		}
	}
	return chosen
}

// heardAgain notes that another member passes on what this one passes on too: the
// news has got around, so fewer messages need to carry it.
func (n *Node) heardAgain(m *Member, r *record) {
	if *m != r.Member {
		return
	}
	for i := range n.queue {
		if n.queue[i].addr == m.Addr {
			n.queue[i].left -= newsFanout
			return
		}
	}
}

// GossipVersion tells random members at once, because a newer desired state is in force here.
func (n *Node) GossipVersion() ([]Send, []Event) {
	n.sendTo(n.message(typeNews), n.pick(newsFanout, n.self.Addr)...)
	return n.take()
}

// SendVersion sends the version and the age of the desired state in force here to members.
func (n *Node) SendVersion(to []netip.AddrPort) ([]Send, []Event) {
	for _, a := range to {
		if a != n.self.Addr {
			n.sendTo(n.message(typeNews), a)
		}
	}
	return n.take()
}

func (n *Node) message(t messageType) *message {
	version, age := n.cfg.Version()
	return &message{
		Type:    t,
		From:    n.self.Member,
		Load:    n.cfg.Load(),
		Sum:     n.sum,
		Version: version,
		Count:   uint32(len(n.records)),
		AgeMS:   uint32(min(age.Milliseconds(), math.MaxUint32)),
	}
}

func (n *Node) sendTo(m *message, to ...netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	payload, err := encode(m)
	if err != nil {
		return // a message of this package always encodes; tests hold that
	}
	for _, a := range to {
		n.out = append(n.out, Send{To: a, Payload: payload})
	}
}

func (n *Node) take() ([]Send, []Event) {
	out, events := n.out, n.events
	n.out, n.events = nil, nil
	return out, events
}
