package fleet_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
)

// designMembers is the number of balancers and agents of the largest planned deployment.
const designMembers = 43_900

// addFakeMembers sends the records of members 1 to count-1 to a node.
func addFakeMembers(m *mesh, node *fleet.Node, count int) {
	for i := 1; i < count; i++ {
		other := fleet.New(m.now, fleet.Config{
			Self: fleet.Member{
				Addr: addrOf(i), Role: fleet.Agent, DataCentre: "dc1", Incarnation: 1,
				Backend: fleet.Backend{Service: "alpha", State: fleet.BackendReady, StartMillis: 1_780_000_000_000, Slots: 5},
			},
			Rand:    m.rand,
			Version: func() (uint64, time.Duration) { return 1, 0 },
			Load:    func() fleet.Load { return fleet.Load{} },
		})
		sends, _ := other.SendVersion(m.order[:1])
		for _, s := range sends {
			_, _, _ = node.Handle(m.now, addrOf(i), s.Payload)
		}
	}
}

// BenchmarkPing measures the answer to a probe at the design size.
func BenchmarkPing(b *testing.B) {
	m := newMesh(1)
	node := m.nodes[addrOf(0)]
	addFakeMembers(m, node, designMembers)
	peer := newMesh(2)
	peer.run(400 * time.Millisecond)
	var ping []byte
	for i := 0; ping == nil; i++ {
		sends, _ := peer.nodes[addrOf(1)].Tick(peer.now)
		peer.now = peer.now.Add(fleet.TickPeriod)
		for _, s := range sends {
			ping = s.Payload
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = node.Handle(m.now, addrOf(1), ping)
	}
}

// BenchmarkTick measures a tick at the design size.
func BenchmarkTick(b *testing.B) {
	m := newMesh(1)
	node := m.nodes[addrOf(0)]
	addFakeMembers(m, node, designMembers)
	now := m.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(fleet.TickPeriod)
		node.Tick(now)
	}
}

// BenchmarkMemory reports the bytes per member that a node uses.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		m := newMesh(1)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		addFakeMembers(m, m.nodes[addrOf(0)], designMembers)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/designMembers, "B/member")
		runtime.KeepAlive(m)
	}
}

// BenchmarkMergeTable measures merging a whole table at the design size, as a process that joins
// does.
func BenchmarkMergeTable(b *testing.B) {
	m := newMesh(1)
	addFakeMembers(m, m.nodes[addrOf(0)], designMembers)
	members := m.nodes[addrOf(0)].Members()
	for b.Loop() {
		joiner := newMesh(1).nodes[addrOf(0)]
		joiner.MergeTable(m.now, members, nil)
	}
}
