package agent

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/spread"
)

var errClaim = errkind.New(errkind.Invalid, "claim is malformed", "none; the datagram is dropped and counted")

// claim is the content of a claim envelope: which agent has taken the flow that
// began with destID. The owner's own claims carry its load.
type claim struct {
	owner   netip.AddrPort
	destID  []byte
	report  spread.Report
	hasLoad bool
}

// envelope returns the claim as a message: the payload is the length of the
// connection ID, the ID, and the load report if there is one.
func (c claim) envelope() envelope.Envelope {
	payload := append([]byte{byte(len(c.destID))}, c.destID...)
	if c.hasLoad {
		payload = c.report.Append(payload)
	}
	return envelope.Envelope{Type: envelope.Claim, Candidates: []netip.AddrPort{c.owner}, Payload: payload}
}

// parseClaim reads the claim in an authentic envelope.
func parseClaim(message *envelope.Envelope) (claim, error) {
	payload := message.Payload
	if len(message.Candidates) != 1 || len(payload) == 0 || len(payload) < 1+int(payload[0]) {
		return claim{}, errClaim
	}
	end := 1 + int(payload[0])
	c := claim{owner: message.Candidates[0], destID: payload[1:end]}
	if len(payload) == end {
		return c, nil
	}
	var err error
	c.report, _, err = spread.CutReport(payload[end:])
	c.hasLoad = err == nil
	return c, err
}
