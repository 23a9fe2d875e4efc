// Package flows holds small stand-ins for the endpoints of flows: a packet format, a
// caller and a backend server. Tests and benchmarks use them to drive balancers and
// agents through package flow only.
package flows

import (
	"encoding/binary"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/flow"
)

// Wire is the packet format of an endpoint, which also builds packets.
type Wire interface {
	flow.Codec
	// Build returns the bytes of a packet that carries data.
	Build(p flow.Packet, data []byte) []byte
}

// headerSize is the size in bytes of a packet's header: source, destination, flags,
// sequence and acknowledgement numbers, and cookie.
const headerSize = 2*6 + 1 + 4 + 4 + 4

// Offsets in the header.
const (
	srcOffset    = 0
	dstOffset    = 6
	flagsOffset  = 12
	seqOffset    = 13
	ackOffset    = 17
	cookieOffset = 21
)

// Codec is the packet format of the stand-ins, a fixed header before the data.
type Codec struct{}

var _ Wire = Codec{}

// Parse implements flow.Codec.
func (Codec) Parse(raw []byte) (flow.Packet, error) {
	if len(raw) < headerSize {
		return flow.Packet{}, errkind.New(errkind.Invalid, "packet is too short", "send whole packets")
	}
	return flow.Packet{
		Src:    endpoint(raw[srcOffset:]),
		Dst:    endpoint(raw[dstOffset:]),
		Flags:  flow.Flags(raw[flagsOffset]),
		Seq:    binary.BigEndian.Uint32(raw[seqOffset:]),
		Ack:    binary.BigEndian.Uint32(raw[ackOffset:]),
		Cookie: binary.BigEndian.Uint32(raw[cookieOffset:]),
		Length: len(raw) - headerSize,
		Raw:    raw,
	}, nil
}

func endpoint(b []byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte(b[:4]), Port: binary.BigEndian.Uint16(b[4:])}
}

// SetCookie implements flow.Codec.
func (Codec) SetCookie(raw []byte, cookie uint32) {
	binary.BigEndian.PutUint32(raw[cookieOffset:], cookie)
}

// Restore implements flow.Codec.
func (Codec) Restore(raw []byte) {
	binary.BigEndian.PutUint32(raw[cookieOffset:], 0)
	raw[flagsOffset] &^= byte(flow.Returned)
}

// Reset implements flow.Codec.
func (Codec) Reset(key flow.Key, seq uint32) []byte {
	return Codec{}.Build(flow.Packet{Src: key.ServiceAddr, Dst: key.Caller, Flags: flow.RST, Seq: seq}, nil)
}

// Build implements Wire.
func (Codec) Build(p flow.Packet, data []byte) []byte {
	raw := make([]byte, headerSize, headerSize+len(data))
	copy(raw[srcOffset:], p.Src.IP[:])
	binary.BigEndian.PutUint16(raw[srcOffset+4:], p.Src.Port)
	copy(raw[dstOffset:], p.Dst.IP[:])
	binary.BigEndian.PutUint16(raw[dstOffset+4:], p.Dst.Port)
	raw[flagsOffset] = byte(p.Flags)
	binary.BigEndian.PutUint32(raw[seqOffset:], p.Seq)
	binary.BigEndian.PutUint32(raw[ackOffset:], p.Ack)
	binary.BigEndian.PutUint32(raw[cookieOffset:], p.Cookie)
	return append(raw, data...)
}
