package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Time constants of the protocol.
const (
	// TickPeriod is the interval at which Tick should be called.
	TickPeriod = 20 * time.Millisecond
	// probePeriod is the interval of the probes that one member sends.
	probePeriod = 200 * time.Millisecond
	// directTimeout is how long a probe waits for its answer before other members are asked for indirect
	// probes, indirectTimeout how long the probe waits in total.
	directTimeout   = 60 * time.Millisecond
	indirectTimeout = 180 * time.Millisecond
	// suspectTimeout is the time a suspect has to refute the suspicion.
	suspectTimeout = time.Second
	// leaveTimeout is how long a member that has announced its leave may still answer.
	leaveTimeout = 6 * time.Second
	// forgetTimeout is how long a dead member is kept, so that late updates about it are recognised
	// as outdated.
	forgetTimeout = 90 * time.Second
	// learnDeadTimeout is the time since its death up to which a dead member is added to a table. It is less than
	// forgetTimeout, so that members do not add what others are about to forget.
	learnDeadTimeout = 80 * time.Second
	// joinPeriod is the interval of attempts to reach the seeds until one has answered.
	joinPeriod = 100 * time.Millisecond
	// rejoinPeriod is the interval of messages to seeds that are not considered alive. After a
	// network partition these messages bring the parts of a deployment together again.
	rejoinPeriod = time.Second
	// isolationTimeout is the time without any received message after which a member assumes that its own
	// link is broken, not that all other members have failed.
	isolationTimeout = 600 * time.Millisecond
	// comparePeriod is the minimum time between two answers to members with differing tables.
	comparePeriod = 300 * time.Millisecond
	// fetchPeriod is the minimum time between two fetches of a whole table. auditPeriod is the time since the
	// last fetch after which a large differing table is fetched even if few members are missing, to find lost
	// updates.
	fetchPeriod = 2 * time.Second
	auditPeriod = 10 * time.Minute
	// A process counts as frozen after a gap of more than freezeLimit between two ticks. It must not mistake
	// its own pause for the silence of other members.
	freezeLimit = 700 * time.Millisecond
)

// Size constants of the protocol.
const (
	// indirectProbes is the number of members asked for an indirect probe.
	indirectProbes = 2
	// updateFanout is the number of members to which an update is sent immediately.
	updateFanout = 3
	// maxIntroductions bounds the members to which a joining process introduces itself directly; all other
	// members learn of it by gossip.
	maxIntroductions = 96
	// contactsPerPeriod bounds the contacts that are asked for their tables at a time.
	contactsPerPeriod = 8
	// localShare is the share of probes and updates that stay in the local data centre.
	localShare = 0.7
	// doublingsPerRepeat bounds the repeats of an update in probes: one more repeat per doublingsPerRepeat
	// doublings of the number of members. Comparing tables finds updates that some members still miss.
	doublingsPerRepeat = 2
	// maxTableDatagrams bounds the datagrams that answer one request for a table.
	maxTableDatagrams = 24
	// maxDeadDatagrams bounds the dead members whose time since death is stated in the answer to a request for a table.
	maxDeadDatagrams = 16
	// pushedUpdates bounds the updates in a message that immediately sends a new update, probeUpdates the
	// updates in a probe or its answer.
	pushedUpdates = 3
	probeUpdates  = maxDatagramMembers / 2
	// largeTable is the largest number of members that datagrams can transfer in a short time; larger tables
	// are fetched over a stream.
	largeTable = maxTableDatagrams * maxDatagramMembers
	// recentMembers is the number of most recently changed members that are sent when tables
	// differ.
	recentMembers = maxDatagramMembers
	// maxQueuedUpdates bounds the updates that wait to be sent. When more members change at once,
	// comparing tables transfers the older updates.
	maxQueuedUpdates = 1024
	// pickTries bounds the random draws when members are picked.
	pickTries = 24
)

// Config configures a node.
type Config struct {
	// Self is the initial record of this member; its Revision is ignored.
	Self Member
	// Seeds are the members to contact first.
	Seeds []netip.AddrPort
	// Rand is the source of random choices.
	Rand *rand.Rand
	// Version returns the version of the active desired state of this process and the time since it
	// was last confirmed as the newest. Every message carries both, so that members notice an
	// outdated state.
	Version func() (version uint64, age time.Duration)
	// Load returns the load of this member.
	Load func() Load
}

// Send is a datagram for another member.
type Send struct {
	To      netip.AddrPort
	Payload []byte
}

// EventKind is the kind of an event.
type EventKind uint8

// Event kinds.
const (
	// MemberChanged: Member is a new record of another member.
	MemberChanged EventKind = iota + 1
	// SelfChanged: Member is the new record of this member.
	SelfChanged
	// MemberForgotten: Member was dead for forgetTimeout and has been removed from the table.
	MemberForgotten
	// Frozen: this process did not run for Gap.
	Frozen
	// Refuted: this member refuted a suspicion, or the record of an earlier process at its address.
	Refuted
	// VersionReported: the active desired state of Member is Version, confirmed Age ago.
	VersionReported
	// LoadReported: Member reported its load.
	LoadReported
	// FellBehind: the table of Member has many more members, or differs and no table was fetched for
	// auditPeriod. The table should be fetched and passed to MergeTable; Complete states whether it is complete.
	FellBehind
	// TableCompleted: the table is taken as complete because of Evidence, which Member has given.
	TableCompleted
)

// Event is a change that the caller has to act on or log.
type Event struct {
	Kind    EventKind
	Member  Member
	Gap     time.Duration
	Version uint64
	Age     time.Duration
	Load    Load
	// Complete is set if the table of Member is complete.
	Complete bool
	Evidence Evidence
}
