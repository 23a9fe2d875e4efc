package presence

import (
	"net/netip"
	"slices"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

// Rank returns the addresses of the n candidates that rank highest for a key by
// rendezvous hashing, highest first. It skips candidates that take no new flows.
// All nodes that know the same candidates get the same result.
func Rank(key rendezvous.Hash, candidates []*Record, n int) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		s := scored{r.Addr, rendezvous.Score(key, r.hash)}
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

// InRank reports whether the result of Rank contains self. It stops at the nth
// candidate that ranks higher, usually long before the end of the list.
func InRank(key rendezvous.Hash, candidates []*Record, n int, self netip.AddrPort) bool {
	own := rendezvous.Score(key, rendezvous.HashAddr(self))
	better, present := 0, false
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		if r.Addr == self {
			present = true
			continue
		}
		s := rendezvous.Score(key, r.hash)
		if s > own || (s == own && r.Addr.Compare(self) < 0) {
			better++
		}
		if better == n {
			return false
		}
	}
	return present
}
