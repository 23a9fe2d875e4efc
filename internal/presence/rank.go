package presence

import (
	"net/netip"
	"slices"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

// Rank orders the candidates that take new flows for a subject by rendezvous
// hashing, highest first, and returns at most n of them. Every node that knows
// the same candidates agrees.
func Rank(subject rendezvous.Hash, candidates []*Record, n int) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		s := scored{r.Addr, rendezvous.Score(subject, r.hash)}
		at := len(best)
		for at > 0 && (best[at-1].score < s.score || (best[at-1].score == s.score && best[at-1].addr.Compare(s.addr) > 0)) {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, s)
			best = best[:min(n, len(best))]
		}
	}
	addrs := make([]netip.AddrPort, len(best))
	for i := range best {
		addrs[i] = best[i].addr
	}
	return addrs
}

// InRank reports whether Rank would return self. It stops as soon as n better
// candidates are found, which mostly is after a few.
func InRank(subject rendezvous.Hash, candidates []*Record, n int, self netip.AddrPort) bool {
	own := rendezvous.Score(subject, rendezvous.HashAddr(self))
	better, present := 0, false
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		if r.Addr == self {
			present = true
			continue
		}
		s := rendezvous.Score(subject, r.hash)
		if s > own || (s == own && r.Addr.Compare(self) < 0) {
			better++
		}
		if better == n {
			return false
		}
	}
	return present
}
