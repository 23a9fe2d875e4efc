package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// Limits of repair traffic.
const (
	// streamMemberSize is the assumed size of a member in a pull, in bytes.
	streamMemberSize = 70
	// maxPullSize is the target size of one pull, in bytes.
	maxPullSize = 20_000
	// repairShare is the share of BytesPerSecond that pulls may use on average. The
	// first pull of a joining node is exempt.
	repairShare = 0.25
)

// repairSends is the number of times that a repaired record is gossiped. It is
// low because repair brings the record to other nodes as well.
const repairSends = gossipFanout

// repair compares the member table with those of random peers and pulls the buckets that differ.
type repair struct {
	b    *balancer
	next time.Time
	// nextPull is the earliest time of the next pull: the time at which the running
	// pull times out, or the end of a pause that keeps pulls within repairShare.
	nextPull time.Time
	peer     netip.AddrPort
}

func newRepair(now time.Time, b *balancer) *repair {
	return &repair{b: b, next: now.Add(b.n.jitter(b.n.cfg.Timing.RepairPeriod))}
}

func (r *repair) tick(now time.Time) {
	if now.Before(r.next) || !r.b.joined {
		return
	}
	period := r.b.n.cfg.Timing.RepairPeriod
	r.next = now.Add(period/2 + r.b.n.jitter(period))
	if peer := r.choosePeer(); peer != nil {
		r.sendDigest(now, peer.Addr, false)
	}
}

// choosePeer returns a random balancer to compare with, mostly of this data
// centre, since links to others are slow and expensive.
func (r *repair) choosePeer() *presence.Record {
	if r.b.n.cfg.Rand.Float64() < remoteRepairShare {
		if peer := r.b.randomRemote(); peer != nil {
			return peer
		}
	}
	peer := r.b.randomBalancer(r.b.n.self.DataCentre)
	if peer == nil {
		peer = r.b.randomRemote()
	}
	return peer
}

func (r *repair) sendDigest(now time.Time, to netip.AddrPort, answer bool) {
	n := r.b.n
	n.send(now, ClassMember, to, &Digest{
		Self:     n.selfRecord(),
		Revision: n.catalog.Revision(),
		Answer:   answer,
		Sums:     sums(r.b.table.Sums()),
	})
}

// handleDigest pulls buckets that differ, and answers with its own digest so that
// the other side can do the same.
func (r *repair) handleDigest(now time.Time, from netip.AddrPort, m *Digest) {
	self := member.Member(m.Self)
	if self.Addr != from {
		r.b.n.counters.BadMessages++
		return
	}
	if overriding := r.b.overriding(self); overriding != nil {
		r.b.n.send(now, ClassMember, from, &Gossip{Self: r.b.n.selfRecord(), Revision: r.b.n.catalog.Revision(), Updates: overriding})
	}
	r.b.mergeSender(now, self, m.Revision)
	buckets := r.b.table.Mismatched(m.Sums)
	behind := m.Revision < r.b.n.catalog.Revision()
	if !m.Answer && (len(buckets) > 0 || behind) {
		r.sendDigest(now, from, true)
	}
	if len(buckets) > 0 {
		r.pull(now, from, self.Stream, r.chooseBuckets(buckets))
	}
}

// chooseBuckets returns as many of the buckets as one pull may carry. It starts at
// a random bucket, so that the nodes of a data centre repair different buckets and
// gossip the result to each other.
func (r *repair) chooseBuckets(buckets []uint8) []uint8 {
	bucketSize := max(1, r.b.table.Len()*streamMemberSize/presence.Buckets)
	n := min(len(buckets), max(1, maxPullSize/bucketSize))
	start := r.b.n.cfg.Rand.IntN(len(buckets))
	chosen := make([]uint8, 0, n)
	for i := range n {
		chosen = append(chosen, buckets[(start+i)%len(buckets)])
	}
	return chosen
}

// pull requests buckets of a peer's table, unless nextPull is in the future.
func (r *repair) pull(now time.Time, peer, stream netip.AddrPort, buckets []uint8) {
	if now.Before(r.nextPull) || !stream.IsValid() {
		return
	}
	r.nextPull = now.Add(r.b.n.cfg.Timing.PullTimeout)
	r.peer = peer
	r.b.n.out = append(r.b.n.out, MemberPull{Peer: peer, Stream: stream, Buckets: buckets})
}

// HandleMembers processes the result of a MemberPull.
func (n *Node) HandleMembers(now time.Time, peer netip.AddrPort, members []member.Member, err error) []Output {
	if n.balancer == nil {
		return nil
	}
	n.balancer.repair.merge(now, peer, members, err)
	return n.takeOutputs()
}

func (r *repair) merge(now time.Time, peer netip.AddrPort, members []member.Member, err error) {
	if peer == r.peer {
		r.nextPull = time.Time{}
	}
	if err != nil {
		r.b.n.counters.FailedPulls++
		return
	}
	if r.b.joined {
		rate := repairShare * float64(r.b.n.cfg.BytesPerSecond)
		seconds := float64(len(members)*streamMemberSize) / rate
		r.nextPull = now.Add(time.Duration(seconds * float64(time.Second)))
	}
	for _, m := range members {
		if checkMember(m) != nil {
			r.b.n.counters.BadMessages++
			continue
		}
		if !r.b.joined {
			r.b.table.AddDead(now, m)
		}
		r.b.mergeRepaired(now, m)
	}
	r.b.joined = true
}

// mergeRepaired merges a record obtained by repair and gossips it at most
// repairSends times, or not at all while this node is joining.
func (b *balancer) mergeRepaired(now time.Time, m member.Member) {
	if !b.mergeUpdate(now, m) {
		return
	}
	if rumor := b.gossip.rumors[m.Addr]; rumor != nil {
		rumor.left = min(rumor.left, repairSends)
	}
	if !b.joined {
		b.gossip.forget(m.Addr)
	}
}
