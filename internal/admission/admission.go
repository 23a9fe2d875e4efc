// Package admission decides which requests one backend server accepts, and when.
//
// It bounds the running requests (slots), the waiting requests (queue) and the request rate,
// divides the slots and queue places fairly among callers, and refuses at once the requests that it
// cannot accept. The package does no I/O and reads no clock: the time and random numbers are
// arguments.
package admission

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/service"
)

// Lengths of the address prefixes that count as one caller for fairness.
const (
	callerBitsV4 = 24
	callerBitsV6 = 48
)

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RequestID identifies one request within a Controller.
type RequestID uint64

// Verdict is the decision whether a request is admitted, queued or refused.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request holds a slot and may be dispatched.
	Admitted Verdict = iota + 1
	// Queued means that the request waits; a later call admits or refuses it.
	Queued
	// Refused means that the request was not accepted.
	Refused
)

// Reason is the reason why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonQueueFull means that all slots and all queue places are occupied.
	ReasonQueueFull Reason = "queue-full"
	// ReasonRate means that the limit on requests per second was reached.
	ReasonRate Reason = "rate-limit"
	// ReasonDeadline means that the deadline passed, or would pass before a slot is expected to be
	// free.
	ReasonDeadline Reason = "deadline"
	// ReasonFairShare means that the queue place was given to a caller with fewer waiting requests.
	ReasonFairShare Reason = "fair-share"
)

// Decision is the verdict on a request, with its reason.
type Decision struct {
	// Verdict reports whether the request was admitted, queued or refused.
	Verdict Verdict
	// Reason is set for Refused.
	Reason Reason
	// RetryAfter is the suggested wait before the next try. It is set for Refused.
	RetryAfter time.Duration
}

// Change is the decision on a request that was waiting.
type Change struct {
	ID       RequestID
	Decision Decision
}

// Ramp describes how the usable slots grow after a cold start.
type Ramp struct {
	// Duration is the time until all slots are usable. Zero makes them usable at once.
	Duration time.Duration
	// Initial is the share of the slots usable at the start, 0 to 1.
	Initial float64
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	caller netip.Prefix
	since  time.Time
}

// Controller admits the requests of one service at one backend server. It is not safe for
// concurrent use.
type Controller struct {
	limits    service.Limits
	ramp      Ramp
	started   time.Time
	limiter   *rate.Limiter
	lastID    RequestID
	running   map[RequestID]runningRequest
	slotsHeld map[netip.Prefix]int
	queue     fairQueue
	holding   holdTimes
}

// New returns a Controller for a backend server that started at now.
func New(now time.Time, limits service.Limits, ramp Ramp) *Controller {
	return &Controller{
		limits:    limits,
		ramp:      ramp,
		started:   now,
		limiter:   newLimiter(limits),
		running:   make(map[RequestID]runningRequest),
		slotsHeld: make(map[netip.Prefix]int),
		queue:     newFairQueue(),
		holding:   holdTimes{epoch: now},
	}
}

// SetLimits replaces the limits. Running and waiting requests stay, even if they exceed the new
// limits.
func (c *Controller) SetLimits(now time.Time, rnd float64, limits service.Limits) []Change {
	if limits.RequestsPerSecond != c.limits.RequestsPerSecond {
		c.limiter = newLimiter(limits)
	}
	c.limits = limits
	return c.Tick(now, rnd)
}

// Offer requests a slot for a request of caller whose answer must start before deadline. The
// returned changes are the decisions on other requests that were waiting, including a request that
// this request displaces from the queue.
func (c *Controller) Offer(now time.Time, rnd float64, caller netip.Addr, deadline time.Time) (RequestID, Decision, []Change) {
	changes := c.Tick(now, rnd)
	c.lastID++
	waiting := queuedRequest{id: c.lastID, caller: prefixOf(caller), deadline: deadline}
	if c.queue.len() == 0 && c.hasSlot(now) && c.limiter.AllowN(now, 1) {
		c.start(now, waiting)
		return waiting.id, Decision{Verdict: Admitted}, changes
	}
	if c.expectedWait(now, c.queue.len()+1) > deadline.Sub(now) {
		return waiting.id, c.refuse(now, rnd, ReasonDeadline), changes
	}
	if c.queue.len() < c.limits.QueueLength {
		c.queue.push(waiting)
		return waiting.id, Decision{Verdict: Queued}, changes
	}
	victim, ok := c.queue.displace(waiting)
	if !ok {
		return waiting.id, c.refuse(now, rnd, c.fullReason(now)), changes
	}
	lost := Change{ID: victim, Decision: c.refuse(now, rnd, ReasonFairShare)}
	return waiting.id, Decision{Verdict: Queued}, append(changes, lost)
}

