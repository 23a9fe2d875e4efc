// Package hop defines the datagrams between balancers and agents that carry callers' packets, and the
// datagrams that report or query which agent has a flow.
//
// The encoding is fixed-width and big-endian and does not allocate, because these datagrams are
// built for every packet.
package hop

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/flow"
)

// Type is the first byte of every datagram between members.
type Type uint8

// Types of datagram.
const (
	// TypeForward carries a caller's packet to an agent.
	TypeForward Type = iota + 1
	// TypeNotice informs a balancer which agent has a flow, or has refused it.
	TypeNotice
	// TypeClaim informs the home agents of flows which agent has them.
	TypeClaim
	// TypeQuery asks an agent whether it has a flow; TypeAnswer is the answer.
	TypeQuery
	TypeAnswer
	// TypeMembership carries a message of package fleet.
	TypeMembership
)

// typeNames are the names of the types in metrics.
var typeNames = map[Type]string{
	TypeForward: "packet", TypeNotice: "notice", TypeClaim: "claim",
	TypeQuery: "query", TypeAnswer: "answer", TypeMembership: "membership",
}

// Types returns all types of datagram.
func Types() []Type {
	return []Type{TypeForward, TypeNotice, TypeClaim, TypeQuery, TypeAnswer, TypeMembership}
}

// String returns the name of the type in metrics.
func (t Type) String() string { return typeNames[t] }

// MaxVisited bounds the agents that may forward one packet.
const MaxVisited = 24

// Sizes in bytes.
const (
	endpointSize      = 6
	forwardHeaderSize = 1 + 1 + 1 + endpointSize + 8 + 4
	waitedSize        = 2
	noticeSize        = 1 + flow.KeySize + 4 + 1
	claimHeaderSize   = 1 + endpointSize + 1
	// MaxClaims bounds the flows in one claim.
	MaxClaims = 90
)

// Forward is a forwarded packet of a caller.
type Forward struct {
	// Balancer is the balancer that received the packet from the caller; it receives the notice that names
	// the agent of the flow. If Search is set, Balancer is the home agent that searches.
	Balancer flow.Endpoint
	// OwnerKnown is set when the receiver has already confirmed to the balancer that it has the flow, so that
	// the receiver need not send another notice.
	OwnerKnown bool
	// Search is set when a home agent searches for the flow and the receiver cannot tell whether its backend
	// server holds it. The receiver sends the packet to its backend server, and answers the home agent if the
	// backend server returns the packet.
	Search bool
	// Version is the version of the desired state by which an opening packet was routed, and
	// Service the hash of the service that was chosen.
	Version uint64
	Service uint32
	// Visited lists the agents that have forwarded the packet.
	Visited []flow.Endpoint
	// Waited is how long an opening packet has waited at agents, in whole milliseconds up to MaxWaited.
	Waited time.Duration
	Packet []byte
}

// MaxWaited is the longest wait that a forwarded packet can state.
const MaxWaited = math.MaxUint16 * time.Millisecond

// Bits of the flags of a forwarded packet.
const (
	flagOwnerKnown = 1 << iota
	flagSearch
	// flagWaited marks a datagram in which the waiting time stands before the packet.
	flagWaited
)

// AppendTo appends the encoded datagram to b.
func (f *Forward) AppendTo(b []byte) []byte {
	var flags byte
	if f.OwnerKnown {
		flags |= flagOwnerKnown
	}
	if f.Search {
		flags |= flagSearch
	}
	if f.Waited > 0 {
		flags |= flagWaited
	}
	b = append(b, byte(TypeForward), flags, byte(len(f.Visited)))
	b = appendEndpoint(b, f.Balancer)
	b = binary.BigEndian.AppendUint64(b, f.Version)
	b = binary.BigEndian.AppendUint32(b, f.Service)
	for _, v := range f.Visited {
		b = appendEndpoint(b, v)
	}
	if f.Waited > 0 {
		b = binary.BigEndian.AppendUint16(b, uint16(min(f.Waited, MaxWaited).Milliseconds()))
	}
	return append(b, f.Packet...)
}

