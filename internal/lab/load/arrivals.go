package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// arrivals is a Poisson process: the times between arrivals are exponentially distributed.
type arrivals struct {
	rng  *rand.Rand
	rate float64 // per second
	next time.Duration
}

func newArrivals(seed, stream uint64, rate float64) *arrivals {
	a := &arrivals{rng: rand.New(rand.NewPCG(seed, stream)), rate: rate}
	a.advance()
	return a
}

func (a *arrivals) advance() {
	a.next += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
}

// runArrivals calls begin for each arrival within the duration, at its intended time.
func runArrivals(ctx context.Context, start time.Time, duration time.Duration, a *arrivals, begin func(intended time.Time)) {
	for ; a.next < duration; a.advance() {
		intended := start.Add(a.next)
		if !sleepUntil(ctx, intended) {
			return
		}
		begin(intended)
	}
}

// sleepUntil waits until t; it reports false when ctx ended before.
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
