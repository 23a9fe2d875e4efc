// Package replypath chooses the balancer through which an agent answers a
// caller. A caller keeps its balancer while that one is alive, so that its
// packets stay in order. Heartbeats tell of a death after more than a second;
// silence amid traffic tells sooner: the fabric sprays packets over all
// balancers, so one that delivers nothing while the others deliver many is
// most likely dead.
package replypath

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

const (
	// silentPackets is the number of packets that others must have delivered
	// since a balancer's last one before its silence means anything.
	silentPackets = 32
	// silentTime is the least silence that means anything.
	silentTime = 100 * time.Millisecond
	// maxHeard bounds the balancers that are watched.
	maxHeard = 8192
)

// Chooser chooses balancers. It is safe for concurrent use; its only lock is
// held for one look at a caller.
type Chooser struct {
	stalls stalls
	// received counts the packets of all balancers.
	received atomic.Uint64
	heard    sync.Map // of netip.AddrPort to *clock
	size     atomic.Int64
}

// clock is when a balancer was last heard.
type clock struct {
	// nanos is the time, packets the count of all packets then.
	nanos   atomic.Int64
	packets atomic.Uint64
}

// NewChooser returns a chooser that has heard nobody.
func NewChooser() *Chooser {
	return &Chooser{}
}

// RecordPacket notes that a balancer delivered a packet.
func (c *Chooser) RecordPacket(balancer netip.AddrPort, now time.Time) {
	count := c.received.Add(1)
	stored, ok := c.heard.Load(balancer)
	if !ok {
		if c.size.Load() >= maxHeard {
			return
		}
		var loaded bool
		stored, loaded = c.heard.LoadOrStore(balancer, &clock{})
		if !loaded {
			c.size.Add(1)
		}
	}
	if last, ok := stored.(*clock); ok {
		last.nanos.Store(now.UnixNano())
		last.packets.Store(count)
	}
}

// RecordStall notes that acknowledgements of a caller are missing; from now on it
// has another first choice.
func (c *Chooser) RecordStall(caller netip.AddrPort) {
	c.stalls.add(caller)
}

// Choose returns the balancer for the answers to a caller: the best ranked of
// targets that is not silent, or the best ranked if all are.
func (c *Chooser) Choose(caller netip.AddrPort, targets []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	if len(targets) == 0 {
		return netip.AddrPort{}, false
	}
	flow := rendezvous.HashAddr(caller) + rendezvous.Hash(c.stalls.shift(caller))
	var best netip.AddrPort
	var bestScore uint64
	bestSilent := true
	for _, target := range targets {
		silent := c.silent(target, now)
		score := rendezvous.Score(flow, rendezvous.HashAddr(target))
		better := !best.IsValid() || silent == bestSilent && score > bestScore || bestSilent && !silent
		if better {
			best, bestScore, bestSilent = target, score, silent
		}
	}
	return best, true
}

// silent reports whether a balancer that delivered packets has stopped while
// others go on. One that never delivered any is not silent.
func (c *Chooser) silent(balancer netip.AddrPort, now time.Time) bool {
	stored, ok := c.heard.Load(balancer)
	if !ok {
		return false
	}
	last, ok := stored.(*clock)
	if !ok {
		return false
	}
	if c.received.Load()-last.packets.Load() < silentPackets {
		return false
	}
	return now.Sub(time.Unix(0, last.nanos.Load())) >= silentTime
}
