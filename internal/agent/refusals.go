package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// refusalLifetime is how long a recorded caller's connections are refused.
	refusalLifetime = 2 * time.Second
	// maxRefusals is the maximum number of recorded callers.
	maxRefusals = 8192
)

// refusedCallers records callers whose opening flow must be refused at once. The QUIC
// endpoint looks them up by address when a connection begins.
type refusedCallers struct {
	mu      sync.Mutex
	callers map[netip.AddrPort]time.Time
}

func newRefusedCallers() *refusedCallers {
	return &refusedCallers{callers: make(map[netip.AddrPort]time.Time)}
}

// add records that connections of caller must be refused.
func (r *refusedCallers) add(caller netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.callers) >= maxRefusals {
		r.expire(now)
	}
	if len(r.callers) < maxRefusals {
		r.callers[caller] = now
	}
}

// contains reports whether a connection of caller must be refused.
func (r *refusedCallers) contains(caller netip.AddrPort, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	added, ok := r.callers[caller]
	return ok && now.Sub(added) < refusalLifetime
}

func (r *refusedCallers) expire(now time.Time) {
	for caller, added := range r.callers {
		if now.Sub(added) >= refusalLifetime {
			delete(r.callers, caller)
		}
	}
}
