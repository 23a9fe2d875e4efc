package admission

import (
	"net/netip"
	"slices"
	"time"
)

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	id       RequestID
	caller   netip.Prefix
	deadline time.Time
}

// fairQueue holds the waiting requests of each caller and serves the callers in turn.
type fairQueue struct {
	byCaller map[netip.Prefix][]queuedRequest
	// rotation lists the callers with waiting requests, the least recently served caller first.
	rotation []netip.Prefix
	size     int
}

func newFairQueue() fairQueue {
	return fairQueue{byCaller: make(map[netip.Prefix][]queuedRequest)}
}

func (q *fairQueue) len() int { return q.size }

func (q *fairQueue) push(r queuedRequest) {
	if len(q.byCaller[r.caller]) == 0 {
		q.rotation = append(q.rotation, r.caller)
	}
	q.byCaller[r.caller] = append(q.byCaller[r.caller], r)
	q.size++
}

// pop removes and returns the oldest request of the caller that holds the fewest slots. If several
// callers hold equally few, it selects the least recently served of them. The queue must not be
// empty.
func (q *fairQueue) pop(slotsHeld map[netip.Prefix]int) queuedRequest {
	best := 0
	for i, caller := range q.rotation {
		if slotsHeld[caller] < slotsHeld[q.rotation[best]] {
			best = i
		}
	}
	caller := q.rotation[best]
	r := q.byCaller[caller][0]
	q.byCaller[caller] = q.byCaller[caller][1:]
	q.size--
	q.rotation = slices.Delete(q.rotation, best, best+1)
	if len(q.byCaller[caller]) == 0 {
		delete(q.byCaller, caller)
		return r
	}
	q.rotation = append(q.rotation, caller)
	return r
}

// displace queues r in place of the newest request of the caller with the most waiting requests,
// and returns the displaced request. It returns false if r's caller would not have fewer waiting
// requests than that caller.
func (q *fairQueue) displace(r queuedRequest) (RequestID, bool) {
	var longest netip.Prefix
	most := 0
	for _, caller := range q.rotation {
		if n := len(q.byCaller[caller]); n > most {
			longest, most = caller, n
		}
	}
	if len(q.byCaller[r.caller])+1 >= most {
		return 0, false
	}
	victim := q.byCaller[longest][most-1]
	q.remove(victim.id)
	q.push(r)
	return victim.id, true
}

func (q *fairQueue) remove(id RequestID) {
	q.removeIf(func(r queuedRequest) bool { return r.id == id })
}

// expire removes the requests whose deadline has passed and returns their IDs.
func (q *fairQueue) expire(now time.Time) []RequestID {
	return q.removeIf(func(r queuedRequest) bool { return !now.Before(r.deadline) })
}

func (q *fairQueue) removeIf(match func(queuedRequest) bool) []RequestID {
	var removed []RequestID
	for _, caller := range slices.Clone(q.rotation) {
		kept := slices.DeleteFunc(q.byCaller[caller], func(r queuedRequest) bool {
			if !match(r) {
				return false
			}
			removed = append(removed, r.id)
			return true
		})
		q.byCaller[caller] = kept
		if len(kept) == 0 {
			delete(q.byCaller, caller)
			q.rotation = slices.DeleteFunc(q.rotation, func(p netip.Prefix) bool { return p == caller })
		}
	}
	q.size -= len(removed)
	return removed
}

// earliestDeadline returns the earliest deadline. The queue must not be empty.
func (q *fairQueue) earliestDeadline() time.Time {
	var first time.Time
	for _, caller := range q.rotation {
		for _, r := range q.byCaller[caller] {
			if first.IsZero() || r.deadline.Before(first) {
				first = r.deadline
			}
		}
	}
	return first
}
