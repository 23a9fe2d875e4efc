// Package rendezvous orders members for a subject so that all processes that know
// the same members agree, and so that a member that comes or goes moves only its own
// subjects (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998).
package rendezvous

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Hash is a subject or a member, hashed to 64 uniform bits. Hashes of members may be
// kept, so that ranking many of them costs a few multiplications each.
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

// Score returns the score of a member for a subject, 64 uniform bits. The member with
// the highest score comes first.
func Score(subject, member Hash) uint64 {
	h := uint64(subject) ^ bits.RotateLeft64(uint64(member), 32)
	h = (h ^ h>>33) * finalizer1
	h = (h ^ h>>33) * finalizer2
	return h ^ h>>33
}

// mantissaBits is the number of random bits in a float64 from 0 to 1.
const mantissaBits = 53

// WeightedScore returns the score of a member that gets subjects in proportion to its
// weight; a weight of zero gets none (Schindelhauer and Schomaker, "WeightedScore
// Distributed Hash Tables", 2005).
func WeightedScore(subject, member Hash, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	unit := (float64(Score(subject, member)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(unit)
}
