// Package openqueue orders the opening packets that wait at an agent while its backend server is overloaded.
//
// It answers the load pattern of a recovery storm: after an outage, the callers that have waited try again
// while new callers arrive, and for some seconds the backend servers receive more than they can process.
// A queue in order of arrival would make every caller late until it is empty, also the callers that arrive
// after the outage. Dropped packets would return with the callers' timers, which are unrelated to the moments
// at which a backend server has room.
//
// The queue therefore serves the flow with the highest priority first and, among equal priorities, the flow
// that was begun last (last in, first out under overload: Maurer, "Fail at Scale", ACM Queue 13(8), 2015).
// Callers that arrive now are answered in time, and those that are late in any case get the remaining
// capacity. No packet stays longer than its caller waits for it.
//
// The queue is bounded and does not allocate once its buffers have grown.
package openqueue

import (
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
)

// Opening is the opening packet of a flow that waits.
type Opening struct {
	Key flow.Key
	// Priority is the priority of the flow's route; zero is the highest.
	Priority uint8
	// Begun is when the caller sent its first opening packet, as far as its copies show.
	Begun time.Time
	// Deadline is when the flow is too late to be opened.
	Deadline time.Time
	// Forward is the packet with its path so far.
	Forward hop.Forward
}

// entry is a place in the queue. Its buffers are reused.
type entry struct {
	opening Opening
	packet  []byte
	visited []flow.Endpoint
}

// Queue holds the waiting opening packets of one agent. It is not safe for concurrent use.
type Queue struct {
	entries []entry
	// waiting lists the used places of entries, the flow to serve first at the end.
	waiting []int
	free    []int
}

// New returns an empty queue with the given number of places.
func New(size int) *Queue {
	q := &Queue{entries: make([]entry, size), waiting: make([]int, 0, size), free: make([]int, size)}
	for i := range q.free {
		q.free[i] = i
	}
	return q
}

// Len returns the number of waiting flows.
func (q *Queue) Len() int { return len(q.waiting) }

// IsFull reports whether all places are occupied.
func (q *Queue) IsFull() bool { return len(q.free) == 0 }

// Holds reports whether a flow waits.
func (q *Queue) Holds(key flow.Key) bool { return q.position(key) >= 0 }

// Add adds a flow, or replaces the packet of a waiting flow by a copy of it. It copies the packet. The queue
// must not be full, unless the flow already waits.
func (q *Queue) Add(o Opening) {
	if i := q.position(o.Key); i >= 0 {
		o.Begun = q.entries[q.waiting[i]].opening.Begun
		q.release(i)
	}
	place := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	e := &q.entries[place]
	e.packet = append(e.packet[:0], o.Forward.Packet...)
	e.visited = append(e.visited[:0], o.Forward.Visited...)
	o.Forward.Packet, o.Forward.Visited = e.packet, e.visited
	e.opening = o
	i, _ := slices.BinarySearchFunc(q.waiting, &e.opening, func(other int, o *Opening) int {
		return compare(&q.entries[other].opening, o)
	})
	q.waiting = slices.Insert(q.waiting, i, place)
}

// compare orders openings so that the one to serve first is the last.
func compare(a, b *Opening) int {
	if a.Priority != b.Priority {
		return int(b.Priority) - int(a.Priority)
	}
	return a.Begun.Compare(b.Begun)
}

// First returns the flow to serve first, or nil if the queue is empty. It is valid until the next change of
// the queue.
func (q *Queue) First() *Opening {
	if len(q.waiting) == 0 {
		return nil
	}
	return &q.entries[q.waiting[len(q.waiting)-1]].opening
}

// Last returns the flow to serve last, or nil if the queue is empty. It is valid until the next change of
// the queue.
func (q *Queue) Last() *Opening {
	if len(q.waiting) == 0 {
		return nil
	}
	return &q.entries[q.waiting[0]].opening
}

// PrecedesLast reports whether a flow that does not wait yet would be served before the last waiting one. The
// queue must not be empty.
func (q *Queue) PrecedesLast(o Opening) bool {
	return compare(&o, q.Last()) > 0
}

// Expired returns a flow whose deadline has passed, or nil. It is valid until the next change of the queue.
func (q *Queue) Expired(now time.Time) *Opening {
	for _, place := range q.waiting {
		if o := &q.entries[place].opening; !now.Before(o.Deadline) {
			return o
		}
	}
	return nil
}

// Remove removes a flow if it waits.
func (q *Queue) Remove(key flow.Key) {
	if i := q.position(key); i >= 0 {
		q.release(i)
	}
}

// position returns the index of a flow in waiting, or -1.
func (q *Queue) position(key flow.Key) int {
	return slices.IndexFunc(q.waiting, func(place int) bool { return q.entries[place].opening.Key == key })
}

func (q *Queue) release(i int) {
	q.free = append(q.free, q.waiting[i])
	q.waiting = slices.Delete(q.waiting, i, i+1)
}
