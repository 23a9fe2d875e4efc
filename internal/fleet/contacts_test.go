package fleet_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

// Guards against two groups that each have members, but not the other. One contact brings them together.
func TestContactBringsTwoGroupsTogether(t *testing.T) {
	is := is.New(t)
	m := newMesh(20)
	m.seeds = []netip.AddrPort{addrOf(20)}
	for i := range 20 {
		m.add(20 + i)
	}
	m.run(5 * time.Second)
	for i := range 40 {
		is.Equal(m.nodes[addrOf(i)].AliveCount(), 20)
	}
	m.nodes[addrOf(7)].AddContacts([]netip.AddrPort{addrOf(33)})
	m.run(15 * time.Second)
	for i := range 40 {
		is.Equal(m.nodes[addrOf(i)].AliveCount(), 40)
	}
}

// Contacts are read from the store as long as a process runs, so their number and the datagrams to those that do not answer
// must stay bounded.
func TestContactsThatDoNotAnswer(t *testing.T) {
	const rounds, seconds = 100, 10
	is := is.New(t)
	now := time.Unix(2_000_000_000, 0)
	n := fleet.New(now, fleet.Config{
		Self: fleet.Member{Addr: addrOf(0), Role: fleet.Agent, DataCentre: "dc1", Incarnation: 1}, Rand: rand.New(rand.NewPCG(1, 1)),
		Version: func() (uint64, time.Duration) { return 1, 0 }, Load: func() fleet.Load { return fleet.Load{} },
	})
	last := addrOf(9999)
	for i := range rounds {
		n.AddContacts([]netip.AddrPort{addrOf(2*i + 1), addrOf(2*i + 2), addrOf(0)})
	}
	n.AddContacts([]netip.AddrPort{last})
	asked := map[netip.AddrPort]int{}
	sent := 0
	for range seconds * int(time.Second/fleet.TickPeriod) {
		now = now.Add(fleet.TickPeriod)
		sends, _ := n.Tick(now)
		for _, s := range sends {
			asked[s.To]++
			sent++
		}
	}
	is.True(sent <= seconds*100)               // 10 rounds a second, a few contacts each
	is.True(asked[last] > 0)                   // the one that was added last is kept
	is.True(asked[addrOf(2*rounds)] > 0)       // and so are the latest of the others
	is.Equal(asked[addrOf(1)], 0)              // the earliest are forgotten
	is.Equal(asked[addrOf(0)], 0)              // the node does not ask itself
	is.True(len(asked) > 8 && len(asked) < 99) // all that are kept have their turn
}
