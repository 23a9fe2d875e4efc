package admission

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/service"
)

var (
	start = time.Unix(1_000_000, 0)
	noisy = netip.MustParseAddr("10.0.1.1")
	quiet = netip.MustParseAddr("10.0.2.1")
)

func limits(slots, queue int) service.Limits {
	return service.Limits{Slots: slots, QueueLength: queue}
}

// offer offers a request with a deadline in one minute.
func offer(c *Controller, now time.Time, caller netip.Addr) (RequestID, Decision, []Change) {
	return c.Offer(now, 0, caller, now.Add(time.Minute))
}

func TestSlotsAndQueueAreBounds(t *testing.T) {
	is := is.New(t)
	c := New(start, limits(2, 1), Ramp{})
	first, d, _ := offer(c, start, noisy)
	is.Equal(d.Verdict, Admitted)
	is.Equal(c.Load(start), uint8(127))
	_, d, _ = offer(c, start, noisy)
	is.Equal(d.Verdict, Admitted)
	is.Equal(c.Load(start), uint8(255))
	waiting, d, _ := offer(c, start, noisy)
	is.Equal(d.Verdict, Queued)
	_, d, _ = offer(c, start, noisy)
	is.Equal(d, Decision{Verdict: Refused, Reason: ReasonQueueFull, RetryAfter: minRetryAfter})

	is.Equal(c.Release(start, 0, first), []Change{{ID: waiting, Decision: Decision{Verdict: Admitted}}})
	is.Equal(c.Release(start, 0, first), nil) // the second release has no effect
	is.Equal(c.Running(), 2)
	is.Equal(c.Waiting(), 0)
}

// TestNoisyCallerGetsItsShareOnly checks that the caller with fewer requests is served next, and
// that it displaces a request of a caller that filled the queue.
func TestNoisyCallerGetsItsShareOnly(t *testing.T) {
	is := is.New(t)
	c := New(start, limits(1, 2), Ramp{})
	running, _, _ := offer(c, start, noisy)
	older, _, _ := offer(c, start, noisy)
	newer, _, _ := offer(c, start, noisy)
	guest, d, changes := offer(c, start, quiet)
	is.Equal(d.Verdict, Queued)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].ID, newer)
	is.Equal(changes[0].Decision.Reason, ReasonFairShare)
	_, d, _ = offer(c, start, quiet) // both callers have one waiting request
	is.Equal(d.Verdict, Refused)

	is.Equal(c.Release(start, 0, running)[0].ID, older) // older came first, and neither caller holds a slot
	is.Equal(c.Release(start, 0, older)[0].ID, guest)

	c = New(start, limits(2, 9), Ramp{})
	first, _, _ := offer(c, start, noisy)
	offer(c, start, noisy)
	offer(c, start, noisy)
	guest, _, _ = offer(c, start, quiet)
	is.Equal(c.Release(start, 0, first)[0].ID, guest) // noisy still holds a slot
}

func TestCallersTakeTurns(t *testing.T) {
	is := is.New(t)
	c := New(start, limits(1, 9), Ramp{})
	running, _, _ := offer(c, start, noisy)
	callers := make(map[RequestID]netip.Addr)
	for _, caller := range []netip.Addr{noisy, noisy, noisy, quiet, quiet} {
		ticket, _, _ := offer(c, start, caller)
		callers[ticket] = caller
	}
	var order []netip.Addr
	for len(order) < len(callers) {
		running = c.Release(start, 0, running)[0].ID
		order = append(order, callers[running])
	}
	is.Equal(order, []netip.Addr{noisy, quiet, noisy, quiet, noisy})
}

func TestWaitingRequestsLeaveAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(start, limits(1, 5), Ramp{})
	running, _, _ := offer(c, start, noisy)
	expiring, _, _ := c.Offer(start, 0, noisy, start.Add(time.Second))
	cancelled, _, _ := offer(c, start, noisy)
	next, ok := c.NextTick(start)
	is.True(ok)
	is.Equal(next, start.Add(time.Second))
	changes := c.Tick(next, 0)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].ID, expiring)
	is.Equal(changes[0].Decision.Reason, ReasonDeadline)
	c.Cancel(next, 0, cancelled)
	is.Equal(c.Waiting(), 0)
	is.Equal(len(c.Release(next, 0, running)), 0)
	is.Equal(c.Running(), 0)
}

