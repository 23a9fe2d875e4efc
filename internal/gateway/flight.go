package gateway

import "sync"

// flight counts the requests under way.
type flight struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{}
	closed   bool
}

// enter counts a request and returns the function that ends it.
func (f *flight) enter() func() {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return f.leave
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	f.closeIfIdle()
}

func (f *flight) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.closeIfIdle()
}

func (f *flight) closeIfIdle() {
	if f.draining && f.n == 0 && !f.closed {
		f.closed = true
		close(f.idle)
	}
}

func (f *flight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
