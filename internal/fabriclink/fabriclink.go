// Package fabriclink encodes and decodes the datagrams that the fabric and the
// balancers exchange: a PROXY protocol version 2 header of type DGRAM over IPv4
// or IPv6, followed by the datagram of the flow.
//
// The go-proxyproto library reads headers from a buffered stream and allocates for
// each one. A balancer handles one header per packet, so this package works on byte
// slices and does not allocate. Its tests compare it with the library.
package fabriclink

import (
	"encoding/binary"
	"net/netip"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Sizes in bytes.
const (
	// HeaderSizeIPv4 is the size of an encoded header with IPv4 addresses.
	HeaderSizeIPv4 = prefixSize + addressesIPv4
	// HeaderSizeIPv6 is the size of an encoded header with IPv6 addresses.
	HeaderSizeIPv6 = prefixSize + addressesIPv6
	// MaxHeaderSize is the size of the largest header that AppendHeader writes.
	MaxHeaderSize = HeaderSizeIPv6

	prefixSize    = 16
	addressesIPv4 = 2*4 + 2*2
	addressesIPv6 = 2*16 + 2*2
)

// Fields of the header.
const (
	signature    = "\r\n\r\n\x00\r\nQUIT\n"
	commandProxy = 0x21
	familyUDP4   = 0x12
	familyUDP6   = 0x22

	commandOffset = len(signature)
	familyOffset  = commandOffset + 1
	lengthOffset  = familyOffset + 1
)

// The errors are created once, so that rejecting invalid input in Decode does not
// allocate.
var (
	errMixedFamilies = errkind.New(errkind.Invalid, "source and destination are not both IPv4 or both IPv6",
		"give two valid IPv4 or two valid IPv6 addresses")
	errTruncated = errkind.New(errkind.Invalid, "datagram is shorter than its PROXY protocol header",
		"check the buffer size of the fabric")
	errNotProxy = errkind.New(errkind.Invalid, "datagram has no PROXY protocol version 2 header",
		"set the fabric to send PROXY protocol version 2 headers")
	errNotDatagram = errkind.New(errkind.Invalid, "PROXY protocol header is not of type DGRAM over IPv4 or IPv6",
		"set the fabric to send UDP only")
)

// Packet is a decoded datagram.
type Packet struct {
	// Src is the source of the flow's datagram: the caller or, for a reply, the service address.
	Src netip.AddrPort
	// Dst is the destination of the flow's datagram: the service address or, for a reply, the caller.
	Dst netip.AddrPort
	// Payload is the flow's datagram. It aliases the decoded buffer.
	Payload []byte
}

// Encode appends a header from src to dst and payload to buf, and returns the
// extended buffer. It does not allocate when buf has room for MaxHeaderSize
// more bytes and payload.
func Encode(buf []byte, src, dst netip.AddrPort, payload []byte) ([]byte, error) {
	buf, err := AppendHeader(buf, src, dst)
	if err != nil {
		return buf, err
	}
	return append(buf, payload...), nil
}

// AppendHeader appends a header from src to dst to buf, and returns the extended
// buffer. IPv4 addresses mapped to IPv6 are written as IPv4.
func AppendHeader(buf []byte, src, dst netip.AddrPort) ([]byte, error) {
	srcIP := src.Addr().Unmap()
	dstIP := dst.Addr().Unmap()
	switch {
	case srcIP.Is4() && dstIP.Is4():
		buf = appendPrefix(buf, familyUDP4, addressesIPv4)
		srcBytes, dstBytes := srcIP.As4(), dstIP.As4()
		buf = append(buf, srcBytes[:]...)
		buf = append(buf, dstBytes[:]...)
	case srcIP.Is6() && dstIP.Is6():
		buf = appendPrefix(buf, familyUDP6, addressesIPv6)
		srcBytes, dstBytes := srcIP.As16(), dstIP.As16()
		buf = append(buf, srcBytes[:]...)
		buf = append(buf, dstBytes[:]...)
	default:
		return buf, errMixedFamilies
	}
	buf = binary.BigEndian.AppendUint16(buf, src.Port())
	return binary.BigEndian.AppendUint16(buf, dst.Port()), nil
}

func appendPrefix(buf []byte, family byte, length uint16) []byte {
	buf = append(buf, signature...)
	buf = append(buf, commandProxy, family)
	return binary.BigEndian.AppendUint16(buf, length)
}

// Decode splits a datagram into its header and payload. Extension fields (TLV)
// are skipped. Input without a DGRAM header over IPv4 or IPv6 is rejected with an
// error of kind errkind.Invalid. Decode does not allocate.
func Decode(datagram []byte) (Packet, error) {
	if len(datagram) < prefixSize {
		return Packet{}, errTruncated
	}
	if string(datagram[:len(signature)]) != signature || datagram[commandOffset] != commandProxy {
		return Packet{}, errNotProxy
	}
	headerEnd := prefixSize + int(binary.BigEndian.Uint16(datagram[lengthOffset:]))
	if len(datagram) < headerEnd {
		return Packet{}, errTruncated
	}
	addresses, payload := datagram[prefixSize:headerEnd], datagram[headerEnd:]
	switch datagram[familyOffset] {
	case familyUDP4:
		return decodeIPv4(addresses, payload)
	case familyUDP6:
		return decodeIPv6(addresses, payload)
	default:
		return Packet{}, errNotDatagram
	}
}

func decodeIPv4(b, payload []byte) (Packet, error) {
	if len(b) < addressesIPv4 {
		return Packet{}, errTruncated
	}
	src := netip.AddrFrom4([4]byte(b[0:4]))
	dst := netip.AddrFrom4([4]byte(b[4:8]))
	return newPacket(src, dst, b[8:addressesIPv4], payload), nil
}

func decodeIPv6(b, payload []byte) (Packet, error) {
	if len(b) < addressesIPv6 {
		return Packet{}, errTruncated
	}
	src := netip.AddrFrom16([16]byte(b[0:16]))
	dst := netip.AddrFrom16([16]byte(b[16:32]))
	return newPacket(src, dst, b[32:addressesIPv6], payload), nil
}

func newPacket(src, dst netip.Addr, ports, payload []byte) Packet {
	return Packet{
		Src:     netip.AddrPortFrom(src, binary.BigEndian.Uint16(ports[0:2])),
		Dst:     netip.AddrPortFrom(dst, binary.BigEndian.Uint16(ports[2:4])),
		Payload: payload,
	}
}
