// Package replypath chooses the balancer through which an agent replies to a
// caller. A caller keeps its balancer while that balancer is alive, so that its
// packets stay in order.
//
// Heartbeats detect a dead balancer only after more than a second. Missing packets
// show it sooner: the fabric distributes packets over all balancers, so a balancer
// that delivers none while the others deliver many is most likely dead.
package replypath

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

const (
	// minOtherPackets is the number of packets that other balancers must have delivered
	// since a balancer's last packet before that balancer counts as silent.
	minOtherPackets = 32
	// minSilence is the time that must have passed since a balancer's last packet before
	// that balancer counts as silent.
	minSilence = 100 * time.Millisecond
	// maxBalancers bounds the number of tracked balancers.
	maxBalancers = 8192
)

// Chooser chooses balancers. It is safe for concurrent use. Its only lock is held
// just to read or update the stall count of a caller.
type Chooser struct {
	stalls stalls
	// received counts the packets of all balancers.
	received atomic.Uint64
	// lastPackets holds the last packet of each tracked balancer.
	lastPackets sync.Map // maps netip.AddrPort to *lastPacket
	tracked     atomic.Int64
}

// lastPacket records when a balancer delivered its last packet.
type lastPacket struct {
	// unixNano is the time of arrival, total the value of Chooser.received then.
	unixNano atomic.Int64
	total    atomic.Uint64
}

// NewChooser returns a chooser that tracks no balancer yet.
func NewChooser() *Chooser {
	return &Chooser{}
}

// RecordPacket records that a balancer delivered a packet.
func (c *Chooser) RecordPacket(balancer netip.AddrPort, now time.Time) {
	count := c.received.Add(1)
	stored, ok := c.lastPackets.Load(balancer)
	if !ok {
		if c.tracked.Load() >= maxBalancers {
			return
		}
		var loaded bool
		stored, loaded = c.lastPackets.LoadOrStore(balancer, &lastPacket{})
		if !loaded {
			c.tracked.Add(1)
		}
	}
	if last, ok := stored.(*lastPacket); ok {
		last.unixNano.Store(now.UnixNano())
		last.total.Store(count)
	}
}

// RecordStall records that acknowledgements of a caller are missing. Later calls of
// Choose rank the balancers differently for this caller.
func (c *Chooser) RecordStall(caller netip.AddrPort) {
	c.stalls.add(caller)
}

// Choose returns the balancer for replies to a caller: the best ranked of targets
// that is not silent, or the best ranked one if all are silent. It returns false if
// there are no targets.
func (c *Chooser) Choose(caller netip.AddrPort, targets []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	if len(targets) == 0 {
		return netip.AddrPort{}, false
	}
	flow := rendezvous.HashAddr(caller) + rendezvous.Hash(c.stalls.hashOffset(caller))
	var best netip.AddrPort
	var bestScore uint64
	bestSilent := true
	for _, target := range targets {
		silent := c.isSilent(target, now)
		score := rendezvous.Score(flow, rendezvous.HashAddr(target))
		better := !best.IsValid() || silent == bestSilent && score > bestScore || bestSilent && !silent
		if better {
			best, bestScore, bestSilent = target, score, silent
		}
	}
	return best, true
}

// isSilent reports whether a balancer has stopped delivering packets while others
// continue. A balancer that never delivered any is not silent.
func (c *Chooser) isSilent(balancer netip.AddrPort, now time.Time) bool {
	stored, ok := c.lastPackets.Load(balancer)
	if !ok {
		return false
	}
	last, ok := stored.(*lastPacket)
	if !ok {
		return false
	}
	if c.received.Load()-last.total.Load() < minOtherPackets {
		return false
	}
	return now.Sub(time.Unix(0, last.unixNano.Load())) >= minSilence
}
