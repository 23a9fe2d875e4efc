package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/service"
)

func (c *Controller) refuse(now time.Time, rnd float64, reason Reason) Decision {
	wait := max(c.expectedWait(now, c.queue.len()+1), c.tokenWait(now))
	// Jitter of half the wait keeps refused callers from returning together.
	wait += time.Duration(rnd * float64(max(wait, minRetryAfter)) / 2)
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

func (c *Controller) fullReason(now time.Time) Reason {
	if c.hasSlot(now) {
		return ReasonRate
	}
	return ReasonQueueFull
}

// expectedWait returns how long it takes until places more slots became free
// at the measured rate; zero while nothing was measured or a slot is free.
func (c *Controller) expectedWait(now time.Time, places int) time.Duration {
	if c.hasSlot(now) {
		return 0
	}
	hold := c.holds.expected(now)
	return time.Duration(float64(hold) * float64(places) / float64(c.usableSlots(now)))
}

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
