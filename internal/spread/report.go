package spread

import (
	"encoding/binary"
	"math"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// ReportLen is the length of an encoded report in bytes.
	ReportLen = 8
	// shareUnit is the encoded value of a share of 1.
	shareUnit = 1 << 24
	// maxShare is the largest share that can be encoded; a larger share is encoded as
	// maxShare.
	maxShare = 128
	// fullFlowShare is the occupied share of an agent's connections at or above which its
	// peers offload no more flows to it.
	fullFlowShare = 0.95
	// scarceSlotShare is the share of slots that must be occupied at both agents before
	// their slots are compared.
	scarceSlotShare = 0.5
	// slotTolerance is the relative difference of occupied slots up to which slots are
	// ignored and only flows are compared.
	slotTolerance = 0.15
)

var errReport = errkind.New(errkind.Invalid, "load report is truncated", "none; the datagram is dropped and counted")

// Report is the load that an agent sends to its peers.
type Report struct {
	// Flows is the occupied share of the connections, 0 (none) to 1 (all).
	Flows float64
	// Slots is the share of the slots that these flows are expected to occupy.
	Slots float64
}

// loadDifference returns by how much own exceeds other, relative to the larger of
// the two. Open flows are compared, unless slots are scarce at both agents and
// clearly uneven, as with a slow backend server. The number of occupied slots
// fluctuates, and reacting to small differences would move flows back and forth. An
// agent that has just joined has few occupied slots regardless of its flows.
func loadDifference(own, other Report) float64 {
	if min(own.Slots, other.Slots) >= scarceSlotShare {
		slots := relativeDifference(own.Slots, other.Slots)
		if math.Abs(slots) > slotTolerance {
			return slots
		}
	}
	return relativeDifference(own.Flows, other.Flows)
}

// relativeDifference returns the difference of two shares divided by the larger one.
func relativeDifference(own, other float64) float64 {
	larger := max(own, other)
	if larger <= 0 {
		return 0
	}
	return (own - other) / larger
}

// Append appends the encoded report to dst.
func (r Report) Append(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, encodeShare(r.Flows))
	return binary.BigEndian.AppendUint32(dst, encodeShare(r.Slots))
}

// CutReport decodes a report from the start of data and returns it with the rest.
func CutReport(data []byte) (Report, []byte, error) {
	if len(data) < ReportLen {
		return Report{}, nil, errReport
	}
	report := Report{
		Flows: float64(binary.BigEndian.Uint32(data)) / shareUnit,
		Slots: float64(binary.BigEndian.Uint32(data[4:])) / shareUnit,
	}
	return report, data[ReportLen:], nil
}

func encodeShare(share float64) uint32 {
	return uint32(min(max(share, 0), maxShare) * shareUnit)
}
