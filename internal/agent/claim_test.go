package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/spread"
)

var thirdAddr = netip.MustParseAddrPort("127.1.0.3:7000")

func peerClaim() claim {
	return claim{owner: peerAddr, destID: []byte("chosen-by-caller"), report: spread.Report{Flows: 0.25}, hasLoad: true}
}

// An agent that resolves two conflicting claims sends the winner's claim to the other
// agent, so the sender of a claim may not be its owner. The load in a claim must only be
// used if the owner itself sent it.
func TestClaimLoadIsUsedOnlyFromItsOwner(t *testing.T) {
	cases := []struct {
		name string
		from netip.AddrPort
		want bool
	}{
		{"from the owner", peerAddr, true},
		{"from another agent", thirdAddr, false},
	}
	opensAtPeer := opening.Packet{DestID: []byte("another"), Candidates: []netip.AddrPort{selfAddr, peerAddr, thirdAddr}}
	opensAtThird := opening.Packet{DestID: []byte("other"), Candidates: []netip.AddrPort{selfAddr, thirdAddr, peerAddr}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := testLink(t)
			message := peerClaim().envelope()
			message.Service = 1
			l.handleClaim(time.Now(), c.from, &message)
			is.Equal(l.shouldOffload(time.Now(), opensAtPeer), c.want)
			is.True(!l.shouldOffload(time.Now(), opensAtThird))
			is.Equal(l.openings.Len(), 1) // the claim is recorded in both cases
		})
	}
}

// A load report without the flow just accepted would understate the load until that
// flow is counted.
func TestOwnClaimCountsTheNewFlow(t *testing.T) {
	is := is.New(t)
	l := testLink(t)
	l.flowShare = func(more int) float64 { return 0.5 + float64(more)/4 }
	message := l.envelopeFor(&envelope.Envelope{Service: 1}, opening.Send{Claim: true, Owner: selfAddr, DestID: []byte("id")})
	got, err := parseClaim(&message)
	is.NoErr(err)
	is.Equal(got.report.Flows, 0.75)
	is.Equal(got.destID, []byte("id"))
	message = l.envelopeFor(&envelope.Envelope{Service: 1}, opening.Send{Claim: true, Owner: peerAddr, DestID: []byte("id")})
	got, err = parseClaim(&message)
	is.NoErr(err)
	is.True(!got.hasLoad)
}

func FuzzParseClaim(f *testing.F) {
	f.Add(peerClaim().envelope().Payload)
	f.Add([]byte{})
	f.Add([]byte{4, 1, 2})
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, payload []byte) {
		message := envelope.Envelope{Candidates: []netip.AddrPort{peerAddr}, Payload: payload}
		got, err := parseClaim(&message)
		if err == nil && len(got.destID) > len(payload) {
			t.Fatal("connection ID is longer than its claim")
		}
	})
}
