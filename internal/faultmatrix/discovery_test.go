package faultmatrix

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// Guards against balancers that nobody finds: all balancers, which are also the peers in all settings, end for good, and
// others take their place. The rosters were read once, at the start of each process.
func TestReplacedBalancersAreFound(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		is := is.NewRelaxed(t)
		for i := range balancerCount {
			f.balancerProcesses[i].crash()
			f.stopSprayingTo(i)
		}
		time.Sleep(10 * time.Second)
		for i := range 2 {
			f.startBalancer(balancerCount + i)
			f.sprayTo(balancerCount + i)
		}
		time.Sleep(20 * time.Second)
		for _, addr := range []netip.AddrPort{bookingAddr, bulletinAddr} {
			answer := f.flow(addr).Sheet(f.ctx, "tide", sheetSize, 0)
			is.Equal(answer.Verdict, caller.Answered)
		}
	})
}
