// Package envelope carries packets and control messages between balancers and
// agents in authenticated UDP datagrams.
//
// A datagram consists of: magic, type, key version, hop count, sender (8 bytes),
// sequence (8 bytes), service (2 bytes), flags, candidate count, the caller and
// service addresses, the candidates, the payload, and an authentication tag of 16
// bytes over everything before it. Magic, type, key version, hop count, flags and
// candidate count have one byte each. Each address has 6 bytes, or 18 if the envelope
// contains an IPv6 address. Numbers are big-endian.
package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// Type is the kind of content of an envelope.
type Type uint8

// Types of envelopes.
const (
	// Inbound carries a caller's packet to an agent, from a balancer or an agent that forwards it.
	Inbound Type = iota + 1
	// Outbound carries an agent's packet for the caller to a balancer.
	Outbound
	// Control carries a message of the control plane.
	Control
	// Claim names the agent that has accepted an opening flow.
	Claim
)

// Sizes in bytes.
const (
	headerLen = 24
	tagLen    = 16
	addrLen4  = 6
	addrLen6  = 18
	// MaxLen is the largest datagram that is accepted.
	MaxLen = 2048
	// MaxCandidates is the largest number of candidates in an envelope.
	MaxCandidates = 4
)

const magic = 0xA7

const (
	flagIPv6 = 1 << iota
	flagOverLimit
)

// ErrMalformed means that a datagram is not a well-formed envelope.
var ErrMalformed = errkind.New(errkind.Invalid, "datagram is not an envelope", "none; the datagram is dropped and counted")

// Envelope is one message between two processes.
type Envelope struct {
	Type Type
	// Hops is the index of the receiver in Candidates, or opening.FinalHop. It is zero for
	// envelopes without an opening packet.
	Hops uint8
	// Service is the service whose flow the packet belongs to; zero for control.
	Service service.ID
	// OverLimit reports that the service has reached the balancer's limit of new flows. The
	// agent refuses a flow that begins with this packet.
	OverLimit bool
	// Caller is the caller's address; unused for control.
	Caller netip.AddrPort
	// ServiceAddr is the service address that the caller uses; unused for control.
	ServiceAddr netip.AddrPort
	// Candidates are the agents to try for an opening packet, best first. A claim has one
	// entry, the owner of the flow.
	Candidates []netip.AddrPort
	// Payload aliases the datagram after Open.
	Payload []byte
}

// appendTo appends the envelope without its tag to dst.
func (e *Envelope) appendTo(dst []byte, version uint8, sender, sequence uint64) []byte {
	ipv6 := e.needsIPv6()
	flags := uint8(0)
	if ipv6 {
		flags |= flagIPv6
	}
	if e.OverLimit {
		flags |= flagOverLimit
	}
	dst = append(dst, magic, byte(e.Type), version, e.Hops)
	dst = binary.BigEndian.AppendUint64(dst, sender)
	dst = binary.BigEndian.AppendUint64(dst, sequence)
	dst = binary.BigEndian.AppendUint16(dst, uint16(e.Service))
	dst = append(dst, flags, byte(len(e.Candidates)))
	dst = appendAddr(dst, e.Caller, ipv6)
	dst = appendAddr(dst, e.ServiceAddr, ipv6)
	for _, candidate := range e.Candidates {
		dst = appendAddr(dst, candidate, ipv6)
	}
	return append(dst, e.Payload...)
}

// needsIPv6 reports whether any address of the envelope is an IPv6 address. In that
// case all addresses are encoded as IPv6.
func (e *Envelope) needsIPv6() bool {
	if isIPv6(e.Caller) || isIPv6(e.ServiceAddr) {
		return true
	}
	for _, candidate := range e.Candidates {
		if isIPv6(candidate) {
			return true
		}
	}
	return false
}

func isIPv6(addr netip.AddrPort) bool {
	return addr.Addr().Is6() && !addr.Addr().Is4In6()
}

func appendAddr(dst []byte, addr netip.AddrPort, ipv6 bool) []byte {
	switch {
	case ipv6:
		octets := addr.Addr().As16()
		dst = append(dst, octets[:]...)
	case addr.IsValid():
		octets := addr.Addr().Unmap().As4()
		dst = append(dst, octets[:]...)
	default:
		dst = append(dst, 0, 0, 0, 0)
	}
	return binary.BigEndian.AppendUint16(dst, addr.Port())
}

// parse decodes an envelope from datagram, whose tag was removed, and appends its
// candidates to candidates.
func parse(datagram []byte, candidates []netip.AddrPort) (Envelope, error) {
	if len(datagram) < headerLen {
		return Envelope{}, ErrMalformed
	}
	flags := datagram[22]
	count := int(datagram[23])
	envelope := Envelope{
		Type:      Type(datagram[1]),
		Hops:      datagram[3],
		Service:   service.ID(binary.BigEndian.Uint16(datagram[20:])),
		OverLimit: flags&flagOverLimit != 0,
	}
	if envelope.Type < Inbound || envelope.Type > Claim || count > MaxCandidates {
		return Envelope{}, ErrMalformed
	}
	addrLen := addrLen4
	if flags&flagIPv6 != 0 {
		addrLen = addrLen6
	}
	rest := datagram[headerLen:]
	if len(rest) < (2+count)*addrLen {
		return Envelope{}, ErrMalformed
	}
	envelope.Caller, rest = cutAddr(rest, addrLen)
	envelope.ServiceAddr, rest = cutAddr(rest, addrLen)
	for range count {
		var candidate netip.AddrPort
		candidate, rest = cutAddr(rest, addrLen)
		candidates = append(candidates, candidate)
	}
	envelope.Candidates = candidates
	envelope.Payload = rest
	return envelope, nil
}

func cutAddr(data []byte, addrLen int) (netip.AddrPort, []byte) {
	var addr netip.Addr
	if addrLen == addrLen4 {
		addr = netip.AddrFrom4([4]byte(data))
	} else {
		addr = netip.AddrFrom16([16]byte(data)).Unmap()
	}
	port := binary.BigEndian.Uint16(data[addrLen-2:])
	return netip.AddrPortFrom(addr, port), data[addrLen:]
}
