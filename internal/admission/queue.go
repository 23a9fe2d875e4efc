package admission

import (
	"net/netip"
	"slices"
	"time"
)

// waiter is one queued request.
type waiter struct {
	ticket   RequestID
	caller   netip.Prefix
	deadline time.Time
}

// fairQueue holds the waiting requests by caller. The callers take turns.
type fairQueue struct {
	byCaller map[netip.Prefix][]waiter
	// turns lists the callers with waiting requests; the first was served longest ago.
	turns []netip.Prefix
	size  int
}

func newFairQueue() fairQueue {
	return fairQueue{byCaller: make(map[netip.Prefix][]waiter)}
}

func (q *fairQueue) len() int { return q.size }

func (q *fairQueue) push(w waiter) {
	if len(q.byCaller[w.caller]) == 0 {
		q.turns = append(q.turns, w.caller)
	}
	q.byCaller[w.caller] = append(q.byCaller[w.caller], w)
	q.size++
}

// pop takes the oldest request of the caller that holds the fewest slots; among
// equals, of the one served longest ago. The queue must not be empty.
func (q *fairQueue) pop(held map[netip.Prefix]int) waiter {
	best := 0
	for i, caller := range q.turns {
		if held[caller] < held[q.turns[best]] {
			best = i
		}
	}
	caller := q.turns[best]
	w := q.byCaller[caller][0]
	q.byCaller[caller] = q.byCaller[caller][1:]
	q.size--
	q.turns = slices.Delete(q.turns, best, best+1)
	if len(q.byCaller[caller]) == 0 {
		delete(q.byCaller, caller)
		return w
	}
	q.turns = append(q.turns, caller)
	return w
}

// displace gives the place of the newest request of the caller with the most
// waiting requests to w, if w's caller would still have fewer than that.
func (q *fairQueue) displace(w waiter) (RequestID, bool) {
	var longest netip.Prefix
	most := 0
	for _, caller := range q.turns {
		if n := len(q.byCaller[caller]); n > most {
			longest, most = caller, n
		}
	}
	if len(q.byCaller[w.caller])+1 >= most {
		return 0, false
	}
	victim := q.byCaller[longest][most-1]
	q.remove(victim.ticket)
	q.push(w)
	return victim.ticket, true
}

func (q *fairQueue) remove(t RequestID) {
	q.removeIf(func(w waiter) bool { return w.ticket == t })
}

// expire removes and returns the requests whose deadline passed.
func (q *fairQueue) expire(now time.Time) []RequestID {
	return q.removeIf(func(w waiter) bool { return !now.Before(w.deadline) })
}

func (q *fairQueue) removeIf(match func(waiter) bool) []RequestID {
	var removed []RequestID
	for _, caller := range slices.Clone(q.turns) {
		kept := slices.DeleteFunc(q.byCaller[caller], func(w waiter) bool {
			if !match(w) {
				return false
			}
			removed = append(removed, w.ticket)
			return true
		})
		q.byCaller[caller] = kept
		if len(kept) == 0 {
			delete(q.byCaller, caller)
			q.turns = slices.DeleteFunc(q.turns, func(p netip.Prefix) bool { return p == caller })
		}
	}
	q.size -= len(removed)
	return removed
}

// earliestDeadline returns the first deadline. The queue must not be empty.
func (q *fairQueue) earliestDeadline() time.Time {
	var first time.Time
	for _, caller := range q.turns {
		for _, w := range q.byCaller[caller] {
			if first.IsZero() || w.deadline.Before(first) {
				first = w.deadline
			}
		}
	}
	return first
}
