package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// refusalLifetime is how long a refusal waits for its connection attempt.
	refusalLifetime = 2 * time.Second
	// maxRefusals bounds the remembered refusals.
	maxRefusals = 8192
)

// refusals remembers callers whose opening flow must be refused at once. The
// QUIC endpoint asks for them by caller address when a connection begins.
type refusals struct {
	mu      sync.Mutex
	callers map[netip.AddrPort]time.Time
}

func newRefusals() *refusals {
	return &refusals{callers: make(map[netip.AddrPort]time.Time)}
}

// add notes that the next connection of caller is refused.
func (r *refusals) add(caller netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.callers) >= maxRefusals {
		r.expire(now)
	}
	if len(r.callers) < maxRefusals {
		r.callers[caller] = now
	}
}

// take reports whether the connection of caller is refused.
func (r *refusals) take(caller netip.AddrPort, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added, ok := r.callers[caller]
	return ok && now.Sub(added) < refusalLifetime
}

func (r *refusals) expire(now time.Time) {
	for caller, added := range r.callers {
		if now.Sub(added) >= refusalLifetime {
			delete(r.callers, caller)
		}
	}
}
