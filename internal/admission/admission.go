// Package admission decides which requests one backend server takes, and when.
//
// It bounds running requests (slots), waiting requests (queue) and the request
// rate, shares room fairly over callers, and refuses at once what it cannot
// take. It is pure: time and randomness come in as arguments.
package admission

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/service"
)

// Address prefixes that count as one caller for fairness.
const (
	callerBitsV4 = 24
	callerBitsV6 = 48
)

// Bounds of Retry-After.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RequestID identifies one request inside a Controller.
type RequestID uint64

// Verdict is the answer to an offered request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request holds a slot and may be dispatched.
	Admitted Verdict = iota + 1
	// Queued means that the request waits; a later call admits or drops it.
	Queued
	// Refused means that the request was not taken.
	Refused
)

// Reason says why a request was refused or dropped.
type Reason string

// Reasons of a refusal.
const (
	// ReasonQueueFull means that all slots and queue places are taken.
	ReasonQueueFull Reason = "queue-full"
	// ReasonRate means that the bound on requests per second was reached.
	ReasonRate Reason = "rate-limit"
	// ReasonDeadline means that the deadline passes before a slot can be free.
	ReasonDeadline Reason = "deadline"
	// ReasonFairShare means that the place went to a caller with fewer waiting requests.
	ReasonFairShare Reason = "fair-share"
)

// Decision is the answer to an offered request.
type Decision struct {
	// Verdict is what happened.
	Verdict Verdict
	// Reason is set when the request was refused.
	Reason Reason
	// RetryAfter is set when the request was refused.
	RetryAfter time.Duration
}

// Change reports what became of a waiting request.
type Change struct {
	ID       RequestID
	Decision Decision
}

// Ramp is the cold-start ramp of the slots.
type Ramp struct {
	// Duration is the time until all slots are usable. Zero means at once.
	Duration time.Duration
	// Initial is the share of the slots usable at the start, 0 to 1.
	Initial float64
}

// holder is one running request.
type holder struct {
	caller netip.Prefix
	since  time.Time
}

// Controller admits the requests of one service at one backend server. It is
// not safe for concurrent use.
type Controller struct {
	limits  service.Limits
	ramp    Ramp
	started time.Time
	limiter *rate.Limiter
	next    RequestID
	running map[RequestID]holder
	held    map[netip.Prefix]int
	queue   fairQueue
	holds   holdTimes
}

// New returns a Controller whose backend server started at now.
func New(now time.Time, limits service.Limits, ramp Ramp) *Controller {
	return &Controller{
		limits:  limits,
		ramp:    ramp,
		started: now,
		limiter: newLimiter(limits),
		running: make(map[RequestID]holder),
		held:    make(map[netip.Prefix]int),
		queue:   newFairQueue(),
		holds:   holdTimes{epoch: now},
	}
}

// SetLimits puts new limits in force. Running and waiting requests stay.
func (c *Controller) SetLimits(now time.Time, rnd float64, limits service.Limits) []Change {
	if limits.RequestsPerSecond != c.limits.RequestsPerSecond {
		c.limiter = newLimiter(limits)
	}
	c.limits = limits
	return c.Tick(now, rnd)
}

// Offer asks to run a request of caller that must start its answer before
// deadline. The changes are waiting requests of others that lost their place.
func (c *Controller) Offer(now time.Time, rnd float64, caller netip.Addr, deadline time.Time) (RequestID, Decision, []Change) {
	changes := c.Tick(now, rnd)
	c.next++
	waiting := waiter{ticket: c.next, caller: prefixOf(caller), deadline: deadline}
	if c.queue.len() == 0 && c.hasSlot(now) && c.limiter.AllowN(now, 1) {
		c.start(now, waiting)
		return waiting.ticket, Decision{Verdict: Admitted}, changes
	}
	if c.expectedWait(now, c.queue.len()+1) > deadline.Sub(now) {
		return waiting.ticket, c.refuse(now, rnd, ReasonDeadline), changes
	}
	if c.queue.len() < c.limits.QueueLength {
		c.queue.push(waiting)
		return waiting.ticket, Decision{Verdict: Queued}, changes
	}
	victim, ok := c.queue.displace(waiting)
	if !ok {
		return waiting.ticket, c.refuse(now, rnd, c.fullReason(now)), changes
	}
	lost := Change{ID: victim, Decision: c.refuse(now, rnd, ReasonFairShare)}
	return waiting.ticket, Decision{Verdict: Queued}, append(changes, lost)
}

// Release gives back the slot of a finished request and admits waiting ones.
func (c *Controller) Release(now time.Time, rnd float64, t RequestID) []Change {
	h, ok := c.running[t]
	if !ok {
		return nil
	}
	delete(c.running, t)
	c.held[h.caller]--
	if c.held[h.caller] == 0 {
		delete(c.held, h.caller)
	}
	c.holds.end(now, h.since)
	return c.Tick(now, rnd)
}

// Cancel removes a request that waits or, when it was just admitted, gives
// back its slot.
func (c *Controller) Cancel(now time.Time, rnd float64, t RequestID) []Change {
	if _, ok := c.running[t]; ok {
		return c.Release(now, rnd, t)
	}
	c.queue.remove(t)
	return c.Tick(now, rnd)
}

// Tick drops waiting requests whose deadline passed and admits those for which
// there is room.
func (c *Controller) Tick(now time.Time, rnd float64) []Change {
	var changes []Change
	for _, t := range c.queue.expire(now) {
		changes = append(changes, Change{ID: t, Decision: c.refuse(now, rnd, ReasonDeadline)})
	}
	for c.queue.len() > 0 && c.hasSlot(now) && c.limiter.AllowN(now, 1) {
		w := c.queue.pop(c.held)
		c.start(now, w)
		changes = append(changes, Change{ID: w.ticket, Decision: Decision{Verdict: Admitted}})
	}
	return changes
}

// NextTick returns when Tick must run next although no request ends, or false.
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

// Load returns the occupied share of the slots, 0 (idle) to 255 (full).
func (c *Controller) Load(now time.Time) uint8 {
	const full = 255
	slots := c.usableSlots(now)
	busy := len(c.running)
	if busy >= slots {
		return full
	}
	return uint8(busy * full / slots)
}

// HasFreeSlot reports whether a request would get a slot at once.
func (c *Controller) HasFreeSlot(now time.Time) bool {
	return c.queue.len() == 0 && c.hasSlot(now) && c.tokenWait(now) == 0
}

// Running returns the number of requests that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int { return c.queue.len() }

func (c *Controller) start(now time.Time, w waiter) {
	c.running[w.ticket] = holder{caller: w.caller, since: now}
	c.held[w.caller]++
	c.holds.start(now)
}

func (c *Controller) hasSlot(now time.Time) bool {
	return len(c.running) < c.usableSlots(now)
}

// usableSlots grows from the initial share to all slots during the ramp; one
// slot is always usable, so that a cold backend server can warm up.
func (c *Controller) usableSlots(now time.Time) int {
	elapsed := now.Sub(c.started)
	if elapsed >= c.ramp.Duration {
		return c.limits.Slots
	}
	progress := float64(elapsed) / float64(c.ramp.Duration)
	share := c.ramp.Initial + (1-c.ramp.Initial)*max(progress, 0)
	return max(1, int(share*float64(c.limits.Slots)))
}

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
