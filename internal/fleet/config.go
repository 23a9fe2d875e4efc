package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Times of the protocol.
const (
	// TickPeriod is how often Tick should be called.
	TickPeriod = 20 * time.Millisecond
	// probePeriod is the time between two probes by one member.
	probePeriod = 200 * time.Millisecond
	// directTimeout is how long a probe waits before others are asked to help, and
	// indirectTimeout how long it waits in all.
	directTimeout   = 60 * time.Millisecond
	indirectTimeout = 180 * time.Millisecond
	// suspectTimeout is how long a suspect has for its objection.
	suspectTimeout = time.Second
	// leaveTimeout is how long a member that has announced its end may still answer.
	leaveTimeout = 6 * time.Second
	// forgetTimeout is how long a dead member is remembered, so that late news of its
	// life is recognised.
	forgetTimeout = 90 * time.Second
	// joinPeriod is the time between two attempts to reach the seeds.
	joinPeriod = 100 * time.Millisecond
	// rejoinPeriod is the time between two messages to seeds that are not known as alive,
	// which brings a deployment together again after it was cut in two.
	rejoinPeriod = time.Second
	// isolationTimeout is the silence of everybody after which a member takes its own
	// link for broken rather than all the others.
	isolationTimeout = 600 * time.Millisecond
	// comparePeriod is the least time between two answers to differing tables.
	comparePeriod = 300 * time.Millisecond
	// fetchPeriod is the least time between two fetches of a whole table, and auditPeriod
	// the time after which one is fetched although nothing seems to be missing: news that
	// got lost is found by then.
	fetchPeriod = 2 * time.Second
	auditPeriod = 10 * time.Minute
	// freezeLimit is the gap between two ticks after which the process itself must
	// have stood still.
	freezeLimit = 700 * time.Millisecond
)

// Sizes of the protocol.
const (
	// indirectProbes is the number of members asked to help with a probe.
	indirectProbes = 2
	// newsFanout is the number of members that a change is passed on to at once.
	newsFanout = 3
	// maxGreetings bounds the members to which a process that joins makes itself known;
	// the others hear of it as news.
	maxGreetings = 96
	// localShare is the share of probes and of news that stays in the own data centre.
	localShare = 0.7
	// doublingsPerRepeat bounds how often a change is passed on in probes: once more for
	// so many doublings of the number of members. What that misses, tables show.
	doublingsPerRepeat = 2
	// tableParts bounds the datagrams that answer one difference between tables.
	tableParts = 24
	// pushedMembers is the number of changes in a message that passes one on at once, and
	// probedMembers that in a probe or its answer.
	pushedMembers = 3
	probedMembers = maxDatagramMembers / 2
	// largeTable is the number of members that datagrams do not bring in a short time.
	largeTable = tableParts * maxDatagramMembers
	// recentMembers is the number of members whose changes are sent first when tables differ.
	recentMembers = maxDatagramMembers
	// maxNews bounds the changes that wait to be passed on; when so many change at once,
	// tables bring the older ones.
	maxNews = 1024
	// pickTries bounds the draws when random members are chosen.
	pickTries = 24
)

// Config describes a node.
type Config struct {
	// Self is the first statement of this member; its Revision is ignored.
	Self Member
	// Seeds are members to contact first.
	Seeds []netip.AddrPort
	// Rand is the source of random choices.
	Rand *rand.Rand
	// Version returns the version of the desired state in force here and how long ago
	// it was confirmed; both travel with every message, so that members notice when
	// theirs is old.
	Version func() (version uint64, age time.Duration)
	// Load returns how busy this member is.
	Load func() Load
}

// Send is a datagram to another member.
type Send struct {
	To      netip.AddrPort
	Payload []byte
}

// EventKind tells events apart.
type EventKind uint8

// Kinds of event.
const (
	// MemberChanged: a statement about Member came into force here.
	MemberChanged EventKind = iota + 1
	// SelfChanged: Member is this member's own new statement.
	SelfChanged
	// MemberForgotten: Member was dead for long, and is no longer in the table.
	MemberForgotten
	// Frozen: this process stood still for Gap.
	Frozen
	// Refuted: this member objected to a suspicion or to an older life at its address.
	Refuted
	// VersionReported: Member has the desired state Version in force, confirmed Age ago.
	VersionReported
	// LoadReported: Member said how busy it is.
	LoadReported
	// FellBehind: Member knows many members that this one does not, or has had another
	// table for long. Its whole table should be fetched and given to TakeTable.
	FellBehind
)

// Event is something that the rest of the process acts on or logs.
type Event struct {
	Kind    EventKind
	Member  Member
	Gap     time.Duration
	Version uint64
	Age     time.Duration
	Load    Load
}
