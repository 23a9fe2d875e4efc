package presence

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/member"
)

// Buckets is the number of parts into which a table is cut for repair.
const Buckets = 256

// BucketOf returns the bucket that addr belongs to.
func BucketOf(addr netip.AddrPort) uint8 {
	return uint8(xxhash.Sum64(addrBytes(addr)))
}

// Sums returns one checksum for each bucket. Dead members do not count, because
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

// toggleSum adds r to its bucket's checksum, or takes it out again.
func (t *Table) toggleSum(r *Record) {
	if r.State == member.Dead {
		return
	}
	key := addrBytes(r.Addr)
	bucket := uint8(xxhash.Sum64(key))
	key = binary.LittleEndian.AppendUint64(key, r.Incarnation)
	key = append(key, byte(r.State))
	t.sums[bucket] ^= uint32(xxhash.Sum64(key))
}

// Bucket returns the members of the given buckets, dead ones included, sorted
// by address. No bucket at all means every bucket.
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

// Rank orders candidates for subject by rendezvous hashing, highest first, and
// returns at most n of them. Every node that knows the same candidates agrees.
func Rank(subject []byte, candidates []*Record, n int) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	best := make([]scored, 0, n+1)
	buf := make([]byte, 0, 64)
	for _, r := range candidates {
		if !r.State.TakesNewFlows() {
			continue
		}
		buf = append(buf[:0], subject...)
		buf = appendAddr(buf, r.Addr)
		s := scored{r.Addr, xxhash.Sum64(buf)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score != b.score {
				if a.score > b.score {
					return -1
				}
				return 1
			}
			return a.addr.Compare(b.addr)
		})
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(n, len(best))]
	}
	addrs := make([]netip.AddrPort, len(best))
	for i := range best {
		addrs[i] = best[i].addr
	}
	return addrs
}

// AddrKey returns the bytes under which addr is hashed.
func AddrKey(addr netip.AddrPort) []byte { return addrBytes(addr) }

func addrBytes(addr netip.AddrPort) []byte {
	return appendAddr(make([]byte, 0, 32), addr)
}

func appendAddr(buf []byte, addr netip.AddrPort) []byte {
	ip := addr.Addr().As16()
	buf = append(buf, ip[:]...)
	return binary.LittleEndian.AppendUint16(buf, addr.Port())
}
