package fleet

import (
	"net/netip"
	"time"
)

// probe is a ping that waits for its answer.
type probe struct {
	target netip.AddrPort
	sent   time.Time
	// sentIndirect is set once other members were asked for indirect probes.
	sentIndirect bool
}

// relay is an indirect probe that this node sends for another member.
type relay struct {
	requester netip.AddrPort
	sequence  uint32
	until     time.Time
}

// startProbe probes the next member that is not dead.
func (n *Node) startProbe(now time.Time) {
	for range n.table {
		order := n.chooseProbeOrder()
		if len(order.addrs) == 0 {
			return
		}
		target := order.nextTarget(n.cfg.Rand)
		if r := n.table[target]; r != nil && r.Liveness != Dead {
			n.Probe(now, target)
			return
		}
	}
}

// Probe pings a member. Other packages call it for a member that seems unresponsive. Probe does nothing if a
// probe of the member is pending.
func (n *Node) Probe(now time.Time, target netip.AddrPort) {
	for _, p := range n.probes {
		if p.target == target {
			return
		}
	}
	n.sequence++
	n.probes[n.sequence] = &probe{target: target, sent: now}
	m := n.message(typePing)
	m.Sequence = n.sequence
	m.Members = n.nextUpdates(probeUpdates)
	if r := n.table[target]; r != nil && r.Liveness == Suspect {
		// A suspect must receive the suspicion to be able to refute it.
		m.Members = append(m.Members, r.Member)
	}
	n.sendTo(m, target)
}

// Flush returns the output of Probe.
func (n *Node) Flush() ([]Send, []Event) { return n.takeOutput() }

func (n *Node) checkProbes(now time.Time) {
	for sequence, p := range n.probes {
		waited := now.Sub(p.sent)
		if waited >= indirectTimeout {
			delete(n.probes, sequence)
			n.suspect(now, p.target)
			continue
		}
		if waited >= directTimeout && !p.sentIndirect {
			p.sentIndirect = true
			m := n.message(typePingRequest)
			m.Sequence = sequence
			m.Target = p.target
			n.sendTo(m, n.pickMembers(indirectProbes, p.target)...)
		}
	}
	for sequence, r := range n.relays {
		if now.After(r.until) {
			delete(n.relays, sequence)
		}
	}
}

func (n *Node) suspect(now time.Time, a netip.AddrPort) {
	r := n.table[a]
	if r == nil || r.Liveness >= Suspect || n.Isolated(now) {
		return
	}
	m := r.Member
	m.Liveness = Suspect
	if r.Liveness == Leaving {
		m.Liveness = Dead // the member has announced its leave
	}
	n.applyUpdate(now, m)
}

// checkSuspects declares members dead whose timeout has passed, and removes members that were dead for
// forgetTimeout.
func (n *Node) checkSuspects(now time.Time) {
	for a, r := range n.expiring {
		age := now.Sub(r.since)
		switch {
		case r.Liveness == Suspect && age >= suspectTimeout, r.Liveness == Leaving && age >= leaveTimeout:
			m := r.Member
			m.Liveness = Dead
			n.applyUpdate(now, m)
		case r.Liveness == Dead && age >= forgetTimeout:
			n.sum ^= r.sumCache
			delete(n.table, a)
			delete(n.expiring, a)
			n.probeOrderOf(r.DataCentre).remove(a)
			n.events = append(n.events, Event{Kind: MemberForgotten, Member: r.Member})
		}
	}
}

// contactSeeds asks the seeds and some contacts for their tables, every joinPeriod until one has answered. After that,
// every rejoinPeriod, it asks only those that are not considered alive and one dead member.
func (n *Node) contactSeeds(now time.Time) {
	period := joinPeriod
	if n.joined {
		period = rejoinPeriod
	}
	n.nextJoin = now.Add(period)
	m := n.message(typeTable)
	m.WantTable = true
	n.sendTo(m, n.absent(n.cfg.Seeds)...)
	contacts := n.absent(n.contacts)
	n.cfg.Rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	n.sendTo(m, contacts[:min(len(contacts), contactsPerPeriod)]...)
	if n.joined {
		n.contactDeadMember(m)
	}
}

// absent returns the addresses of other members that are not considered alive: all of them before this node has joined.
func (n *Node) absent(addrs []netip.AddrPort) []netip.AddrPort {
	var absent []netip.AddrPort
	for _, a := range addrs {
		r := n.table[a]
		if a == n.self.Addr || (n.joined && r != nil && r.Liveness < Suspect) {
			continue
		}
		absent = append(absent, a)
	}
	return absent
}

// contactDeadMember asks one random dead member for its table, which brings the parts of a
// deployment together again after a network partition.
func (n *Node) contactDeadMember(m *message) {
	for _, a := range n.chooseProbeOrder().sample(1, n.cfg.Rand) {
		if r := n.table[a]; r != nil && r.Liveness == Dead {
			n.sendTo(m, a)
		}
	}
}
