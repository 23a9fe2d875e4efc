package fleet

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// DeadAge is the time since the death of a member, which a table states beside the member's record. A member that
// starts must know who has died lately: an agent that was stopped as planned may come back, and its backend server
// still has its flows. Without the time, such records would pass from one starting member to the next, and those of
// members that have gone for good would never be forgotten.
type DeadAge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Addr netip.AddrPort
	// AgeMS is the time since the death, in milliseconds.
	AgeMS uint32
}

// DeadAges returns the times since the deaths of the dead members, the shortest first.
func (n *Node) DeadAges(now time.Time) []DeadAge {
	var ages []DeadAge
	for addr, r := range n.expiring {
		if r.Liveness == Dead {
			age := min(max(now.Sub(r.since).Milliseconds(), 0), math.MaxUint32)
			ages = append(ages, DeadAge{Addr: addr, AgeMS: uint32(age)})
		}
	}
	slices.SortFunc(ages, func(a, b DeadAge) int {
		if a.AgeMS != b.AgeMS {
			return int(int64(a.AgeMS) - int64(b.AgeMS))
		}
		return a.Addr.Compare(b.Addr)
	})
	return ages
}

// sendDead sends the records of the members that have died last, each in a message that states the time since the death.
func (n *Node) sendDead(now time.Time, to netip.AddrPort) {
	ages := n.DeadAges(now)
	for _, dead := range ages[:min(len(ages), maxDeadDatagrams)] {
		m := n.message(typeTable)
		m.Sequence = max(dead.AgeMS, 1) // zero would mean that the time is not stated
		m.Members = []Member{n.table[dead.Addr].Member}
		n.sendTo(m, to)
	}
}

// died returns when the dead members in a table message died, or zero if the message does not state it.
func (m *message) died(now time.Time) time.Time {
	if m.Sequence == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.Sequence) * time.Millisecond)
}

// mayLearnOfDeath reports whether a dead member that this node does not know may be added to the table. Without the
// time of the death, the record may be one of a member that this node has forgotten.
func (n *Node) mayLearnOfDeath(now, died time.Time) bool {
	if died.IsZero() {
		return !n.joined
	}
	return now.Sub(died) < learnDeadTimeout
}
