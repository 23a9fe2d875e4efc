package spread

import (
	"container/heap"
	"time"
)

// event is something that happens at a given time.
type event struct {
	at time.Time
	// number keeps the order of events of the same time.
	number uint64
	do     func()
}

// eventQueue holds the events to come, in the order of time.
type eventQueue struct {
	list  eventList
	count uint64
}

func (q *eventQueue) push(at time.Time, do func()) {
	q.count++
	heap.Push(&q.list, event{at: at, number: q.count, do: do})
}

func (q *eventQueue) pop() event { return heap.Pop(&q.list).(event) }

// eventList implements heap.Interface.
type eventList []event

func (l eventList) Len() int      { return len(l) }
func (l eventList) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l eventList) Less(i, j int) bool {
	if !l[i].at.Equal(l[j].at) {
		return l[i].at.Before(l[j].at)
	}
	return l[i].number < l[j].number
}

// Push implements heap.Interface.
func (l *eventList) Push(e any) { *l = append(*l, e.(event)) }

// Pop implements heap.Interface.
func (l *eventList) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
