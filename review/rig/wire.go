package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flag bits of a packet, as PROTOCOL.md gives them.
const (
	flagSYN     = 1
	flagRST     = 2
	flagFIN     = 4
	flagACK     = 16
	flagBounced = 128
)

const headerSize = 32

// packet is one datagram of a flow.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	echo     uint32
	flags    byte
	pad      byte
	data     []byte
}

func (p packet) has(flags byte) bool { return p.flags&flags == flags }

// encode builds the datagram with its keyed sum.
func (p packet) encode() []byte {
	raw := make([]byte, headerSize, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(raw[0:], src[:])
	binary.BigEndian.PutUint16(raw[4:], p.src.Port())
	binary.BigEndian.PutUint16(raw[6:], p.dst.Port())
	copy(raw[8:], dst[:])
	binary.BigEndian.PutUint16(raw[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(raw[14:], p.seq)
	binary.BigEndian.PutUint32(raw[18:], p.ack)
	raw[30] = p.flags
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw[26:], keyedSum(raw))
	return raw
}

// decode parses a datagram. ok is false if it is malformed; genuine is false if its sum is wrong.
func decode(raw []byte) (p packet, genuine, ok bool) {
	if len(raw) < headerSize || int(binary.BigEndian.Uint16(raw[12:])) != len(raw)-headerSize {
		return packet{}, false, false
	}
	p = packet{
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[0:4])), binary.BigEndian.Uint16(raw[4:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[8:12])), binary.BigEndian.Uint16(raw[6:])),
		seq:  binary.BigEndian.Uint32(raw[14:]),
		ack:  binary.BigEndian.Uint32(raw[18:]),
		echo: binary.BigEndian.Uint32(raw[22:]), flags: raw[30], pad: raw[31],
		data: raw[headerSize:],
	}
	return p, binary.BigEndian.Uint32(raw[26:]) == keyedSum(raw), true
}

// keyedSum covers all fields except echo, pad, the sum itself and the flag BOUNCED.
func keyedSum(raw []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("the key of the clients and hosts"))
	h.Write(raw[0:22])
	h.Write([]byte{raw[30] &^ flagBounced})
	h.Write(raw[headerSize:])
	return h.Sum32() | 1 // zero marks a reset of the system's own
}
