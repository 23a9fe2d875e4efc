// Package control decides how the nodes of almondledge act together: who is
// present, which configuration is in force, and what each node tells the others.
//
// A Node is a state machine. It takes the time and an event and returns outputs:
// datagrams to send, pulls to make and notices. It uses no clock, socket,
// goroutine or global random source. Package controlplane drives it.
package control

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// TickPeriod is how often Tick must be called.
const TickPeriod = 100 * time.Millisecond

// Config sets up a Node. Zero fields take their defaults, but for Self and Rand.
type Config struct {
	// Self is what the node announces of itself.
	Self member.Member
	// Seeds are balancers to contact first.
	Seeds []netip.AddrPort
	// Rand makes the random choices.
	Rand *rand.Rand
	// BytesPerSecond is the ceiling of control bytes sent in any second.
	BytesPerSecond int
	// Presence sets the rules of the member table.
	Presence presence.Config
	// Timing sets periods and timeouts.
	Timing Timing
}

// Timing sets the periods and timeouts of a Node.
type Timing struct {
	// AnnouncePeriod is the time between an agent's announcements.
	AnnouncePeriod time.Duration
	// AckTimeout is the age of the last answer at which a balancer leaves an agent's reply set.
	AckTimeout time.Duration
	// SilenceTimeout is the silence after which a balancer probes an agent.
	SilenceTimeout time.Duration
	// ProbePeriod is the time between two probes of balancers by one balancer.
	ProbePeriod time.Duration
	// ProbeStep is the time between the attempts of one probe.
	ProbeStep time.Duration
	// SuspectTimeout is the time in which a suspected member can answer.
	SuspectTimeout time.Duration
	// GossipPeriod is the time between two messages with changes that are not urgent.
	GossipPeriod time.Duration
	// RepairPeriod is the time between two comparisons with random peers.
	RepairPeriod time.Duration
	// RejoinPeriod is the time between two attempts to reach seeds and dead balancers.
	RejoinPeriod time.Duration
	// PullTimeout is the time after which a pull is given up.
	PullTimeout time.Duration
	// FreezeLimit is the time between two ticks above which the process was frozen.
	FreezeLimit time.Duration
}

// Defaults of Config and Timing.
const (
	defaultBytesPerSecond = 20_000

	defaultAnnouncePeriod = 500 * time.Millisecond
	defaultAckTimeout     = 1500 * time.Millisecond
	defaultSilenceTimeout = 1200 * time.Millisecond
	defaultProbePeriod    = time.Second
	defaultProbeStep      = 150 * time.Millisecond
	defaultSuspectTimeout = 5 * time.Second
	defaultGossipPeriod   = 200 * time.Millisecond
	defaultRepairPeriod   = 2 * time.Second
	defaultRejoinPeriod   = 5 * time.Second
	defaultPullTimeout    = 3 * time.Second
	defaultFreezeLimit    = 1500 * time.Millisecond
)

// Fixed numbers of the protocol.
const (
	// observers is the number of balancers that an agent announces itself to.
	observers = 3
	// watchers is the number of balancers of a data centre that watch the store.
	watchers = 2
	// gossipFanout is the number of balancers that a change is sent to at a time.
	gossipFanout = 3
	// indirectProbes is the number of balancers asked to probe a silent member.
	indirectProbes = 3
	// probeAttempts is the number of steps of a probe before it fails.
	probeAttempts = 4
	// urgentOriginSends is the number of messages with which the node that learned
	// an urgent change at first hand tells a balancer of each other data centre.
	urgentOriginSends = 2
	// remoteGossipShare is the share of gossip messages also sent to another data centre.
	remoteGossipShare = 0.25
	// remoteRepairShare is the share of comparisons made with another data centre.
	remoteRepairShare = 0.25
	// fullAckEvery is the number of announcements for each acknowledgement with samples.
	fullAckEvery = 8
)

func (c Config) withDefaults() Config {
	setDefault(&c.BytesPerSecond, defaultBytesPerSecond)
	t := &c.Timing
	setDefault(&t.AnnouncePeriod, defaultAnnouncePeriod)
	setDefault(&t.AckTimeout, defaultAckTimeout)
	setDefault(&t.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&t.ProbePeriod, defaultProbePeriod)
	setDefault(&t.ProbeStep, defaultProbeStep)
	setDefault(&t.SuspectTimeout, defaultSuspectTimeout)
	setDefault(&t.GossipPeriod, defaultGossipPeriod)
	setDefault(&t.RepairPeriod, defaultRepairPeriod)
	setDefault(&t.RejoinPeriod, defaultRejoinPeriod)
	setDefault(&t.PullTimeout, defaultPullTimeout)
	setDefault(&t.FreezeLimit, defaultFreezeLimit)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
