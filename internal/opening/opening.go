// Package opening decides what an agent does with packets that open a flow.
//
// While a change spreads, balancers may disagree about the agents of a service,
// so two datagrams of one ClientHello can reach two agents. The candidate agents
// therefore send each other claims that name the owner of a flow, and forward
// its datagrams to that owner.
package opening

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/rendezvous"
	"github.com/almondledge/almondledge/internal/routing"
)

const (
	// Lifetime is how long an opening flow stays recorded; a handshake ends earlier.
	Lifetime = 10 * time.Second
	// MaxFlows is the maximum number of recorded opening flows.
	MaxFlows = 8192
	// maxCopies is the maximum number of datagrams that the owner of a flow keeps of it.
	maxCopies = 3
	// FinalHop is the hop count of a packet that is forwarded to the owner of its
	// flow. The receiver never forwards it again, so that no packet loops.
	FinalHop = 255
)

// Packet is an opening packet as an agent receives it.
type Packet struct {
	// DestID is the destination connection ID, which the caller chose.
	DestID []byte
	// Hops is the index of this agent in Candidates, or FinalHop.
	Hops uint8
	// Candidates are the agents that the balancer chose, best first, including this one.
	Candidates []netip.AddrPort
	// Caller and ServiceAddr are the addresses of the caller and of the service.
	Caller, ServiceAddr netip.AddrPort
	// Payload is the datagram of the caller.
	Payload []byte
}

// Send is a datagram that the agent must send to another agent: a claim or a
// forwarded packet.
type Send struct {
	To netip.AddrPort
	// Claim reports that the datagram is a claim by Owner.
	Claim bool
	Owner netip.AddrPort
	// DestID is the connection ID of the claimed flow.
	DestID []byte
	// Packet is the packet to forward, unless Claim is set.
	Packet Packet
}

// Action is what an agent does with an opening packet.
type Action uint8

// Actions for a packet.
const (
	// Deliver passes the packet to the local QUIC endpoint.
	Deliver Action = iota + 1
	// Refuse passes the packet to the local QUIC endpoint, which refuses the flow at once.
	Refuse
	// Forward sends the packet to another agent.
	Forward
	// Drop discards the packet.
	Drop
)

// Table records the opening flows that one agent knows. It is not safe for concurrent use.
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

// flow is the record of an opening flow.
type flow struct {
	// owner is the agent that accepted the flow. If this agent knows of no agent that
	// accepted the flow, owner is the candidate to which it last forwarded the flow.
	owner netip.AddrPort
	// claimed reports that owner has accepted the flow. Without a claim, owner may have
	// forwarded the flow to another agent. Later packets are then sent with the list of
	// candidates, so that owner can forward them too.
	claimed bool
	// candidates and hops are the Candidates and Hops of the packet that was forwarded.
	candidates []netip.AddrPort
	hops       uint8
	// copies are the first packets of a flow that this agent owns.
	copies []Packet
}

// NewTable returns the table of the agent at self.
func NewTable(self netip.AddrPort) *Table {
	return &Table{self: self, flows: make(map[string]*flow)}
}

// Len returns the number of recorded flows.
func (t *Table) Len() int {
	return len(t.flows)
}

// HandlePacket decides what to do with an opening packet. acceptsFlows reports
// whether the agent accepts new flows now. The result may alias packet.
func (t *Table) HandlePacket(now time.Time, packet Packet, acceptsFlows bool) (Action, []Send) {
	t.expire(now)
	known := t.flows[string(packet.DestID)]
	if known != nil && !known.wouldLoop(packet) {
		return t.handleKnown(known, packet)
	}
	if acceptsFlows {
		return t.accept(now, packet)
	}
	return t.forward(now, packet)
}

// HandleClaim records that the agent owner has accepted a flow. If a different agent
// has claimed the flow before, the better ranked agent keeps the flow. If this agent
// loses the flow, the result forwards the kept packets to the winner. If another agent
// loses the flow, the result sends the winner's claim to the loser.
func (t *Table) HandleClaim(now time.Time, destID []byte, owner netip.AddrPort) []Send {
	t.expire(now)
	known := t.flows[string(destID)]
	if known == nil || !known.claimed {
		t.record(now, destID, owner).claimed = true
		return nil
	}
	if known.owner == owner {
		return nil
	}
	winner, loser := t.rank(destID, known.owner, owner)
	known.owner = winner
	if loser == t.self {
		return forwardCopies(known, winner)
	}
	return []Send{newClaim(loser, winner, destID)}
}

// handleKnown handles a packet of a recorded flow like the earlier packets of the flow.
func (t *Table) handleKnown(known *flow, packet Packet) (Action, []Send) {
	if known.owner == t.self {
		known.keepCopy(packet)
		return Deliver, nil
	}
	if packet.Hops == FinalHop {
		return Drop, nil
	}
	if known.claimed {
		return Forward, []Send{finalForward(known.owner, packet)}
	}
	packet.Hops = known.hops
	packet.Candidates = known.candidates
	return Forward, []Send{{To: known.owner, Packet: packet}}
}

