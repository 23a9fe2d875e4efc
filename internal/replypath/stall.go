package replypath

import (
	"net/netip"
	"sync"
)

const (
	// maxStalled bounds the number of callers whose stalls are counted.
	maxStalled = 65_536
	// hashStep is added to the hash of a caller for each stall, so that its balancers
	// are ranked differently.
	hashStep = 0x9e3779b97f4a7c15
)

// stalls counts the stalls of each caller's reply path. A balancer can be alive for the
// control plane and still be unable to reach the fabric; only missing acknowledgements
// reveal this fault. stalls is safe for concurrent use.
type stalls struct {
	mu     sync.RWMutex
	counts map[netip.AddrPort]uint64
}

func (s *stalls) add(caller netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil || len(s.counts) >= maxStalled {
		// Callers without a count only return to their first choice of balancer.
		s.counts = make(map[netip.AddrPort]uint64)
	}
	s.counts[caller]++
}

// hashOffset returns the number to add to the caller's hash for its stalls.
func (s *stalls) hashOffset(caller netip.AddrPort) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts[caller] * hashStep
}