// TestRetryAfterFollowsTheMeasuredRate uses two slots that are held for 4 s each, so one slot
// becomes free every 2 s on average.
func TestRetryAfterFollowsTheMeasuredRate(t *testing.T) {
	is := is.New(t)
	c := New(start, limits(2, 1), Ramp{})
	now := start
	for range 20 {
		one, _, _ := offer(c, now, noisy)
		two, _, _ := offer(c, now, noisy)
		now = now.Add(4 * time.Second)
		c.Release(now, 0, one)
		c.Release(now, 0, two)
	}
	offer(c, now, noisy)
	offer(c, now, noisy)
	_, d, _ := c.Offer(now, 0, noisy, now.Add(time.Second))
	is.Equal(d.Reason, ReasonDeadline) // the request would wait 2 s, so it is refused at once
	_, d, _ = offer(c, now, noisy)
	is.Equal(d.Verdict, Queued)
	_, d, _ = offer(c, now, noisy)
	is.Equal(d.RetryAfter, 4*time.Second) // the request would be second in the queue
	_, d, _ = c.Offer(now, 0.5, noisy, now.Add(time.Minute))
	is.Equal(d.RetryAfter, 5*time.Second) // with jitter
	_, d, _ = offer(c, now.Add(12*time.Second), noisy)
	is.Equal(d.RetryAfter, 12*time.Second) // the running requests have stalled for 12 s
}

func TestRampAndRate(t *testing.T) {
	is := is.New(t)
	c := New(start, limits(4, 9), Ramp{Duration: 4 * time.Second, Initial: 0.25})
	offer(c, start, noisy)
	_, d, _ := offer(c, start, noisy)
	is.Equal(d.Verdict, Queued) // one of four slots at the start
	next, ok := c.NextTick(start)
	is.True(ok)
	is.Equal(next, start.Add(time.Second))
	is.Equal(len(c.Tick(start.Add(2*time.Second), 0)), 1)
	is.Equal(c.usableSlots(start.Add(4*time.Second)), 4)

	rated := limits(2, 1)
	rated.RequestsPerSecond = 10
	c = New(start, rated, Ramp{})
	for range 2 {
		ticket, d, _ := offer(c, start, noisy)
		is.Equal(d.Verdict, Admitted)
		c.Release(start, 0, ticket)
	}
	_, d, _ = offer(c, start, noisy)
	is.Equal(d.Verdict, Queued)
	next, _ = c.NextTick(start)
	is.Equal(next, start.Add(100*time.Millisecond))
	_, d, _ = offer(c, start, noisy)
	is.Equal(d.Reason, ReasonRate)
	is.Equal(len(c.Tick(next, 0)), 1)
}

func TestOutlierDetector(t *testing.T) {
	is := is.New(t)
	var h OutlierDetector
	for range outlierFailures - 1 {
		h.Observe(start, true)
	}
	h.Observe(start, false)
	h.Observe(start, true)
	is.True(!h.IsOutlier(start)) // a success resets the count
	for range outlierFailures - 1 {
		h.Observe(start, true)
	}
	is.True(h.IsOutlier(start))
	is.Equal(h.EjectedUntil(), start.Add(firstEjection))
	tried := h.EjectedUntil()
	is.True(!h.IsOutlier(tried))
	h.Observe(tried, true)
	is.Equal(h.EjectedUntil(), tried.Add(2*firstEjection)) // a single failure is enough after an ejection
	h.Observe(h.EjectedUntil(), false)
	for range outlierFailures {
		h.Observe(start.Add(time.Hour), true)
	}
	is.Equal(h.EjectedUntil(), start.Add(time.Hour).Add(firstEjection))
}
