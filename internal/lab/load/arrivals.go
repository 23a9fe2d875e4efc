package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// arrivals is a Poisson process: the intervals between arrivals are exponentially distributed.
type arrivals struct {
	rng  *rand.Rand
	rate float64 // per second
	next time.Duration
}

// newArrivals returns arrivals at a rate per second; seed and stream determine their times.
func newArrivals(seed, stream uint64, rate float64) *arrivals {
	a := &arrivals{rng: rand.New(rand.NewPCG(seed, stream)), rate: rate}
	a.advance()
	return a
}

// advance draws the time of the next arrival.
func (a *arrivals) advance() {
	a.next += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
}

// runArrivals calls onArrival at the intended time of each arrival within duration.
func runArrivals(ctx context.Context, start time.Time, duration time.Duration, a *arrivals, onArrival func(intended time.Time)) {
	for ; a.next < duration; a.advance() {
		intended := start.Add(a.next)
		if !sleepUntil(ctx, intended) {
			return
		}
		onArrival(intended)
	}
}

// sleepUntil waits until t. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
