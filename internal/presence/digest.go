package presence

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/rendezvous"
)

// Buckets is the number of buckets into which a table is divided for repair.
const Buckets = 256

// BucketOf returns the bucket of the member at addr.
func BucketOf(addr netip.AddrPort) uint8 {
	return uint8(rendezvous.HashAddr(addr))
}

// Sums returns one checksum for each bucket. Dead members are left out, because
// nodes forget them at different times.
func (t *Table) Sums() [Buckets]uint32 { return t.sums }

// Digest returns one checksum for the whole table.
func (t *Table) Digest() uint64 {
	h := xxhash.New()
	var buf [4]byte
	for _, sum := range t.sums {
		binary.LittleEndian.PutUint32(buf[:], sum)
		_, _ = h.Write(buf[:])
	}
	return h.Sum64()
}

// toggleSum XORs r into the checksum of its bucket. This adds r, or removes r if it was added
// before.
func (t *Table) toggleSum(r *Record) {
	if r.State == member.Dead {
		return
	}
	var key [17]byte
	binary.LittleEndian.PutUint64(key[:], uint64(r.hash))
	binary.LittleEndian.PutUint64(key[8:], r.Incarnation)
	key[16] = byte(r.State)
	t.sums[uint8(r.hash)] ^= uint32(xxhash.Sum64(key[:]))
}

// Bucket returns the members of the given buckets, including dead ones, sorted
// by address. Without arguments it returns the members of all buckets.
func (t *Table) Bucket(buckets ...uint8) []member.Member {
	var wanted [Buckets]bool
	for _, b := range buckets {
		wanted[b] = true
	}
	var members []member.Member
	for addr, r := range t.records {
		if len(buckets) == 0 || wanted[BucketOf(addr)] {
			members = append(members, r.Member)
		}
	}
	slices.SortFunc(members, func(a, b member.Member) int { return a.Addr.Compare(b.Addr) })
	return members
}

// Mismatched returns the buckets whose checksums differ from sums.
func (t *Table) Mismatched(sums [Buckets]uint32) []uint8 {
	var differ []uint8
	for i := range sums {
		if sums[i] != t.sums[i] {
			differ = append(differ, uint8(i))
		}
	}
	return differ
}
