package spread

import (
	"container/heap"
	"time"
)

// event is an action due at a given time.
type event struct {
	at time.Time
	// seq orders events that are due at the same time.
	seq uint64
	run func()
}

// eventQueue holds pending events in order of time.
type eventQueue struct {
	items eventHeap
	count uint64
}

func (q *eventQueue) push(at time.Time, do func()) {
	q.count++
	heap.Push(&q.items, event{at: at, seq: q.count, run: do})
}

func (q *eventQueue) pop() event { return heap.Pop(&q.items).(event) }

// eventHeap implements heap.Interface.
type eventHeap []event

func (l eventHeap) Len() int      { return len(l) }
func (l eventHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l eventHeap) Less(i, j int) bool {
	if !l[i].at.Equal(l[j].at) {
		return l[i].at.Before(l[j].at)
	}
	return l[i].seq < l[j].seq
}

// Push implements heap.Interface.
func (l *eventHeap) Push(e any) { *l = append(*l, e.(event)) }

// Pop implements heap.Interface.
func (l *eventHeap) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
