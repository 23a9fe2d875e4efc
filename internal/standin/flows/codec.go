// Package flows holds small stand-ins for the ends of callers' flows: a packet
// format, a caller and a backend server. They serve tests and measurements of
// balancers and agents, which are driven through package flow alone.
package flows

import (
	"encoding/binary"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/flow"
)

// Wire is a packet format with all that an end of a flow needs of it.
type Wire interface {
	flow.Codec
	// Build returns the bytes of a packet with data behind its head.
	Build(p flow.Packet, data []byte) []byte
}

// headSize is the size of a packet's head: key, flags, numbers and cookie.
const headSize = 2*6 + 1 + 4 + 4 + 4

// Places in the head.
const (
	srcAt    = 0
	dstAt    = 6
	flagsAt  = 12
	seqAt    = 13
	ackAt    = 17
	cookieAt = 21
)

// Codec is a packet format of the stand-ins' own.
type Codec struct{}

var _ Wire = Codec{}

// Parse reads a packet.
func (Codec) Parse(raw []byte) (flow.Packet, error) {
	if len(raw) < headSize {
		return flow.Packet{}, errkind.New(errkind.Invalid, "packet is too short", "send whole packets")
	}
	return flow.Packet{
		Src:    endpoint(raw[srcAt:]),
		Dst:    endpoint(raw[dstAt:]),
		Flags:  flow.Flags(raw[flagsAt]),
		Seq:    binary.BigEndian.Uint32(raw[seqAt:]),
		Ack:    binary.BigEndian.Uint32(raw[ackAt:]),
		Cookie: binary.BigEndian.Uint32(raw[cookieAt:]),
		Length: len(raw) - headSize,
		Raw:    raw,
	}, nil
}

func endpoint(b []byte) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte(b[:4]), Port: binary.BigEndian.Uint16(b[4:])}
}

// SetCookie writes a number that comes back with a returned packet.
func (Codec) SetCookie(raw []byte, cookie uint32) {
	binary.BigEndian.PutUint32(raw[cookieAt:], cookie)
}

// Restore clears what a returned packet carries beyond the caller's own bytes.
func (Codec) Restore(raw []byte) {
	binary.BigEndian.PutUint32(raw[cookieAt:], 0)
	raw[flagsAt] &^= byte(flow.Returned)
}

// Reset returns a packet that ends or refuses a flow.
func (Codec) Reset(key flow.Key, seq uint32) []byte {
	return Codec{}.Build(flow.Packet{Src: key.ServiceAddr, Dst: key.Caller, Flags: flow.RST, Seq: seq}, nil)
}

// Build returns the bytes of a packet with data behind its head.
func (Codec) Build(p flow.Packet, data []byte) []byte {
	raw := make([]byte, headSize, headSize+len(data))
	copy(raw[srcAt:], p.Src.IP[:])
	binary.BigEndian.PutUint16(raw[srcAt+4:], p.Src.Port)
	copy(raw[dstAt:], p.Dst.IP[:])
	binary.BigEndian.PutUint16(raw[dstAt+4:], p.Dst.Port)
	raw[flagsAt] = byte(p.Flags)
	binary.BigEndian.PutUint32(raw[seqAt:], p.Seq)
	binary.BigEndian.PutUint32(raw[ackAt:], p.Ack)
	binary.BigEndian.PutUint32(raw[cookieAt:], p.Cookie)
	return append(raw, data...)
}
