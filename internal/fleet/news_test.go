package fleet

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against messages that grow when a large fleet changes all at once: the queue of updates is
// bounded and keeps the newest ones.
func TestUpdateQueueIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2_000_000_000, 0)
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	n := New(now, Config{
		Self: Member{Addr: addr(0), Role: Balancer, DataCentre: "dc1"}, Rand: rand.New(rand.NewPCG(1, 1)),
		Version: func() (uint64, time.Duration) { return 1, 0 }, Load: func() Load { return Load{} },
	})
	const changes = 5 * maxQueuedUpdates
	for i := 1; i <= changes; i++ {
		n.applyUpdate(now, Member{Addr: addr(i), Role: Agent, DataCentre: "dc1", Incarnation: 1})
		n.takeOutput()
	}
	is.Equal(n.Len(), changes+1)
	is.True(len(n.queue) <= maxQueuedUpdates)
	is.Equal(n.queue[len(n.queue)-1].addr, addr(changes))
}
