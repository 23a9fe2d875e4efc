// Package opening decides, at an agent, what becomes of packets that open a
// flow. Balancers may disagree about the agents of a service while a change
// spreads, so two datagrams of one ClientHello can reach two agents. The agents
// named as candidates tell each other who has taken a flow and bring its
// datagrams together.
package opening

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/rendezvous"
	"github.com/almondledge/almondledge/internal/routing"
)

const (
	// Lifetime is how long an opening flow is remembered; a handshake ends earlier.
	Lifetime = 10 * time.Second
	// MaxFlows is the number of opening flows that are remembered.
	MaxFlows = 8192
	// maxCopies is the number of datagrams kept of one opening flow.
	maxCopies = 3
	// FinalHop marks a packet that is handed to the agent that took its flow; it
	// is never handed on again, so that no packet circles.
	FinalHop = 255
)

// Packet is an opening packet as an agent receives it.
type Packet struct {
	// DestID is the connection ID that the caller chose.
	DestID []byte
	// Hops is the position of this agent among the candidates, or FinalHop.
	Hops uint8
	// Candidates are the agents that the balancer named, best first, this one included.
	Candidates []netip.AddrPort
	// Caller and ServiceAddr are the addresses of the caller and of the service.
	Caller, ServiceAddr netip.AddrPort
	// Payload is the datagram of the caller.
	Payload []byte
}

// Send is a datagram that the agent must send to another agent.
type Send struct {
	To netip.AddrPort
	// Claim reports a claim by Owner instead of a packet.
	Claim bool
	Owner netip.AddrPort
	// DestID is the connection ID of the claimed flow.
	DestID []byte
	// Packet is the packet to pass on, unless Claim is set.
	Packet Packet
}

// Action is what becomes of a packet at this agent.
type Action uint8

// Fates of a packet.
const (
	// Deliver hands the packet to the local QUIC endpoint.
	Deliver Action = iota + 1
	// Refuse hands it to the local QUIC endpoint, which refuses the flow at once.
	Refuse
	// Forward means that another agent gets the packet.
	Forward
	// Drop means that the packet ends here.
	Drop
)

// Table remembers the opening flows of one agent. It is not safe for concurrent use.
type Table struct {
	self  netip.AddrPort
	flows map[string]*flow
	// order holds the keys of flows, oldest first.
	order []orderEntry
}

type orderEntry struct {
	key     string
	created time.Time
}

// flow is what an agent knows of an opening flow.
type flow struct {
	// owner has taken the flow, or was offered it last.
	owner netip.AddrPort
	// claimed reports that owner has taken the flow. If it was only offered the
	// flow, it may have passed it on, and further packets must be able to follow.
	claimed bool
	// candidates and hops are those of the packet that was passed on.
	candidates []netip.AddrPort
	hops       uint8
	copies     []Packet
}

// NewTable returns the table of the agent at self.
func NewTable(self netip.AddrPort) *Table {
	return &Table{self: self, flows: make(map[string]*flow)}
}

// Len returns the number of remembered flows.
func (t *Table) Len() int {
	return len(t.flows)
}

// HandlePacket decides about an opening packet. Willing reports whether the
// agent accepts new flows now. The result may alias packet.
func (t *Table) HandlePacket(now time.Time, packet Packet, willing bool) (Action, []Send) {
	t.expire(now)
	known := t.flows[string(packet.DestID)]
	if known != nil && !known.isOvertaken(packet) {
		return t.follow(known, packet)
	}
	if willing {
		return t.take(now, packet)
	}
	return t.pass(now, packet)
}

// HandleClaim notes that the agent owner has taken a flow.
func (t *Table) HandleClaim(now time.Time, destID []byte, owner netip.AddrPort) []Send {
	t.expire(now)
	known := t.flows[string(destID)]
	if known == nil || !known.claimed {
		t.remember(now, destID, owner).claimed = true
		return nil
	}
	if known.owner == owner {
		return nil
	}
	winner, loser := t.rank(destID, known.owner, owner)
	known.owner = winner
	if loser == t.self {
		return handOver(known, winner)
	}
	return []Send{claim(loser, winner, destID)}
}

// follow sends a packet the way that earlier packets of its flow went.
func (t *Table) follow(known *flow, packet Packet) (Action, []Send) {
	if known.owner == t.self {
		known.keep(packet)
		return Deliver, nil
	}
	if packet.Hops == FinalHop {
		return Drop, nil
	}
	if known.claimed {
		return Forward, []Send{final(known.owner, packet)}
	}
	packet.Hops = known.hops
	packet.Candidates = known.candidates
	return Forward, []Send{{To: known.owner, Packet: packet}}
}

