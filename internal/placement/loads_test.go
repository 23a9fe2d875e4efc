package placement

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

// Guards against notices of other programs: the load of each sender was kept for ever, so that notices from changing
// addresses filled the memory of a balancer.
func TestLoadsOfUnknownProcessesAreNotKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000_000, 0)
	d := NewDirectory(now, netip.MustParseAddrPort("10.0.0.1:7000"), "a", rand.New(rand.NewPCG(1, 1)))
	member := netip.MustParseAddrPort("10.0.0.2:7000")
	d.Apply(now, fleet.Member{Addr: member, Role: fleet.Agent, Backend: fleet.Backend{Service: "s", State: fleet.BackendReady, Slots: 2}})
	for port := range uint16(10_000) {
		sender := netip.AddrPortFrom(netip.MustParseAddr("10.0.9.9"), port)
		d.RecordLoad(sender, 3, 4)
		d.MarkFull(now, sender)
		d.MarkUnresponsive(now, sender)
		d.RecordPlacement(sender)
		is.Equal(d.RequestsPerSlot(sender), 0.0)
	}
	d.RecordLoad(member, 3, 4)
	is.Equal(len(d.loads), 1)
	is.Equal(d.RequestsPerSlot(member), 2.0)
}
