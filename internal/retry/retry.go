// Package retry bounds how often repeatable requests are tried again: a budget
// that is a share of recent requests, and a backoff with jitter that never
// passes the deadline. It is pure: time and randomness come in as arguments.
package retry

import (
	"math"
	"time"
)

// Bounds of the budget and of the backoff.
const (
	// budgetMemory is the time constant after which a request counts for little.
	budgetMemory = 10 * time.Second
	// reserve is the number of retries allowed when there were no recent requests.
	reserve = 3.0

	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Budget allows retries up to a share of the recent requests. It is not safe
// for concurrent use.
type Budget struct {
	share    float64
	requests float64
	retries  float64
	last     time.Time
}

// NewBudget returns a Budget that allows share retries for each recent request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share}
}

// CountRequest counts one first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.decay(now)
	b.requests++
}

// Take counts and allows one retry, or reports that the budget is spent.
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

// Backoff returns the wait before retry number n (1 is the first), with full
// jitter by rnd in [0, 1), or false when the deadline would pass first.
func Backoff(n int, rnd float64, now, deadline time.Time) (time.Duration, bool) {
	ceiling := maxBackoff
	if n < 6 {
		ceiling = min(maxBackoff, firstBackoff<<max(n-1, 0))
	}
	wait := time.Duration(rnd * float64(ceiling))
	return wait, now.Add(wait).Before(deadline)
}
