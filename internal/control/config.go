// Package control implements the control logic of a node of almondledge: it
// determines which members are present and which configuration is active, and
// exchanges both with other nodes.
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

// TickPeriod is the period at which Tick must be called.
const TickPeriod = 100 * time.Millisecond

// Config configures a Node. Zero fields take their defaults, except Self and Rand, which are required.
type Config struct {
	// Self is the member record that the node announces.
	Self member.Member
	// Seeds are balancers to contact first.
	Seeds []netip.AddrPort
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// BytesPerSecond is the limit of control bytes sent in any second.
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
	// AckTimeout is how long a balancer stays in an agent's reply set after its last
	// acknowledgement.
	AckTimeout time.Duration
	// SilenceTimeout is how long an agent may be silent before a balancer probes it.
	SilenceTimeout time.Duration
	// ProbePeriod is the time between two probes of balancers by one balancer.
	ProbePeriod time.Duration
	// ProbeStep is the time between the attempts of one probe.
	ProbeStep time.Duration
	// SuspectTimeout is how long a suspected member has to refute the suspicion.
	SuspectTimeout time.Duration
	// GossipPeriod is the time between two gossip messages with updates that are not urgent.
	GossipPeriod time.Duration
	// RepairPeriod is the mean time between two comparisons of member tables with random peers.
	RepairPeriod time.Duration
	// RejoinPeriod is the minimum time between two attempts to reach seeds and dead
	// balancers. A random time of up to RejoinPeriod is added.
	RejoinPeriod time.Duration
	// PullTimeout is how long a pull without a result prevents the next pull.
	PullTimeout time.Duration
	// FreezeLimit is the time between two ticks above which the process counts as frozen.
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

// Constants of the protocol.
const (
	// observers is the number of balancers that an agent announces itself to.
	observers = 3
	// watchers is the number of balancers of a data centre that watch the store.
	watchers = 2
	// gossipFanout is the number of balancers of its data centre to which a node
	// sends one gossip message.
	gossipFanout = 3
	// indirectProbes is the number of balancers asked to ping a silent member.
	indirectProbes = 3
	// probeAttempts is the number of attempts of a probe before it fails.
	probeAttempts = 4
	// urgentOriginSends is the number of times that the node where an urgent update
	// originates sends it to a balancer of each other data centre.
	urgentOriginSends = 2
	// remoteGossipShare is the share of gossip messages also sent to another data centre.
	remoteGossipShare = 0.25
	// remoteRepairShare is the share of comparisons made with another data centre.
	remoteRepairShare = 0.25
	// fullAckEvery is the number of announcements for which an agent gets one acknowledgement with
	// samples.
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
