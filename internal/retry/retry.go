// Package retry bounds the retries of repeatable requests: a budget limits them to a share of the
// recent requests, and a backoff with jitter never extends past the deadline. The package reads no
// clock and draws no random numbers: both are arguments.
package retry

import (
	"math"
	"time"
)

// Bounds of the budget and of the backoff.
const (
	// budgetMemory is the time constant with which the counts of past requests and retries decay.
	budgetMemory = 10 * time.Second
	// reserve is the number of retries that are allowed without any recent request.
	reserve = 3.0

	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Budget limits retries to a share of the recent requests. It is not safe for concurrent use.
type Budget struct {
	share    float64
	requests float64
	retries  float64
	last     time.Time
}

// NewBudget returns a Budget that allows share retries per recent request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share}
}

// CountRequest counts one first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.decay(now)
	b.requests++
}

// Take counts one retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	b.decay(now)
	if b.retries+1 > reserve+b.share*b.requests {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) decay(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-float64(passed) / float64(budgetMemory))
	b.requests *= factor
	b.retries *= factor
	b.last = now
}

// Backoff returns the wait before retry number n, where 1 is the first. The wait has full jitter:
// rnd in [0, 1) selects it between zero and a bound that doubles with n. It returns false if the
// wait would reach the deadline.
func Backoff(n int, rnd float64, now, deadline time.Time) (time.Duration, bool) {
	ceiling := maxBackoff
	if n < 6 {
		ceiling = min(maxBackoff, firstBackoff<<max(n-1, 0))
	}
	wait := time.Duration(rnd * float64(ceiling))
	return wait, now.Add(wait).Before(deadline)
}
