package presence

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HashAddr returns the hash under which an address takes part in rendezvous
// hashing and in digests.
func HashAddr(addr netip.AddrPort) uint64 {
	var key [18]byte
	ip := addr.Addr().As16()
	copy(key[:], ip[:])
	binary.LittleEndian.PutUint16(key[16:], addr.Port())
	return xxhash.Sum64(key[:])
}

// HashName returns the hash of a name as a subject of rendezvous hashing.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// score is the rendezvous score of a candidate for a subject, both given as hashes.
func score(subject, candidate uint64) uint64 {
	h := subject ^ bits.RotateLeft64(candidate, 32)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Rank orders the candidates that take new flows for a subject by rendezvous
// hashing, highest first, and returns at most n of them. Every node that knows
// the same candidates agrees.
func Rank(subject uint64, candidates []*Record, n int) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		s := scored{r.Addr, score(subject, r.hash)}
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
func InRank(subject uint64, candidates []*Record, n int, self netip.AddrPort) bool {
	own := score(subject, HashAddr(self))
	better, present := 0, false
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		if r.Addr == self {
			present = true
			continue
		}
		s := score(subject, r.hash)
		if s > own || (s == own && r.Addr.Compare(self) < 0) {
			better++
		}
		if better == n {
			return false
		}
	}
	return present
}
