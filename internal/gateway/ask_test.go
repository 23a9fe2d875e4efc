package gateway

import (
	"net/http"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/service"
)

// blockingBackend is a backend server whose requests run until release is closed.
type blockingBackend struct {
	started, release chan struct{}
}

func newBlockingBackend() blockingBackend {
	return blockingBackend{started: make(chan struct{}, 8), release: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (h blockingBackend) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.started <- struct{}{}
	<-h.release
	_, _ = w.Write([]byte("done"))
}

// awaitQueueLength waits until n requests are queued at a.
func awaitQueueLength(a *testAgent, n int) {
	for {
		a.slots.mu.Lock()
		waiting := a.slots.controller.Waiting()
		a.slots.mu.Unlock()
		if waiting == n {
			return
		}
		runtime.Gosched()
	}
}

// TestSlotQuery checks that a request that would wait runs at a peer with a free slot. It waits in
// the local queue if the peer has no free slot, or if it is not repeatable.
func TestSlotQuery(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(s *service.Spec) { s.Limits.Slots, s.Limits.QueueLength = 1, 10 })
	local, remote := newBlockingBackend(), newBlockingBackend()
	alwaysQuery := func(c *Config) { c.Rand = func() float64 { return 0 } }
	a, b := f.add(local, alwaysQuery), f.add(remote, alwaysQuery)
	key := f.issue(a)
	replies := make(chan reply, 4)
	send := func(method, key string) {
		go func() { replies <- f.send(a, method, "/sheet", key, nil) }()
	}

	send("GET", "")
	<-local.started
	send("POST", key) // not repeatable: waits although b is idle
	awaitQueueLength(a, 1)
	is.Equal(b.runs.Load(), int64(0))
	send("GET", "")
	<-remote.started
	send("GET", "") // b is busy as well: the request waits at a
	awaitQueueLength(a, 2)
	b.slots.mu.Lock()
	is.Equal(b.slots.controller.Waiting(), 0)
	b.slots.mu.Unlock()

	close(local.release)
	close(remote.release)
	for range 4 {
		got := <-replies
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.outcome, OutcomeRun)
	}
	is.Equal(a.runs.Load(), int64(3))
	is.Equal(b.runs.Load(), int64(1))
	is.Equal(a.counters.slotQueries.Get(), uint64(2))
	is.Equal(a.counters.slotQueriesRefused.Get(), uint64(1))
}

// issue returns a fresh idempotency key of a.
func (f *testFleet) issue(a *testAgent) string {
	return a.freshKey(f.spec.ID)
}
