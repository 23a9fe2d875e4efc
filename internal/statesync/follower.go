// Package statesync keeps the desired state of a process up to date. The
// platform's store holds the truth; some processes read it, and the others hear
// from them how old the last confirmation is and fetch newer states from them.
// No process ever goes back to a lower version.
package statesync

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/almondledge/almondledge/internal/route"
)

// Times between reads of the store.
const (
	// firstPatience, secondPatience and balancerPatience are how old the newest known
	// confirmation may become until a balancer reads the store itself: the first and
	// the second in the order of balancers, and all others. Agents leave it to
	// balancers unless they hear from none.
	firstPatience    = 700 * time.Millisecond
	secondPatience   = 1500 * time.Millisecond
	balancerPatience = 1800 * time.Millisecond
	agentPatience    = 2200 * time.Millisecond
	// patiencePerDoubling is added for each doubling of the members beyond smallFleet:
	// word of a confirmation takes that much longer to get around.
	patiencePerDoubling = 250 * time.Millisecond
	smallFleet          = 64
	// patienceJitter spreads the processes.
	patienceJitter = 300 * time.Millisecond
	// firstAgentDelay lets agents that have just started ask their peers first.
	firstAgentDelay = 150 * time.Millisecond
	// peerSilence is the silence of all others after which an agent without a state
	// reads the store itself.
	peerSilence = 500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed read.
	retryMin = 60 * time.Millisecond
	retryMax = 600 * time.Millisecond
)

// Follower decides when to read the store and which state is in force. It is not
// safe for concurrent use.
type Follower struct {
	patience time.Duration
	rand     *rand.Rand
	table    *route.Table
	// confirmed is when the state in force was last known to be the newest, here or
	// at any process that was heard of.
	confirmed time.Time
	nextRead  time.Time
	// heard is when another process was heard last, and asked when the store was read
	// last, or the start.
	heard, asked time.Time
	agent        bool
	failures     int
	reading      bool
	jitter       time.Duration
}

// AgentRank is the rank of all agents.
const AgentRank = -1

// NewFollower returns a follower that starts at time now without a state. The rank
// is the place in the order of balancers, from zero, or AgentRank.
func NewFollower(now time.Time, rank int, random *rand.Rand) *Follower {
	f := &Follower{rand: random, nextRead: now, asked: now, agent: rank == AgentRank, confirmed: now.Add(-time.Hour)}
	f.SetRank(rank, 0)
	if rank == AgentRank {
		f.nextRead = now.Add(firstAgentDelay)
	}
	return f
}

// SetRank changes the place in the order of balancers, among so many members.
func (f *Follower) SetRank(rank, members int) {
	switch rank {
	case 0:
		f.patience = firstPatience
		return
	case 1:
		f.patience = secondPatience
		return
	case AgentRank:
		f.patience = agentPatience
	default:
		f.patience = balancerPatience
	}
	if members > smallFleet {
		f.patience += time.Duration(float64(patiencePerDoubling) * math.Log2(float64(members)/smallFleet))
	}
}

// Table returns the state in force, or nil.
func (f *Follower) Table() *route.Table { return f.table }

// Age returns how long ago the state in force was last known to be the newest.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.confirmed) }

// ShouldRead reports whether the store should be read now. The caller must then
// call Read or Failed.
func (f *Follower) ShouldRead(now time.Time) bool {
	if f.reading || now.Before(f.nextRead) {
		return false
	}
	if f.table != nil && f.Age(now) < f.patience+f.jitter {
		return false
	}
	if f.table == nil && f.willBeTold(now) {
		return false
	}
	f.reading = true
	f.asked = now
	return true
}

// willBeTold reports whether an agent without a state may leave the store to the
// processes that it hears.
func (f *Follower) willBeTold(now time.Time) bool {
	return f.agent && now.Sub(f.heard) < peerSilence && now.Sub(f.asked) < agentPatience
}

// ReadSucceeded takes a state that the store returned to a read begun at time begun, and
// reports whether it came into force.
func (f *Follower) ReadSucceeded(begun time.Time, s route.State) bool {
	f.reading = false
	f.failures = 0
	f.jitter = time.Duration(f.rand.Int64N(int64(patienceJitter)))
	if s.Version < f.table.Version() {
		return false // an answer that was overtaken by a newer one
	}
	f.confirm(begun)
	return f.Offer(s)
}

// ReadUnchanged notes that a read begun at time begun found the state in force.
func (f *Follower) ReadUnchanged(begun time.Time) {
	f.reading = false
	f.failures = 0
	f.jitter = time.Duration(f.rand.Int64N(int64(patienceJitter)))
	f.confirm(begun)
}

// ReadFailed notes that the store could not be read.
func (f *Follower) ReadFailed(now time.Time) {
	f.reading = false
	f.failures++
	pause := min(retryMax, retryMin<<min(f.failures-1, 8))
	f.nextRead = now.Add(pause/2 + time.Duration(f.rand.Int64N(int64(pause))))
}

// Failures returns the number of failed reads since the last that succeeded.
func (f *Follower) Failures() int { return f.failures }

// PeerReported takes over what another process with the given version says of the age of
// its last confirmation.
func (f *Follower) PeerReported(now time.Time, version uint64, age time.Duration) {
	f.heard = now
	if version == f.table.Version() && version > 0 {
		f.confirm(now.Add(-age))
	}
}

// Offer puts a state in force if it is newer, and reports whether it was.
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
