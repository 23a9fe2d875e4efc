// Command standin plays the cases of the review. It starts the system's own programs as separate processes and
// puts small stand-ins for the platform's store, its routers, clients and hosts around them.
package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags field.
const (
	flagSYN     = 1
	flagRST     = 2
	flagFIN     = 4
	flagACK     = 16
	flagBounced = 128
)

const (
	headerSize = 32
	// maxData is the largest number of data bytes in a packet.
	maxData = 1200
)

// sumKey is the key of the packet sum. The system does not know it.
var sumKey = []byte("review-sum-key-1")

// endpoint is an IPv4 address and port.
type endpoint struct {
	ip   [4]byte
	port uint16
}

func (e endpoint) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String()
}

// flowKey identifies a flow by the client's end and the route's address.
type flowKey struct{ client, route endpoint }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

// packet is one datagram of a flow.
type packet struct {
	src, dst endpoint
	flags    byte
	seq, ack uint32
	echo     uint32
	data     []byte
}

func (p packet) has(flags byte) bool { return p.flags&flags == flags }

// encode returns the bytes of a packet with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	copy(b[0:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[4:], p.src.port)
	binary.BigEndian.PutUint16(b[6:], p.dst.port)
	copy(b[8:], p.dst.ip[:])
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[14:], p.seq)
	binary.BigEndian.PutUint32(b[18:], p.ack)
	binary.BigEndian.PutUint32(b[22:], p.echo)
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[26:], sum(b))
	return b
}

// sum is a keyed sum over all fields except echo, pad, the sum itself and BOUNCED.
func sum(b []byte) uint32 {
	c := crc32.NewIEEE()
	c.Write(sumKey)
	c.Write(b[:22])
	c.Write([]byte{b[30] &^ flagBounced})
	c.Write(b[headerSize:])
	return c.Sum32()
}

// decode reads a packet. genuine is false if the sum is not the one of a client or host.
func decode(b []byte) (p packet, genuine bool, err error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[12:])) != len(b)-headerSize {
		return p, false, fmt.Errorf("datagram of %d bytes is no packet", len(b))
	}
	p.src = endpoint{[4]byte(b[0:4]), binary.BigEndian.Uint16(b[4:])}
	p.dst = endpoint{[4]byte(b[8:12]), binary.BigEndian.Uint16(b[6:])}
	p.seq = binary.BigEndian.Uint32(b[14:])
	p.ack = binary.BigEndian.Uint32(b[18:])
	p.echo = binary.BigEndian.Uint32(b[22:])
	p.flags = b[30]
	p.data = b[headerSize:]
	return p, binary.BigEndian.Uint32(b[26:]) == sum(b), nil
}
