// Package statesync keeps the desired state of a process up to date. The platform's store is authoritative.
// Some processes read the store. All others receive from them the time at which the state was last confirmed
// as the newest, and fetch newer states from them. A process never returns to a lower version.
package statesync

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/almondledge/almondledge/internal/route"
)

// Time constants for reading the store.
const (
	// A balancer reads the store itself when the newest known confirmation of its state reaches
	// this age: firstReadAge and secondReadAge for the first two in the order of balancers,
	// balancerReadAge for all others. Agents leave the reads to the balancers; agentReadAge applies
	// when no confirmation reaches them.
	firstReadAge    = 700 * time.Millisecond
	secondReadAge   = 1500 * time.Millisecond
	balancerReadAge = 1800 * time.Millisecond
	agentReadAge    = 2200 * time.Millisecond
	// readAgePerDoubling is added for each doubling of the members beyond smallFleet, because a
	// confirmation takes that much longer to spread.
	readAgePerDoubling = 250 * time.Millisecond
	smallFleet         = 64
	// readAgeJitter randomises the reads of different processes.
	readAgeJitter = 300 * time.Millisecond
	// firstAgentDelay gives agents that have just started time to receive a state from peers.
	firstAgentDelay = 150 * time.Millisecond
	// peerSilence is the time without any message from another process after which an agent without
	// a state reads the store itself.
	peerSilence = 500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed read.
	retryMin = 60 * time.Millisecond
	retryMax = 600 * time.Millisecond
)

// Follower decides when to read the store and which state is active. It is not safe for concurrent
// use.
type Follower struct {
	// readAge is the minimum age of the last confirmation at which this process reads the store.
	readAge time.Duration
	rand    *rand.Rand
	table   *route.Table
	// confirmed is when this process, or any process that reported to it, last knew that the active state was
	// the newest.
	confirmed time.Time
	nextRead  time.Time
	// lastPeerMessage is when the last message of another process arrived. lastRead is when the last read of
	// the store began, or when this process started if there was no read.
	lastPeerMessage, lastRead time.Time
	agent                     bool
	failures                  int
	reading                   bool
	jitter                    time.Duration
}

// AgentRank is the rank of all agents.
const AgentRank = -1

// NewFollower returns a follower without a state that starts at time now. The rank is the position
// in the order of balancers, from zero, or AgentRank.
func NewFollower(now time.Time, rank int, random *rand.Rand) *Follower {
	f := &Follower{rand: random, nextRead: now, lastRead: now, agent: rank == AgentRank, confirmed: now.Add(-time.Hour)}
	f.SetRank(rank, 0)
	if rank == AgentRank {
		f.nextRead = now.Add(firstAgentDelay)
	}
	return f
}

// SetRank sets the position in the order of balancers and the number of all members.
func (f *Follower) SetRank(rank, members int) {
	switch rank {
	case 0:
		f.readAge = firstReadAge
		return
	case 1:
		f.readAge = secondReadAge
		return
	case AgentRank:
		f.readAge = agentReadAge
	default:
		f.readAge = balancerReadAge
	}
	if members > smallFleet {
		f.readAge += time.Duration(float64(readAgePerDoubling) * math.Log2(float64(members)/smallFleet))
	}
}

// Table returns the active state, or nil.
func (f *Follower) Table() *route.Table { return f.table }

// Age returns how long ago the active state was last known to be the newest.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.confirmed) }

// ShouldRead reports whether the store should be read now. If so, the caller must then call
// ReadSucceeded, ReadUnchanged or ReadFailed.
func (f *Follower) ShouldRead(now time.Time) bool {
	if f.reading || now.Before(f.nextRead) {
		return false
	}
	if f.table != nil && f.Age(now) < f.readAge+f.jitter {
		return false
	}
	if f.table == nil && f.waitsForPeers(now) {
		return false
	}
	f.reading = true
	f.lastRead = now
	return true
}

// waitsForPeers reports whether an agent without a state still waits for a state from its peers instead of
// reading the store.
func (f *Follower) waitsForPeers(now time.Time) bool {
	return f.agent && now.Sub(f.lastPeerMessage) < peerSilence && now.Sub(f.lastRead) < agentReadAge
}

// ReadSucceeded handles the state returned by a read that started at time begun, and reports whether the
// state became active.
func (f *Follower) ReadSucceeded(begun time.Time, s route.State) bool {
	f.reading = false
	f.failures = 0
	f.jitter = time.Duration(f.rand.Int64N(int64(readAgeJitter)))
	// An older state was read if a newer one was received during the read, or if the store was restored from
	// an earlier copy. The active state stays, and it is confirmed, too: the store has no newer one.
	f.confirm(begun)
	return f.Offer(s)
}

// ReadUnchanged handles a read that started at time begun and found no state newer than the active one.
func (f *Follower) ReadUnchanged(begun time.Time) {
	f.reading = false
	f.failures = 0
	f.jitter = time.Duration(f.rand.Int64N(int64(readAgeJitter)))
	f.confirm(begun)
}

// ReadFailed handles a failed read of the store and schedules the next one.
func (f *Follower) ReadFailed(now time.Time) {
	f.reading = false
	f.failures++
	pause := min(retryMax, retryMin<<min(f.failures-1, 8))
	f.nextRead = now.Add(pause/2 + time.Duration(f.rand.Int64N(int64(pause))))
}

// Failures returns the number of failed reads since the last successful one.
func (f *Follower) Failures() int { return f.failures }

// PeerReported handles the report of another process that its active state has the given version
// and was confirmed age ago.
func (f *Follower) PeerReported(now time.Time, version uint64, age time.Duration) {
	f.lastPeerMessage = now
	if version == f.table.Version() && version > 0 {
		f.confirm(now.Add(-age))
	}
}

// Offer makes a state active if it is newer than the active one, and reports whether it did so.
func (f *Follower) Offer(s route.State) bool {
	if s.Version <= f.table.Version() {
		return false
	}
	f.table = route.NewTable(s)
	return true
}

func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}