// DecodeForward reads a forwarded packet; Packet aliases b.
func DecodeForward(b []byte) (Forward, error) {
	if len(b) < forwardHeaderSize || Type(b[0]) != TypeForward {
		return Forward{}, malformed("forwarded packet")
	}
	count := int(b[2])
	if count > MaxVisited || len(b) < forwardHeaderSize+count*endpointSize {
		return Forward{}, malformed("forwarded packet")
	}
	f := Forward{
		OwnerKnown: b[1]&flagOwnerKnown != 0,
		Search:     b[1]&flagSearch != 0,
		Balancer:   decodeEndpoint(b[3:]),
		Version:    binary.BigEndian.Uint64(b[9:]),
		Service:    binary.BigEndian.Uint32(b[17:]),
	}
	rest := b[forwardHeaderSize:]
	if count > 0 {
		f.Visited = make([]flow.Endpoint, 0, count+1)
	}
	for range count {
		f.Visited = append(f.Visited, decodeEndpoint(rest))
		rest = rest[endpointSize:]
	}
	if b[1]&flagWaited != 0 {
		if len(rest) < waitedSize {
			return Forward{}, malformed("forwarded packet")
		}
		f.Waited = time.Duration(binary.BigEndian.Uint16(rest)) * time.Millisecond
		rest = rest[waitedSize:]
	}
	f.Packet = rest
	return f, nil
}

// Notice informs the balancer that forwarded a packet whether the sending agent has its flow.
type Notice struct {
	Key flow.Key
	// Flows and Active are the agent's open flows and requests in progress.
	Flows, Active uint16
	// Refused is set when the agent did not accept an opening packet, so that it does not have the
	// flow.
	Refused bool
	// Overloaded is set with Refused if the only reason is the load that the notice states.
	Overloaded bool
}

// Bits of the flags of a notice.
const (
	flagRefused = 1 << iota
	flagOverloaded
)

// AppendTo appends the encoded datagram to b.
func (n *Notice) AppendTo(b []byte) []byte {
	b = append(b, byte(TypeNotice))
	b = n.Key.AppendTo(b)
	b = binary.BigEndian.AppendUint16(b, n.Flows)
	b = binary.BigEndian.AppendUint16(b, n.Active)
	var flags byte
	if n.Refused {
		flags |= flagRefused
	}
	if n.Overloaded {
		flags |= flagOverloaded
	}
	return append(b, flags)
}

// DecodeNotice reads a notice.
func DecodeNotice(b []byte) (Notice, error) {
	if len(b) != noticeSize || Type(b[0]) != TypeNotice {
		return Notice{}, malformed("notice")
	}
	rest := b[1+flow.KeySize:]
	return Notice{
		Key:     flow.DecodeKey(b[1:]),
		Flows:   binary.BigEndian.Uint16(rest),
		Active:  binary.BigEndian.Uint16(rest[2:]),
		Refused: rest[4]&flagRefused != 0, Overloaded: rest[4]&flagOverloaded != 0,
	}, nil
}

// Claim informs a home agent that Owner has the flows of Keys.
type Claim struct {
	Owner flow.Endpoint
	Keys  []flow.Key
}

// AppendTo appends the encoded datagram to b.
func (c *Claim) AppendTo(b []byte) []byte {
	b = append(b, byte(TypeClaim))
	b = appendEndpoint(b, c.Owner)
	b = append(b, byte(len(c.Keys)))
	for _, k := range c.Keys {
		b = k.AppendTo(b)
	}
	return b
}

// DecodeClaim reads a claim.
func DecodeClaim(b []byte) (Claim, error) {
	if len(b) < claimHeaderSize || Type(b[0]) != TypeClaim {
		return Claim{}, malformed("claim")
	}
	count := int(b[claimHeaderSize-1])
	if count > MaxClaims || len(b) != claimHeaderSize+count*flow.KeySize {
		return Claim{}, malformed("claim")
	}
	c := Claim{
		Owner: decodeEndpoint(b[1:]),
		Keys:  make([]flow.Key, 0, count),
	}
	for rest := b[claimHeaderSize:]; len(rest) > 0; rest = rest[flow.KeySize:] {
		c.Keys = append(c.Keys, flow.DecodeKey(rest))
	}
	return c, nil
}

// Send is a datagram to send to another member.
type Send struct {
	To      netip.AddrPort
	Payload []byte
}

func appendEndpoint(b []byte, e flow.Endpoint) []byte {
	b = append(b, e.IP[:]...)
	return binary.BigEndian.AppendUint16(b, e.Port)
}

func decodeEndpoint(b []byte) flow.Endpoint {
	var e flow.Endpoint
	copy(e.IP[:], b[:4])
	e.Port = binary.BigEndian.Uint16(b[4:6])
	return e
}

func malformed(what string) error {
	return errkind.New(errkind.Invalid, what+" between processes cannot be read", "check that all processes run the same release")
}
