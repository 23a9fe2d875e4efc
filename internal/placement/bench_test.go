package placement_test

import (
	"runtime"
	"testing"

	"github.com/almondledge/almondledge/internal/fleet"
)

// BenchmarkDirectoryMemory reports the bytes per agent that a directory of the largest planned
// deployment uses.
func BenchmarkDirectoryMemory(b *testing.B) {
	const agents = 38_000
	for b.Loop() {
		var members []fleet.Member
		for i := range agents {
			m := agent(byte(i), "s", "here")
			ip := [4]byte{10, byte(1 + i>>16), byte(i >> 8), byte(i)}
			m.Addr = addrPort(ip)
			m.Backend.Service = "s" + string(rune('a'+i%15000))
			members = append(members, m)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		directory := newDirectory(members...)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/agents, "B/agent")
		runtime.KeepAlive(directory)
	}
}
