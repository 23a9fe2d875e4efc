package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// Bounds of the traffic of repair.
const (
	// streamMemberSize is the size of a member in a pull, in bytes.
	streamMemberSize = 70
	// maxPullSize is the size of one pull that repair aims at, in bytes.
	maxPullSize = 20_000
	// repairShare is the share of the ceiling that pulls may take on average. The
	// first pull of a joining node is exempt.
	repairShare = 0.25
)

// repairSends is the number of times that a repaired record is passed on; it is
// low because repair reaches other nodes as well.
const repairSends = gossipFanout

// repair compares tables with random peers and pulls what differs.
type repair struct {
	b    *balancer
	next time.Time
	// pulling is the end of the wait for the running pull, or of the pause after
	// one that keeps repair within its share of the budget.
	pulling time.Time
	peer    netip.AddrPort
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

// choosePeer prefers the own data centre; links to others are slow and dear.
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
		Self:     n.record(),
		Revision: n.catalog.Revision(),
		Answer:   answer,
		Sums:     sums(r.b.table.Sums()),
	})
}

// handleDigest pulls what differs, and answers with its own digest so that the
// other side can do the same.
func (r *repair) handleDigest(now time.Time, from netip.AddrPort, m *Digest) {
	self := member.Member(m.Self)
	if self.Addr != from {
		r.b.n.counters.BadMessages++
		return
	}
	if contest := r.b.contest(self); contest != nil {
		r.b.n.send(now, ClassMember, from, &Gossip{Self: r.b.n.record(), Revision: r.b.n.catalog.Revision(), Updates: contest})
	}
	r.b.learnSender(now, self, m.Revision)
	buckets := r.b.table.Mismatched(m.Sums)
	behind := m.Revision < r.b.n.catalog.Revision()
	if !m.Answer && (len(buckets) > 0 || behind) {
		r.sendDigest(now, from, true)
	}
	if len(buckets) > 0 {
		r.pull(now, from, self.Stream, r.chooseBuckets(buckets))
	}
}

// chooseBuckets returns as many of the buckets as one pull may carry, from a
// random place on, so that the nodes of a data centre repair different parts
// and tell each other.
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

// pull asks for buckets of a peer's table, unless it must wait.
func (r *repair) pull(now time.Time, peer, stream netip.AddrPort, buckets []uint8) {
	if now.Before(r.pulling) || !stream.IsValid() {
		return
	}
	r.pulling = now.Add(r.b.n.cfg.Timing.PullTimeout)
	r.peer = peer
	r.b.n.out = append(r.b.n.out, MemberPull{Peer: peer, Stream: stream, Buckets: buckets})
}

// HandleMembers takes the result of a MemberPull.
func (n *Node) HandleMembers(now time.Time, peer netip.AddrPort, members []member.Member, err error) []Output {
	if n.balancer == nil {
		return nil
	}
	n.balancer.repair.merge(now, peer, members, err)
	return n.take()
}

func (r *repair) merge(now time.Time, peer netip.AddrPort, members []member.Member, err error) {
	if peer == r.peer {
		r.pulling = time.Time{}
	}
	if err != nil {
		r.b.n.counters.FailedPulls++
		return
	}
	if r.b.joined {
		rate := repairShare * float64(r.b.n.cfg.BytesPerSecond)
		seconds := float64(len(members)*streamMemberSize) / rate
		r.pulling = now.Add(time.Duration(seconds * float64(time.Second)))
	}
	for _, m := range members {
		if checkMember(m) != nil {
			r.b.n.counters.BadMessages++
			continue
		}
		if !r.b.joined {
			r.b.table.AddDead(now, m)
		}
		r.b.learnQuietly(now, m)
	}
	r.b.joined = true
}

// learnQuietly merges a repaired record and passes it on only a few times.
func (b *balancer) learnQuietly(now time.Time, m member.Member) {
	if !b.learn(now, m) {
		return
	}
	if rumor := b.gossip.rumors[m.Addr]; rumor != nil {
		rumor.left = min(rumor.left, repairSends)
	}
	if !b.joined {
		b.gossip.forget(m.Addr)
	}
}