// isOvertaken reports whether a packet has come further along its candidates
// than the one that this agent passed on. Such a packet does not follow, so that
// two agents that passed packets of one flow to each other do not go on doing so.
func (f *flow) isOvertaken(packet Packet) bool {
	return !f.claimed && packet.Hops != FinalHop && packet.Hops >= f.hops
}

// take accepts the flow and tells the other candidates.
func (t *Table) take(now time.Time, packet Packet) (Action, []Send) {
	taken := t.remember(now, packet.DestID, t.self)
	taken.claimed = true
	taken.keep(packet)
	var sends []Send
	for _, candidate := range packet.Candidates {
		if candidate != t.self {
			sends = append(sends, claim(candidate, t.self, packet.DestID))
		}
	}
	return Deliver, sends
}

// pass offers the flow to the next candidate, or refuses it if there is none.
func (t *Table) pass(now time.Time, packet Packet) (Action, []Send) {
	next, ok := t.nextIndex(packet)
	if !ok {
		return Refuse, nil
	}
	to := packet.Candidates[next]
	packet.Hops = uint8(next)
	passed := t.remember(now, packet.DestID, to)
	passed.hops = packet.Hops
	passed.candidates = slices.Clone(packet.Candidates)
	return Forward, []Send{{To: to, Packet: packet}}
}

// OffloadTarget returns the candidate that gets the packet if this agent could
// take its flow but would rather not, or false if it must not pass it. The last
// candidate is held back for that one being unable to take the flow: an agent
// that has just begun to drain must not cost a flow that others could take.
func (t *Table) OffloadTarget(packet Packet) (netip.AddrPort, bool) {
	next, ok := t.nextIndex(packet)
	if !ok || next == len(packet.Candidates)-1 {
		return netip.AddrPort{}, false
	}
	return packet.Candidates[next], true
}

func (t *Table) nextIndex(packet Packet) (int, bool) {
	next := int(packet.Hops) + 1
	for next < len(packet.Candidates) && packet.Candidates[next] == t.self {
		next++
	}
	return next, next < len(packet.Candidates)
}

// rankSeed is the seed of the order of two claims. It is no secret and never
// changes, because agents that ordered them differently would each insist on
// their own claim for ever.
const rankSeed = 0

// rank orders two agents by their score for a flow; all agents agree on it.
func (t *Table) rank(destID []byte, a, b netip.AddrPort) (winner, loser netip.AddrPort) {
	hash := routing.FlowHash(rankSeed, destID)
	if rendezvous.Score(hash, rendezvous.HashAddr(a)) >= rendezvous.Score(hash, rendezvous.HashAddr(b)) {
		return a, b
	}
	return b, a
}

// remember notes the owner of a flow, in place of what was known of it.
func (t *Table) remember(now time.Time, destID []byte, owner netip.AddrPort) *flow {
	if known := t.flows[string(destID)]; known != nil {
		*known = flow{owner: owner}
		return known
	}
	if len(t.flows) >= MaxFlows {
		t.forgetOldest()
	}
	key := string(destID)
	created := &flow{owner: owner}
	t.flows[key] = created
	t.order = append(t.order, orderEntry{key: key, created: now})
	return created
}

func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].created) > Lifetime {
		t.forgetOldest()
	}
}

func (t *Table) forgetOldest() {
	delete(t.flows, t.order[0].key)
	t.order = t.order[1:]
}

// keep stores a copy of a packet, to be handed over if another agent wins the flow.
func (f *flow) keep(packet Packet) {
	if len(f.copies) >= maxCopies {
		return
	}
	packet.DestID = append([]byte(nil), packet.DestID...)
	packet.Payload = append([]byte(nil), packet.Payload...)
	packet.Candidates = nil
	f.copies = append(f.copies, packet)
}

// handOver sends the copies of a lost flow to the agent that keeps it.
func handOver(lost *flow, winner netip.AddrPort) []Send {
	sends := make([]Send, 0, len(lost.copies))
	for _, packet := range lost.copies {
		sends = append(sends, final(winner, packet))
	}
	lost.copies = nil
	return sends
}

func final(to netip.AddrPort, packet Packet) Send {
	packet.Hops = FinalHop
	packet.Candidates = nil
	return Send{To: to, Packet: packet}
}

func claim(to, owner netip.AddrPort, destID []byte) Send {
	return Send{To: to, Claim: true, Owner: owner, DestID: destID}
}
