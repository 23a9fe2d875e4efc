package flowtable_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowtable"
)

// BenchmarkMemory reports the memory of one flow, in bytes, in a table of a million flows.
func BenchmarkMemory(b *testing.B) {
	const count = 1_000_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := flowtable.New(count)
		for i := range count {
			key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{byte(i >> 24), byte(i >> 16), byte(i >> 8), byte(i)}}}
			table.RecordBackendPacket(start, key, &flow.Packet{Flags: flow.ACK})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/flow")
		runtime.KeepAlive(table)
	}
}

func BenchmarkCallerPacket(b *testing.B) {
	table := flowtable.New(16384)
	e := table.Begin(start, keyWithPort(1), flow.Endpoint{})
	table.RecordBackendPacket(start, keyWithPort(1), &flow.Packet{Flags: flow.SYN | flow.ACK})
	p := &flow.Packet{Flags: flow.ACK, Ack: 1, Length: 100}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		table.RecordCallerPacket(now, keyWithPort(1), e, p)
	}
}
