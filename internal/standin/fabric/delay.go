package fabric

import (
	"bytes"
	"container/heap"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDelayed bounds the delayed datagrams; further datagrams are dropped.
const maxDelayed = 1 << 16

// delayedDatagram is a datagram to be sent at the time due.
type delayedDatagram struct {
	due  time.Time
	seq  uint64 // keeps datagrams that are due at the same time in order
	conn *net.UDPConn
	to   netip.AddrPort
	b    []byte
}

// delayQueue sends datagrams when they are due.
type delayQueue struct {
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex // guards the fields below
	waiting delayHeap
	seq     uint64
}

func newDelayQueue() *delayQueue {
	return &delayQueue{wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// push queues a copy of b to be sent at due. It returns false if the queue is full.
func (q *delayQueue) push(conn *net.UDPConn, b []byte, to netip.AddrPort, due time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxDelayed {
		return false
	}
	q.seq++
	d := delayedDatagram{due: due, seq: q.seq, conn: conn, to: to, b: bytes.Clone(b)}
	heap.Push(&q.waiting, d)
	if q.waiting[0].seq == d.seq {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return true
}

func (q *delayQueue) close() { close(q.done) }

// run sends datagrams when they are due, until the queue is closed.
func (q *delayQueue) run() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(q.sendDue(time.Now()))
		select {
		case <-timer.C:
		case <-q.wake:
		case <-q.done:
			return nil
		}
	}
}

// sendDue sends the datagrams that are due at now. It returns the time until the
// next datagram is due, or an hour if the queue is empty.
func (q *delayQueue) sendDue(now time.Time) time.Duration {
	for {
		q.mu.Lock()
		if len(q.waiting) == 0 {
			q.mu.Unlock()
			return time.Hour
		}
		if wait := q.waiting[0].due.Sub(now); wait > 0 {
			q.mu.Unlock()
			return wait
		}
		d := heap.Pop(&q.waiting).(delayedDatagram)
		q.mu.Unlock()
		_, _ = d.conn.WriteToUDPAddrPort(d.b, d.to)
	}
}

// delayHeap implements heap.Interface, ordered by due time.
type delayHeap []delayedDatagram

func (h delayHeap) Len() int { return len(h) }

func (h delayHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].seq < h[j].seq
	}
	return h[i].due.Before(h[j].due)
}

func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(delayedDatagram)) }

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = delayedDatagram{}
	*h = old[:len(old)-1]
	return last
}
