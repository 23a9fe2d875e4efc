package fleet

import (
	"net/netip"
	"time"
)

// probe is a member that was asked for an answer.
type probe struct {
	target netip.AddrPort
	sent   time.Time
	// helped is set once other members were asked to probe too.
	helped bool
}

// relay is a probe that this node makes for another member.
type relay struct {
	asker    netip.AddrPort
	sequence uint32
	until    time.Time
}

// startProbe asks the next member for an answer.
func (n *Node) startProbe(now time.Time) {
	for range n.records {
		c := n.drawCircle()
		if len(c.addrs) == 0 {
			return
		}
		target := c.turn(n.cfg.Rand)
		if r := n.records[target]; r != nil && r.Liveness != Dead {
			n.Probe(now, target)
			return
		}
	}
}

// Probe asks one member for an answer now, because something else made it look silent.
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
	m.Members = n.takeNews(probedMembers)
	if r := n.records[target]; r != nil && r.Liveness == Suspect {
		// A suspect must hear of the suspicion to be able to object.
		m.Members = append(m.Members, r.Member)
	}
	n.sendTo(m, target)
}

// Flush returns what Probe made this node send.
func (n *Node) Flush() ([]Send, []Event) { return n.take() }

func (n *Node) checkProbes(now time.Time) {
	for sequence, p := range n.probes {
		waited := now.Sub(p.sent)
		if waited >= indirectTimeout {
			delete(n.probes, sequence)
			n.suspect(now, p.target)
			continue
		}
		if waited >= directTimeout && !p.helped {
			p.helped = true
			m := n.message(typePingRequest)
			m.Sequence = sequence
			m.Target = p.target
			n.sendTo(m, n.pick(indirectProbes, p.target)...)
		}
	}
	for sequence, r := range n.relays {
		if now.After(r.until) {
			delete(n.relays, sequence)
		}
	}
}

func (n *Node) suspect(now time.Time, a netip.AddrPort) {
	r := n.records[a]
	if r == nil || r.Liveness >= Suspect || n.Isolated(now) {
		return
	}
	m := r.Member
	m.Liveness = Suspect
	if r.Liveness == Leaving {
		m.Liveness = Dead // it has said that it would end
	}
	n.learn(now, m)
}

// checkSuspects declares suspects dead that did not object, and forgets the dead.
func (n *Node) checkSuspects(now time.Time) {
	for a, r := range n.fading {
		age := now.Sub(r.since)
		switch {
		case r.Liveness == Suspect && age >= suspectTimeout, r.Liveness == Leaving && age >= leaveTimeout:
			m := r.Member
			m.Liveness = Dead
			n.learn(now, m)
		case r.Liveness == Dead && age >= forgetTimeout:
			n.sum ^= r.sumCache
			delete(n.records, a)
			delete(n.fading, a)
			n.circleOf(r.DataCentre).remove(a)
			n.events = append(n.events, Event{Kind: MemberForgotten, Member: r.Member})
		}
	}
}

// contactSeeds asks the seeds for their tables until one has answered, and later
// from time to time those that are not known as alive.
func (n *Node) contactSeeds(now time.Time) {
	period := joinPeriod
	if n.joined {
		period = rejoinPeriod
	}
	n.nextJoin = now.Add(period)
	m := n.message(typeTable)
	m.Ask = true
	for _, seed := range n.cfg.Seeds {
		r := n.records[seed]
		if seed == n.self.Addr || (n.joined && r != nil && r.Liveness < Suspect) {
			continue
		}
		n.sendTo(m, seed)
	}
	if n.joined {
		n.knockAtDead(m)
	}
}

// knockAtDead sends to one random member taken for dead, in case only a cut was between.
func (n *Node) knockAtDead(m *message) {
	for _, a := range n.drawCircle().sample(1, n.cfg.Rand) {
		if r := n.records[a]; r != nil && r.Liveness == Dead {
			n.sendTo(m, a)
		}
	}
}
