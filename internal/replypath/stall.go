package replypath

import (
	"net/netip"
	"sync"
)

const (
	// maxStalled bounds the callers whose stalls are remembered.
	maxStalled = 65_536
	// shiftStep changes the hash of a caller, so that another balancer ranks first.
	shiftStep = 0x9e3779b97f4a7c15
)

// stalls counts how often each caller's path has stalled. A balancer can be
// alive for the control plane and still not reach the fabric; only missing
// acknowledgements show it. It is safe for concurrent use.
type stalls struct {
	mu     sync.RWMutex
	counts map[netip.AddrPort]uint64
}

func (s *stalls) add(caller netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil || len(s.counts) >= maxStalled {
		// Forgetting only moves callers back to their first choice.
		s.counts = make(map[netip.AddrPort]uint64)
	}
	s.counts[caller]++
}

// shift returns what the caller's stalls add to its hash.
func (s *stalls) shift(caller netip.AddrPort) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts[caller] * shiftStep
}
