package fleet

import (
	"net/netip"
	"time"
)

// relayLifetime is how long the answer to a relayed probe is waited for.
const relayLifetime = time.Second

// Handle takes a datagram of another member. An error of kind Invalid means that
// it could not be read; nothing was changed then.
func (n *Node) Handle(now time.Time, from netip.AddrPort, payload []byte) ([]Send, []Event, error) {
	m, err := decode(payload)
	if err != nil {
		return nil, nil, err
	}
	if m.From.Addr == n.self.Addr {
		return nil, nil, nil // this member's own words, by way of a stale address
	}
	n.lastHeard = now
	n.takeIn(now, m)
	n.checkTable(now, m)
	switch m.Type {
	case typePing:
		n.answer(from, m)
	case typeAck:
		n.acknowledged(m)
	case typePingRequest:
		n.help(now, from, m)
	case typeNews, typeTable:
		n.joined = n.joined || (m.Type == typeTable && !m.Ask)
		if m.Ask {
			n.sendTable(m.From.Addr)
		}
	}
	if m.Type == typePing && m.Sum != n.sum && !now.Before(n.nextCompare) {
		n.nextCompare = now.Add(comparePeriod)
		n.compare(m)
	}
	sends, events := n.take()
	return sends, events, nil
}

// takeIn learns what any message says of its sender and of others.
func (n *Node) takeIn(now time.Time, m *message) {
	known := n.records[m.From.Addr]
	if known != nil && Supersedes(&known.Member, &m.From) {
		// The sender must hear what is held against it, to object with a newer statement.
		n.tell(known.Member, m.From.Addr)
	}
	n.learn(now, m.From)
	for i := range m.Members {
		if m.Type == typeTable {
			n.learnFromTable(now, m.Members[i])
		} else {
			n.learn(now, m.Members[i])
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

// learnFromTable takes a statement from another member's table. It was news to others
// before, so later messages suffice to pass it on. A process that has just started
// makes itself known to the first members that it learns of.
func (n *Node) learnFromTable(now time.Time, m Member) {
	if !n.fill(now, m) {
		return
	}
	n.enqueue(m.Addr)
	if n.greetings > 0 && m.Liveness == Alive {
		n.greetings--
		n.sendTo(n.message(typeNews), m.Addr)
	}
}

// tell sends one statement to one member.
func (n *Node) tell(about Member, to netip.AddrPort) {
	m := n.message(typeNews)
	m.Members = []Member{about}
	n.sendTo(m, to)
}

func (n *Node) answer(from netip.AddrPort, ping *message) {
	m := n.message(typeAck)
	m.Sequence = ping.Sequence
	m.Target = n.self.Addr
	m.Members = n.takeNews(probedMembers)
	n.sendTo(m, from)
}

// acknowledged ends a probe, or passes an answer on to the member that asked for it.
func (n *Node) acknowledged(m *message) {
	if r, ok := n.relays[m.Sequence]; ok && m.Target == m.From.Addr {
		delete(n.relays, m.Sequence)
		passed := n.message(typeAck)
		passed.Sequence = r.sequence
		passed.Target = m.From.Addr
		passed.Members = []Member{m.From}
		n.sendTo(passed, r.asker)
		return
	}
	if p := n.probes[m.Sequence]; p != nil && p.target == m.Target {
		delete(n.probes, m.Sequence)
	}
}

// checkTable asks for the whole table of a member whose table is much larger, or has
// differed for long. Tables that datagrams can carry are compared by these alone.
func (n *Node) checkTable(now time.Time, m *message) {
	missing := int(m.Count) - len(n.records)
	isAudit := int(m.Count) > largeTable && m.Sum != n.sum && now.Sub(n.lastFetch) >= auditPeriod
	if (missing <= largeTable && !isAudit) || now.Before(n.nextFetch) {
		return
	}
	n.nextFetch = now.Add(fetchPeriod)
	n.events = append(n.events, Event{Kind: FellBehind, Member: m.From})
}

// MergeTable takes over a part of another member's whole table. Its statements are not
// passed on: those that were new to others were passed on as news.
func (n *Node) MergeTable(now time.Time, members []Member) ([]Send, []Event) {
	n.lastFetch = now
	for i := range members {
		n.fill(now, members[i])
	}
	return n.take()
}

// help probes a member for another one.
func (n *Node) help(now time.Time, from netip.AddrPort, m *message) {
	n.sequence++
	n.relays[n.sequence] = relay{asker: from, sequence: m.Sequence, until: now.Add(relayLifetime)}
	ping := n.message(typePing)
	ping.Sequence = n.sequence
	n.sendTo(ping, m.Target)
}

// compare answers a ping whose sender has another table with a part of this one:
// what changed last, where they most likely differ, or at times any part.
func (n *Node) compare(m *message) {
	if n.cfg.Rand.IntN(2) == 0 {
		n.sendMembers(m.From.Addr, n.recent)
		return
	}
	n.sendMembers(m.From.Addr, n.drawCircle().sample(maxDatagramMembers, n.cfg.Rand))
}

// sendTable sends the table, or as much of it as tableParts datagrams hold, to a
// member that asked for it. The rest follows as tables are compared.
func (n *Node) sendTable(to netip.AddrPort) {
	const most = tableParts * maxDatagramMembers
	table := n.remote.sample(most, n.cfg.Rand)
	table = append(table, n.local.sample(most-len(table), n.cfg.Rand)...)
	n.sendMembers(to, append(table, n.self.Addr))
}

// sendMembers sends statements about members, the last of them first.
func (n *Node) sendMembers(to netip.AddrPort, addrs []netip.AddrPort) {
	for {
		m := n.message(typeTable)
		for len(addrs) > 0 && len(m.Members) < maxDatagramMembers {
			last := len(addrs) - 1
			if r := n.records[addrs[last]]; r != nil {
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
