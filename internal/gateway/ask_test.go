package gateway

import (
	"net/http"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/service"
)

// held is a backend server whose requests run until they are released.
type held struct {
	started, release chan struct{}
}

func newHeld() held {
	return held{started: make(chan struct{}, 8), release: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (h held) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.started <- struct{}{}
	<-h.release
	_, _ = w.Write([]byte("done"))
}

// waitingAt waits until n requests wait for a slot of a.
func waitingAt(a *testAgent, n int) {
	for {
		a.slots.mu.Lock()
		waiting := a.slots.control.Waiting()
		a.slots.mu.Unlock()
		if waiting == n {
			return
		}
		runtime.Gosched()
	}
}

// A request that would wait runs at a peer with a free slot. When there is
// none, or when it may not be repeated, it waits where it is.
func TestWaitingRequestAsksPeerForAFreeSlot(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(s *service.Spec) { s.Limits.Slots, s.Limits.QueueLength = 1, 10 })
	here, there := newHeld(), newHeld()
	alwaysAsk := func(c *Config) { c.Rand = func() float64 { return 0 } }
	a, b := f.add(here, alwaysAsk), f.add(there, alwaysAsk)
	key := f.issue(a)
	replies := make(chan reply, 4)
	send := func(method, key string) {
		go func() { replies <- f.send(a, method, "/sheet", key, nil) }()
	}

	send("GET", "")
	<-here.started
	send("POST", key) // may not be repeated: it waits although b is idle
	waitingAt(a, 1)
	is.Equal(b.runs.Load(), int64(0))
	send("GET", "")
	<-there.started
	send("GET", "") // b is busy as well: it waits here, not there
	waitingAt(a, 2)
	b.slots.mu.Lock()
	is.Equal(b.slots.control.Waiting(), 0)
	b.slots.mu.Unlock()

	close(here.release)
	close(there.release)
	for range 4 {
		got := <-replies
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.outcome, OutcomeRun)
	}
	is.Equal(a.runs.Load(), int64(3))
	is.Equal(b.runs.Load(), int64(1))
	is.Equal(a.counters.asks.Get(), uint64(2))
	is.Equal(a.counters.asksRefused.Get(), uint64(1))
}

// issue returns a fresh idempotency key of a.
func (f *testFleet) issue(a *testAgent) string {
	return a.freshKey(f.spec.ID)
}
