package agent

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/spread"
)

var errClaim = errkind.New(errkind.Invalid, "claim is malformed", "none; the datagram is dropped and counted")

// claim is the content of a claim envelope. It states that the agent owner has accepted
// the flow that began with the connection ID destID. A claim that the owner itself
// sends includes its load report.
type claim struct {
	owner   netip.AddrPort
	destID  []byte
	report  spread.Report
	hasLoad bool
}

// envelope encodes the claim. The payload is the length of the connection ID in one
// byte, the ID, and the load report if there is one.
func (c claim) envelope() envelope.Envelope {
	payload := append([]byte{byte(len(c.destID))}, c.destID...)
	if c.hasLoad {
		payload = c.report.Append(payload)
	}
	return envelope.Envelope{Type: envelope.Claim, Candidates: []netip.AddrPort{c.owner}, Payload: payload}
}

// parseClaim decodes the claim of an authentic envelope.
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
