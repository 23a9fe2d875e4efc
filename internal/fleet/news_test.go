package fleet

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// When a large fleet changes all at once, a message costs no more than at other times:
// what waits to be passed on is bounded, and the newest changes stay.
func TestNewsIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000_000, 0)
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	n := New(now, Config{
		Self: Member{Addr: addr(0), Role: Balancer, DataCentre: "dc1"}, Rand: rand.New(rand.NewPCG(1, 1)),
		Version: func() (uint64, time.Duration) { return 1, 0 }, Load: func() Load { return Load{} },
	})
	const changes = 5 * maxNews
	for i := 1; i <= changes; i++ {
		n.learn(now, Member{Addr: addr(i), Role: Agent, DataCentre: "dc1", Incarnation: 1})
		n.take()
	}
	is.Equal(n.Len(), changes+1)
	is.True(len(n.queue) <= maxNews)
	is.Equal(n.queue[len(n.queue)-1].addr, addr(changes))
}