// Release frees the slot of a finished request and admits waiting requests.
func (c *Controller) Release(now time.Time, rnd float64, id RequestID) []Change {
	finished, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	c.slotsHeld[finished.caller]--
	if c.slotsHeld[finished.caller] == 0 {
		delete(c.slotsHeld, finished.caller)
	}
	c.holding.end(now, finished.since)
	return c.Tick(now, rnd)
}

// Cancel removes a waiting request, or frees the slot if the request has been admitted.
func (c *Controller) Cancel(now time.Time, rnd float64, id RequestID) []Change {
	if _, ok := c.running[id]; ok {
		return c.Release(now, rnd, id)
	}
	c.queue.remove(id)
	return c.Tick(now, rnd)
}

// Tick refuses the waiting requests whose deadline has passed and admits waiting requests as far as
// slots and the rate limit allow.
func (c *Controller) Tick(now time.Time, rnd float64) []Change {
	var changes []Change
	for _, id := range c.queue.expire(now) {
		changes = append(changes, Change{ID: id, Decision: c.refuse(now, rnd, ReasonDeadline)})
	}
	for c.queue.len() > 0 && c.hasSlot(now) && c.limiter.AllowN(now, 1) {
		r := c.queue.pop(c.slotsHeld)
		c.start(now, r)
		changes = append(changes, Change{ID: r.id, Decision: Decision{Verdict: Admitted}})
	}
	return changes
}

// NextTick returns when Tick must be called next if no request ends earlier. It returns false if no
// request waits.
func (c *Controller) NextTick(now time.Time) (time.Time, bool) {
	if c.queue.len() == 0 {
		return time.Time{}, false
	}
	next := c.queue.earliestDeadline()
	if c.hasSlot(now) {
		next = earlier(next, now.Add(c.tokenWait(now)))
	}
	if c.usableSlots(now) < c.limits.Slots {
		step := c.ramp.Duration / time.Duration(c.limits.Slots)
		next = earlier(next, now.Add(step))
	}
	return next, true
}

// Load returns the occupied share of the usable slots, from 0 (idle) to 255 (full).
func (c *Controller) Load(now time.Time) uint8 {
	const full = 255
	slots := c.usableSlots(now)
	busy := len(c.running)
	if busy >= slots {
		return full
	}
	return uint8(busy * full / slots)
}

// HasFreeSlot reports whether a request would be admitted at once.
func (c *Controller) HasFreeSlot(now time.Time) bool {
	return c.queue.len() == 0 && c.hasSlot(now) && c.tokenWait(now) == 0
}

// Running returns the number of requests that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int { return c.queue.len() }

func (c *Controller) start(now time.Time, r queuedRequest) {
	c.running[r.id] = runningRequest{caller: r.caller, since: now}
	c.slotsHeld[r.caller]++
	c.holding.start(now)
}

func (c *Controller) hasSlot(now time.Time) bool {
	return len(c.running) < c.usableSlots(now)
}

// usableSlots grows from the initial share to all slots during the ramp. At least one slot is
// usable, so that a cold backend server can warm up.
func (c *Controller) usableSlots(now time.Time) int {
	elapsed := now.Sub(c.started)
	if elapsed >= c.ramp.Duration {
		return c.limits.Slots
	}
	progress := float64(elapsed) / float64(c.ramp.Duration)
	share := c.ramp.Initial + (1-c.ramp.Initial)*max(progress, 0)
	return max(1, int(share*float64(c.limits.Slots)))
}

// prefixOf returns the address prefix that identifies a caller for fairness.
func prefixOf(caller netip.Addr) netip.Prefix {
	caller = caller.Unmap()
	bits := callerBitsV6
	if caller.Is4() {
		bits = callerBitsV4
	}
	prefix, err := caller.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return prefix
}
