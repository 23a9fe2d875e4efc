package faultmatrix

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/memnet"
)

func TestRequestsAreServedEndToEnd(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		is := is.New(t)
		flow := f.flow(bookingAddr)
		answer := flow.Sheet(f.ctx, "tide", 300_000, 0)
		is.Equal(answer.Verdict, caller.Answered)
		answer = flow.Upload(f.ctx, "order", 300_000)
		is.Equal(answer.Verdict, caller.Answered)
		answer = flow.Book(f.ctx, "family-1", answer.Key, 0)
		is.Equal(answer.Verdict, caller.Answered)
		is.Equal(len(f.ended), 0)
	})
}

// Guards against flows that a caller takes for open while its agent has given them up: the end of the handshake is lost
// while the caller is cut off, and the caller repeats it after the cut, at an interval that has grown by then.
func TestFlowOpensWhenItsCallerIsCutOffDuringTheHandshake(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		is := is.NewRelaxed(t)
		const callerNetwork = 9
		f.after(4*linkDelay, func() { // the caller's first packets are under way
			f.changeLinks(func(from, _ netip.Addr) memnet.Link {
				return memnet.Link{Delay: linkDelay, Cut: from.As4()[2] == callerNetwork}
			})
		})
		answer := f.flow(bookingAddr).Sheet(f.ctx, "tide", sheetSize, 0)
		is.Equal(answer.Verdict, caller.Answered)
		is.Equal(len(f.ended), 0)
	})
}
