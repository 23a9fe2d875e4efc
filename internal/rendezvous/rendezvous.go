// Package rendezvous implements rendezvous hashing: it orders members for a key so
// that all processes that know the same members agree, and so that adding or removing
// a member moves only that member's keys (Thaler and Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", 1998).
package rendezvous

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash of a key or a member, 64 uniform bits. Callers may keep the hashes
// of members, so that ranking many of them costs a few multiplications each.
type Hash uint64

// HashAddr returns the hash of an address.
func HashAddr(addr netip.AddrPort) Hash {
	var key [18]byte
	ip := addr.Addr().As16()
	copy(key[:], ip[:])
	binary.LittleEndian.PutUint16(key[16:], addr.Port())
	return Hash(xxhash.Sum64(key[:]))
}

// HashName returns the hash of a name.
func HashName(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Multipliers of the 64-bit finalizer of MurmurHash3 (Appleby, 2011).
const (
	finalizer1 = 0xff51afd7ed558ccd
	finalizer2 = 0xc4ceb9fe1a85ec53
)

// Score returns the score of a member for a key, 64 uniform bits. The member with the
// highest score comes first.
func Score(key, member Hash) uint64 {
	h := uint64(key) ^ bits.RotateLeft64(uint64(member), 32)
	h = (h ^ h>>33) * finalizer1
	h = (h ^ h>>33) * finalizer2
	return h ^ h>>33
}

// mantissaBits is the number of random bits in a float64 from 0 to 1.
const mantissaBits = 53

// WeightedScore returns the score of a member that gets keys in proportion to its
// weight; a member of weight zero gets none (Schindelhauer and Schomaker, "Weighted
// Distributed Hash Tables", 2005).
func WeightedScore(key, member Hash, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	unit := (float64(Score(key, member)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(unit)
}
