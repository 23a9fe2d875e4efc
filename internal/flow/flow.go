// Package flow describes the packets of callers' flows as balancers and agents see them: endpoints, sequence
// numbers and flags. Only the caller and the backend server can read the data in a packet.
package flow

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and port. It takes six bytes because tables hold many of them.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf converts an IPv4 address and port. For other addresses it returns the zero Endpoint.
func EndpointOf(a netip.AddrPort) Endpoint {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}
	}
	return Endpoint{IP: ip.As4(), Port: a.Port()}
}

// AddrPort returns the endpoint as a socket address.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns the endpoint as address:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by the caller's endpoint and the service address that the caller uses.
type Key struct {
	Caller, ServiceAddr Endpoint
}

// KeySize is the size of an encoded key, in bytes.
const KeySize = 12

// AppendTo appends the encoded key to b.
func (k Key) AppendTo(b []byte) []byte {
	b = append(b, k.Caller.IP[:]...)
	b = binary.BigEndian.AppendUint16(b, k.Caller.Port)
	b = append(b, k.ServiceAddr.IP[:]...)
	return binary.BigEndian.AppendUint16(b, k.ServiceAddr.Port)
}

// DecodeKey reads a key from the first KeySize bytes of b.
func DecodeKey(b []byte) Key {
	var k Key
	copy(k.Caller.IP[:], b[0:4])
	k.Caller.Port = binary.BigEndian.Uint16(b[4:6])
	copy(k.ServiceAddr.IP[:], b[6:10])
	k.ServiceAddr.Port = binary.BigEndian.Uint16(b[10:12])
	return k
}

// Hash returns a hash of the key that is the same in all processes.
func (k Key) Hash() uint64 {
	var buf [KeySize]byte
	return xxhash.Sum64(k.AppendTo(buf[:0]))
}

// String returns the key as logs show it: the caller's endpoint, then the service address.
func (k Key) String() string {
	return k.Caller.String() + ">" + k.ServiceAddr.IP4() + ":" + strconv.Itoa(int(k.ServiceAddr.Port))
}

// IP4 returns the IP address without the port.
func (e Endpoint) IP4() string { return netip.AddrFrom4(e.IP).String() }

// Flags are the control bits of a packet.
type Flags uint8

// Control bits. SYN, ACK, FIN and RST have the meaning of TCP, but not the values of a wire format.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Returned marks a caller's packet that the backend server did not accept and returned.
	Returned
)

// Has reports whether all bits of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is a parsed packet. Raw holds its bytes, which only a Codec may change.
type Packet struct {
	Src, Dst Endpoint
	Flags    Flags
	// Seq and Ack count bytes, modulo 2^32. In an opening packet, Ack is the number of the copy,
	// from zero.
	Seq, Ack uint32
	// Length is the size of the data, in bytes.
	Length int
	// Cookie is a number that the agent wrote into a packet for the backend server. A returned
	// packet still carries it. Zero means none.
	Cookie uint32
	Raw    []byte
}

// Opens reports whether the packet is an opening packet: it has SYN and no ACK.
func (p *Packet) Opens() bool { return p.Flags.Has(SYN) && !p.Flags.Has(ACK) }

// CallerKey returns the flow of a packet that a caller sent.
func (p *Packet) CallerKey() Key { return Key{Caller: p.Src, ServiceAddr: p.Dst} }

// BackendKey returns the flow of a packet that a backend server sent.
func (p *Packet) BackendKey() Key { return Key{Caller: p.Dst, ServiceAddr: p.Src} }

// Codec parses packets, and makes the few permitted changes to them.
type Codec interface {
	// Parse parses raw; Packet.Raw aliases it. An error of kind Invalid means that raw is not a
	// packet.
	Parse(raw []byte) (Packet, error)
	// SetCookie writes a cookie into raw. If the backend server returns the packet, the returned packet
	// carries the cookie.
	SetCookie(raw []byte, cookie uint32)
	// Restore removes the cookie and the Returned mark, so that raw is as the caller sent it.
	Restore(raw []byte)
	// Reset returns a packet to the caller that ends or refuses the flow of key.
	Reset(key Key, seq uint32) []byte
}
