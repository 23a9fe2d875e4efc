package fleet

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// relayLifetime is how long the state of an indirect probe for another member is kept.
const relayLifetime = time.Second

// Handle processes a datagram of another member, which members send from their own addresses. An error of kind Invalid
// means that the datagram could not be decoded, or comes from another address than it says, and changed nothing.
func (n *Node) Handle(now time.Time, from netip.AddrPort, payload []byte) ([]Send, []Event, error) {
	m, err := decode(payload)
	if err != nil {
		return nil, nil, err
	}
	if m.From.Addr == n.self.Addr {
		return nil, nil, nil // this member's own message, sent to an outdated address
	}
	if m.From.Addr != from {
		return nil, nil, errkind.New(errkind.Invalid, "membership message of "+m.From.Addr.String()+" comes from "+from.String(),
			"check which program sends it")
	}
	n.lastReceived = now
	n.applyMessage(now, m)
	n.compareTables(m)
	n.checkTable(now, m)
	switch m.Type {
	case typePing:
		n.sendAck(from, m)
	case typeAck:
		n.handleAck(m)
	case typePingRequest:
		n.relayProbe(now, from, m)
	case typeUpdates, typeTable:
		n.joined = n.joined || (m.Type == typeTable && !m.WantTable)
		if m.WantTable {
			n.sendTable(now, m.From.Addr)
		}
	}
	if m.Type == typePing && m.Sum != n.sum && !now.Before(n.nextCompare) {
		n.nextCompare = now.Add(comparePeriod)
		n.compare(m)
	}
	sends, events := n.takeOutput()
	return sends, events, nil
}

// applyMessage applies the parts that every message has: the records of its sender and of other members, the
// sender's load and the version of its desired state.
func (n *Node) applyMessage(now time.Time, m *message) {
	known := n.table[m.From.Addr]
	if known != nil && Supersedes(&known.Member, &m.From) {
		// The sender can refute the newer record about itself only if it receives that record.
		n.sendRecord(known.Member, m.From.Addr)
	}
	n.applyUpdate(now, m.From)
	for i := range m.Members {
		if m.Type == typeTable {
			n.mergeTableRecord(now, m.Members[i], m.died(now))
		} else {
			n.applyUpdate(now, m.Members[i])
		}
	}
	if m.From.Role == Agent {
		n.events = append(n.events, Event{Kind: LoadReported, Member: m.From, Load: m.Load})
	}
	n.events = append(n.events, Event{
		Kind:    VersionReported,
		Member:  m.From,
		Version: m.Version,
		Age:     time.Duration(m.AgeMS) * time.Millisecond,
	})
}

// mergeTableRecord merges a record from another member's table. Other members know it already, so
// it is only added to later messages. A process that has just started also introduces itself to the
// first alive members that it learns of.
func (n *Node) mergeTableRecord(now time.Time, m Member, died time.Time) {
	if !n.mergeRecord(now, m, died) {
		return
	}
	n.queueUpdate(m.Addr)
	if n.introductionsLeft > 0 && m.Liveness == Alive {
		n.introductionsLeft--
		n.sendTo(n.message(typeUpdates), m.Addr)
	}
}

// sendRecord sends one record to one member.
func (n *Node) sendRecord(about Member, to netip.AddrPort) {
	m := n.message(typeUpdates)
	m.Members = []Member{about}
	n.sendTo(m, to)
}

func (n *Node) sendAck(from netip.AddrPort, ping *message) {
	m := n.message(typeAck)
	m.Sequence = ping.Sequence
	m.Target = n.self.Addr
	m.Members = n.nextUpdates(probeUpdates)
	n.sendTo(m, from)
}

// handleAck ends a probe, or forwards the answer to the member that requested an indirect probe.
func (n *Node) handleAck(m *message) {
	if r, ok := n.relays[m.Sequence]; ok && m.Target == m.From.Addr {
		delete(n.relays, m.Sequence)
		forwarded := n.message(typeAck)
		forwarded.Sequence = r.sequence
		forwarded.Target = m.From.Addr
		forwarded.Members = []Member{m.From}
		n.sendTo(forwarded, r.requester)
		return
	}
	if p := n.probes[m.Sequence]; p != nil && p.target == m.Target {
		delete(n.probes, m.Sequence)
	}
}

// checkTable requests a fetch of the sender's whole table if that table has many more members, or if it is
// large and differs and no table was fetched for auditPeriod. Smaller tables are synchronised by datagrams
// alone.
func (n *Node) checkTable(now time.Time, m *message) {
	missing := int(m.Count) - len(n.table)
	isAudit := int(m.Count) > largeTable && m.Sum != n.sum && now.Sub(n.lastFetch) >= auditPeriod
	if (missing <= largeTable && !isAudit) || now.Before(n.nextFetch) {
		return
	}
	n.nextFetch = now.Add(fetchPeriod)
	n.events = append(n.events, Event{Kind: FellBehind, Member: m.From, Complete: m.statesComplete()})
}

// MergeTable merges records of another member's table, and the times since the deaths of the dead members among them.
// The records are not gossiped, because other members have gossiped them already.
func (n *Node) MergeTable(now time.Time, members []Member, ages []DeadAge) ([]Send, []Event) {
	n.lastFetch = now
	died := make(map[netip.AddrPort]time.Time, len(ages))
	for _, a := range ages {
		died[a.Addr] = now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
	}
	for i := range members {
		n.mergeRecord(now, members[i], died[members[i].Addr])
	}
	return n.takeOutput()
}

// relayProbe sends an indirect probe on behalf of another member.
func (n *Node) relayProbe(now time.Time, from netip.AddrPort, m *message) {
	n.sequence++
	n.relays[n.sequence] = relay{requester: from, sequence: m.Sequence, until: now.Add(relayLifetime)}
	ping := n.message(typePing)
	ping.Sequence = n.sequence
	n.sendTo(ping, m.Target)
}

// compare answers a ping whose sender has a different table with records of this table: half of the time the
// most recently changed records, which are most likely to differ, and otherwise a random sample.
func (n *Node) compare(m *message) {
	if n.cfg.Rand.IntN(2) == 0 {
		n.sendMembers(m.From.Addr, n.recent)
		return
	}
	n.sendMembers(m.From.Addr, n.chooseProbeOrder().sample(maxDatagramMembers, n.cfg.Rand))
}

// sendTable sends this table to a member that asked for it, at most maxTableDatagrams datagrams.
// Comparing tables transfers the rest.
func (n *Node) sendTable(now time.Time, to netip.AddrPort) {
	n.sendDead(now, to)
	const limit = maxTableDatagrams * maxDatagramMembers
	addrs := n.remote.sample(limit, n.cfg.Rand)
	addrs = append(addrs, n.local.sample(limit-len(addrs), n.cfg.Rand)...)
	n.sendMembers(to, append(addrs, n.self.Addr))
}

// sendMembers sends the records of addrs, from the last to the first.
func (n *Node) sendMembers(to netip.AddrPort, addrs []netip.AddrPort) {
	for {
		m := n.message(typeTable)
		for len(addrs) > 0 && len(m.Members) < maxDatagramMembers {
			last := len(addrs) - 1
			if r := n.table[addrs[last]]; r != nil {
				m.Members = append(m.Members, r.Member)
			}
			addrs = addrs[:last]
		}
		n.sendTo(m, to)
		if len(addrs) == 0 {
			return
		}
	}
}
