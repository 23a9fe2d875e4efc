package gateway

import "sync"

// inFlightCounter counts the requests in flight. While draining it closes idle when the count
// reaches zero.
type inFlightCounter struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{}
	closed   bool
}

// enter counts a request. The returned function must be called when the request ends.
func (f *inFlightCounter) enter() func() {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return f.leave
}

func (f *inFlightCounter) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	f.closeIfIdle()
}

func (f *inFlightCounter) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.closeIfIdle()
}

func (f *inFlightCounter) closeIfIdle() {
	if f.draining && f.n == 0 && !f.closed {
		f.closed = true
		close(f.idle)
	}
}

func (f *inFlightCounter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
