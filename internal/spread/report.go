package spread

import (
	"encoding/binary"
	"math"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// ReportLen is the length of an encoded report in bytes.
	ReportLen = 8
	// shareUnit is the encoded form of a share of 1.
	shareUnit = 1 << 24
	// maxShare bounds an encoded share.
	maxShare = 128
	// fullFlows is the share of connections from which an agent is not offered more.
	fullFlows = 0.95
	// scarceSlots is the share of occupied slots from which slots are compared.
	scarceSlots = 0.5
	// slotBand is the relative difference of occupied slots up to which flows decide.
	slotBand = 0.15
)

var errReport = errkind.New(errkind.Invalid, "load report is cut short", "none; the datagram is dropped and counted")

// Report is what an agent says of its own load.
type Report struct {
	// Flows is the occupied share of the connections, 0 (none) to 1 (all).
	Flows float64
	// Slots is the share of the slots that these flows are expected to occupy.
	Slots float64
}

// difference returns how much more load an agent with report own has than one
// with report other, relative to the larger one. Open flows decide, unless slots
// are scarce at both and clearly uneven, as beside a slow backend server: slots
// fill and empty by chance, and small differences of them would unsettle the
// flows. An agent that has just joined has few busy slots whatever its flows.
func difference(own, other Report) float64 {
	if min(own.Slots, other.Slots) >= scarceSlots {
		slots := relative(own.Slots, other.Slots)
		if math.Abs(slots) > slotBand {
			return slots
		}
	}
	return relative(own.Flows, other.Flows)
}

// relative returns the difference of two shares over the larger one.
func relative(own, other float64) float64 {
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

// CutReport reads a report from the start of data and returns the rest.
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
