package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func TestBudgetIsAShareOfRecentRequests(t *testing.T) {
	is := is.New(t)
	taken := func(b *Budget, now time.Time) int {
		n := 0
		for b.Take(now) {
			n++
		}
		return n
	}
	b := NewBudget(0.1)
	is.Equal(taken(b, start), 3) // the reserve
	for range 100 {
		b.CountRequest(start)
	}
	is.Equal(taken(b, start), 10)
	is.Equal(taken(b, start.Add(time.Hour)), 3) // old requests no longer count
	is.Equal(taken(b, start), 0)                // a clock that was set back restores nothing
}

func TestBackoffStaysBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]time.Duration{1: 10, 2: 20, 4: 80, 7: 500, 70: 500} {
		wait, ok := Backoff(n, 0.5, start, start.Add(time.Minute))
		is.Equal(wait, want*time.Millisecond)
		is.True(ok)
	}
	_, ok := Backoff(1, 0.5, start, start.Add(10*time.Millisecond))
	is.True(!ok)
}
