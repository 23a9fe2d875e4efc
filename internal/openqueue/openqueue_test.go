package openqueue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/openqueue"
)

var start = time.Unix(2_000_000_000, 0)

func key(port uint16) flow.Key {
	return flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}}
}

// opening returns the opening packet of a flow that was begun the given number of milliseconds after start
// and may wait for a second.
func opening(port uint16, priority uint8, begunMS int) openqueue.Opening {
	begun := start.Add(time.Duration(begunMS) * time.Millisecond)
	return openqueue.Opening{
		Key: key(port), Priority: priority, Begun: begun, Deadline: begun.Add(time.Second),
		Forward: hop.Forward{Packet: []byte{byte(port)}},
	}
}

// takeAll removes all flows in the order in which they are served.
func takeAll(q *openqueue.Queue) []uint16 {
	var ports []uint16
	for o := q.First(); o != nil; o = q.First() {
		ports = append(ports, o.Key.Caller.Port)
		q.Remove(o.Key)
	}
	return ports
}

func TestOrder(t *testing.T) {
	for _, test := range []struct {
		name  string
		added []openqueue.Opening
		want  []uint16
	}{
		{"newest first", []openqueue.Opening{opening(1, 2, 0), opening(2, 2, 20), opening(3, 2, 10)}, []uint16{2, 3, 1}},
		{"priority before age", []openqueue.Opening{opening(1, 1, 0), opening(2, 2, 20), opening(3, 0, 10)}, []uint16{3, 1, 2}},
		{"a copy keeps the place of its flow", []openqueue.Opening{opening(1, 2, 0), opening(2, 2, 10), opening(1, 2, 30)}, []uint16{2, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := openqueue.New(8)
			for _, o := range test.added {
				q.Add(o)
			}
			is.Equal(takeAll(q), test.want)
			is.Equal(q.Len(), 0)
		})
	}
}

func TestCopyReplacesThePacketAndItsPath(t *testing.T) {
	is := is.New(t)
	q := openqueue.New(2)
	q.Add(opening(1, 2, 0))
	second := opening(1, 2, 200)
	second.Forward = hop.Forward{Balancer: flow.Endpoint{Port: 9}, Packet: []byte{7}, Visited: []flow.Endpoint{{Port: 3}}}
	q.Add(second)
	second.Forward.Packet[0] = 0 // the caller's buffer is reused
	is.Equal(q.Len(), 1)
	is.Equal(q.First().Forward.Balancer.Port, uint16(9))
	is.Equal(q.First().Forward.Packet, []byte{7})
	is.Equal(q.First().Forward.Visited, []flow.Endpoint{{Port: 3}})
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	q := openqueue.New(3)
	for port := uint16(1); port <= 3; port++ {
		is.True(!q.IsFull())
		q.Add(opening(port, 2, int(port)))
	}
	is.True(q.IsFull())
	is.Equal(q.Last().Key, key(1))
	q.Remove(key(9)) // does not wait
	is.Equal(q.Len(), 3)
	q.Remove(key(2))
	is.True(!q.Holds(key(2)))
	is.True(!q.IsFull())
}

func TestExpiredFlowsAreFoundInAnyPlace(t *testing.T) {
	is := is.New(t)
	q := openqueue.New(3)
	q.Add(opening(1, 0, 100))
	short := opening(2, 2, 300)
	short.Deadline = start.Add(500 * time.Millisecond)
	q.Add(short)
	is.True(q.Expired(start.Add(499*time.Millisecond)) == nil)
	is.Equal(q.Expired(start.Add(500*time.Millisecond)).Key, key(2))
	q.Remove(key(2))
	is.Equal(q.Expired(start.Add(1100*time.Millisecond)).Key, key(1))
}

func TestQueueDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	q := openqueue.New(64)
	openings := make([]openqueue.Opening, 64)
	for port := range openings {
		openings[port] = opening(uint16(port), 2, port)
	}
	run := func() {
		for _, o := range openings {
			q.Add(o)
		}
		for o := q.First(); o != nil; o = q.First() {
			q.Remove(o.Key)
		}
	}
	run() // the buffers of the entries grow
	is.Equal(testing.AllocsPerRun(10, run), 0.0)
}

func BenchmarkAddAndRemove(b *testing.B) {
	q := openqueue.New(256)
	for port := range uint16(255) {
		q.Add(opening(port, 2, int(port)))
	}
	o := opening(1000, 2, 100)
	b.ReportAllocs()
	for b.Loop() {
		q.Add(o)
		q.Remove(o.Key)
	}
}
