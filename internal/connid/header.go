package connid

import "github.com/almondledge/almondledge/internal/errkind"

// Layout of the version-independent QUIC header (RFC 8999, sections 5.1 and 5.2).
const (
	longHeaderBit     = 0x80
	longLengthOffset  = 5
	longDestIDOffset  = 6
	shortDestIDOffset = 1
)

// ErrTruncated means that a packet is too short for its header.
var ErrTruncated = errkind.New(errkind.Invalid, "packet is shorter than its QUIC header", "none; the packet is dropped")

// Header holds the fields of a QUIC header that are the same in every version
// (RFC 8999).
type Header struct {
	// Long reports that the packet has a long header, as handshake packets do.
	Long bool
	// DestID is the destination connection ID; it aliases the packet.
	DestID []byte
}

// ParseHeader parses the header of a packet that a caller sent. A short header does
// not state the length of its destination connection ID, which is assumed to be Len.
func ParseHeader(packet []byte) (Header, error) {
	if len(packet) == 0 {
		return Header{}, ErrTruncated
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < shortDestIDOffset+Len {
			return Header{}, ErrTruncated
		}
		return Header{DestID: packet[shortDestIDOffset : shortDestIDOffset+Len]}, nil
	}
	if len(packet) <= longLengthOffset {
		return Header{}, ErrTruncated
	}
	end := longDestIDOffset + int(packet[longLengthOffset])
	if len(packet) < end {
		return Header{}, ErrTruncated
	}
	return Header{Long: true, DestID: packet[longDestIDOffset:end]}, nil
}
