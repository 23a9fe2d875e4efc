package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/service"
)

// refuse returns a refusal whose RetryAfter is the expected wait at the end of the queue.
func (c *Controller) refuse(now time.Time, rnd float64, reason Reason) Decision {
	wait := max(c.expectedWait(now, c.queue.len()+1), c.tokenWait(now))
	// Up to half the wait is added at random, so that refused callers do not all return together.
	wait += time.Duration(rnd * float64(max(wait, minRetryAfter)) / 2)
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// fullReason returns the reason why a request at the end of a full queue cannot run.
func (c *Controller) fullReason(now time.Time) Reason {
	if c.hasSlot(now) {
		return ReasonRate
	}
	return ReasonQueueFull
}

// expectedWait returns the expected time until the request at this queue position gets a slot, by
// the measured holding times. It is zero while nothing was measured or a slot is free.
func (c *Controller) expectedWait(now time.Time, position int) time.Duration {
	if c.hasSlot(now) {
		return 0
	}
	hold := c.holding.expected(now)
	return time.Duration(float64(hold) * float64(position) / float64(c.usableSlots(now)))
}

// tokenWait returns the time until the rate limit allows another request.
func (c *Controller) tokenWait(now time.Time) time.Duration {
	missing := 1 - c.limiter.TokensAt(now)
	if missing <= 0 || c.limits.RequestsPerSecond <= 0 {
		return 0
	}
	return time.Duration(missing / c.limits.RequestsPerSecond * float64(time.Second))
}

func newLimiter(limits service.Limits) *rate.Limiter {
	if limits.RequestsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), max(1, limits.Slots))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
