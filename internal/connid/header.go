package connid

import "github.com/almondledge/almondledge/internal/errkind"

// Fields of the version-independent QUIC header (RFC 8999, sections 5.1 and 5.2).
const (
	longHeaderBit    = 0x80
	longDestIDLength = 5
	longDestID       = 6
	shortDestID      = 1
)

// ErrTruncated means that a packet is too short for its header.
var ErrTruncated = errkind.New(errkind.Invalid, "packet is shorter than its QUIC header", "none; the packet is dropped")

// Header is what RFC 8999 fixes of a QUIC packet for every version.
type Header struct {
	// Long reports a long header, which the packets of a handshake have.
	Long bool
	// DestID is the destination connection ID; it aliases the packet.
	DestID []byte
}

// ParseHeader reads the header of a packet that a caller sent. The destination
// connection ID of a short header is taken to have the length Len.
func ParseHeader(packet []byte) (Header, error) {
	if len(packet) == 0 {
		return Header{}, ErrTruncated
	}
	if packet[0]&longHeaderBit == 0 {
		if len(packet) < shortDestID+Len {
			return Header{}, ErrTruncated
		}
		return Header{DestID: packet[shortDestID : shortDestID+Len]}, nil
	}
	if len(packet) <= longDestIDLength {
		return Header{}, ErrTruncated
	}
	end := longDestID + int(packet[longDestIDLength])
	if len(packet) < end {
		return Header{}, ErrTruncated
	}
	return Header{Long: true, DestID: packet[longDestID:end]}, nil
}