// wouldLoop reports whether a packet could loop if it were handled like the earlier
// packets of its flow: two agents that have forwarded packets of one flow to each other
// would keep doing so. A packet could loop if its hop count is at least the hop count
// with which this agent forwarded the flow.
func (f *flow) wouldLoop(packet Packet) bool {
	return !f.claimed && packet.Hops != FinalHop && packet.Hops >= f.hops
}

// accept makes this agent the owner of the flow and notifies the other candidates.
func (t *Table) accept(now time.Time, packet Packet) (Action, []Send) {
	accepted := t.record(now, packet.DestID, t.self)
	accepted.claimed = true
	accepted.keepCopy(packet)
	var sends []Send
	for _, candidate := range packet.Candidates {
		if candidate != t.self {
			sends = append(sends, newClaim(candidate, t.self, packet.DestID))
		}
	}
	return Deliver, sends
}

// forward sends the packet to the next candidate, or refuses the flow if there is none.
func (t *Table) forward(now time.Time, packet Packet) (Action, []Send) {
	next, ok := t.nextCandidate(packet)
	if !ok {
		return Refuse, nil
	}
	to := packet.Candidates[next]
	packet.Hops = uint8(next)
	forwarded := t.record(now, packet.DestID, to)
	forwarded.hops = packet.Hops
	forwarded.candidates = slices.Clone(packet.Candidates)
	return Forward, []Send{{To: to, Packet: packet}}
}

// OffloadTarget returns the candidate to which this agent may forward a flow that it
// could accept itself, or false if it must keep the flow. The last candidate is never a
// target. It is kept in reserve in case the target cannot accept the flow, for example
// because the target has just begun to drain.
func (t *Table) OffloadTarget(packet Packet) (netip.AddrPort, bool) {
	next, ok := t.nextCandidate(packet)
	if !ok || next == len(packet.Candidates)-1 {
		return netip.AddrPort{}, false
	}
	return packet.Candidates[next], true
}

// nextCandidate returns the index of the next candidate other than this agent, or false
// if there is none.
func (t *Table) nextCandidate(packet Packet) (int, bool) {
	next := int(packet.Hops) + 1
	for next < len(packet.Candidates) && packet.Candidates[next] == t.self {
		next++
	}
	return next, next < len(packet.Candidates)
}

// rankSeed is the hash seed for ranking two claims. It is not secret and must never
// change: agents with different seeds could each keep their own claim to the same flow.
const rankSeed = 0

// rank orders two agents by their rendezvous hashing score for a flow, so that
// all agents agree on the order.
func (t *Table) rank(destID []byte, a, b netip.AddrPort) (winner, loser netip.AddrPort) {
	hash := routing.FlowHash(rankSeed, destID)
	if rendezvous.Score(hash, rendezvous.HashAddr(a)) >= rendezvous.Score(hash, rendezvous.HashAddr(b)) {
		return a, b
	}
	return b, a
}

// record stores the owner of a flow, replacing any earlier record of the flow.
func (t *Table) record(now time.Time, destID []byte, owner netip.AddrPort) *flow {
	if known := t.flows[string(destID)]; known != nil {
		*known = flow{owner: owner}
		return known
	}
	if len(t.flows) >= MaxFlows {
		t.evictOldest()
	}
	key := string(destID)
	created := &flow{owner: owner}
	t.flows[key] = created
	t.order = append(t.order, orderEntry{key: key, created: now})
	return created
}

func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].created) > Lifetime {
		t.evictOldest()
	}
}

func (t *Table) evictOldest() {
	delete(t.flows, t.order[0].key)
	t.order = t.order[1:]
}

// keepCopy stores a copy of a packet, to be forwarded if another agent wins the flow.
func (f *flow) keepCopy(packet Packet) {
	if len(f.copies) >= maxCopies {
		return
	}
	packet.DestID = append([]byte(nil), packet.DestID...)
	packet.Payload = append([]byte(nil), packet.Payload...)
	packet.Candidates = nil
	f.copies = append(f.copies, packet)
}

// forwardCopies forwards the kept packets of a lost flow to the agent that won it.
func forwardCopies(lost *flow, winner netip.AddrPort) []Send {
	sends := make([]Send, 0, len(lost.copies))
	for _, packet := range lost.copies {
		sends = append(sends, finalForward(winner, packet))
	}
	lost.copies = nil
	return sends
}

// finalForward returns the Send that forwards a packet to the owner of its flow, which
// must not forward the packet again.
func finalForward(to netip.AddrPort, packet Packet) Send {
	packet.Hops = FinalHop
	packet.Candidates = nil
	return Send{To: to, Packet: packet}
}

func newClaim(to, owner netip.AddrPort, destID []byte) Send {
	return Send{To: to, Claim: true, Owner: owner, DestID: destID}
}
