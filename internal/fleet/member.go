// Package fleet implements the membership protocol of balancers and agents: processes find each
// other through seeds and detect failures.
//
// The protocol is SWIM (Das, Gupta, Motivala, 2002) with push gossip: random members are probed,
// with indirect probes before a member is suspected, and updates are repeated a bounded number of
// times. Members also compare tables to find lost updates. The traffic per node does not depend on
// the number of members.
//
// The package owns no sockets and no clock: functions take the time and a message and return the
// datagrams to send.
package fleet

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Role is the role of a member.
type Role uint8

// Member roles.
const (
	Balancer Role = iota + 1
	Agent
)

// String returns the role as shown in logs.
func (r Role) String() string {
	if r == Balancer {
		return "balancer"
	}
	return "agent"
}

// Liveness is the state of a member's process as other members see it. Of two records with the same
// incarnation and revision, the record with the higher liveness is kept.
type Liveness uint8

// Liveness values.
const (
	// Alive: the member answers.
	Alive Liveness = iota
	// Leaving: the member has announced that it is about to end.
	Leaving
	// Suspect: the member did not answer a probe; it can still refute the suspicion.
	Suspect
	// Dead: the member has left, or did not refute the suspicion in time.
	Dead
)

// String returns the liveness as shown in logs.
func (l Liveness) String() string {
	names := [...]string{"alive", "leaving", "suspect", "dead"}
	if int(l) >= len(names) {
		return "invalid"
	}
	return names[l]
}

// BackendState is the state of a backend server as its agent reports it.
type BackendState uint8

// Backend server states.
const (
	// BackendUnknown: the agent has no report of its backend server yet.
	BackendUnknown BackendState = iota
	// BackendReady: the backend server accepts new flows.
	BackendReady
	// BackendDraining: the backend server keeps its flows and accepts no new ones.
	BackendDraining
	// BackendGone: the backend server has ended and its flows are lost.
	BackendGone
)

// String returns the state as shown in logs.
func (s BackendState) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Backend describes the backend server of an agent.
type Backend struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service string
	State   BackendState
	// StartMillis is the start time of the backend server in Unix milliseconds; zero if unknown. A
	// changed value means that all earlier flows are lost.
	StartMillis int64
	// Slots is the number of requests that the backend server processes in parallel.
	Slots uint16
	// Warming is set while the backend server is slow after its start.
	Warming bool
}

// Member is the record of one process, announced by itself or updated by other members.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Addr is the address for datagrams and streams of other members. It identifies the process.
	Addr       netip.AddrPort
	Role       Role
	DataCentre string
	// Incarnation is the start time of the process in Unix milliseconds, raised if an earlier
	// process at the same address had a higher one.
	Incarnation uint64
	// Revision counts the records that an incarnation has announced.
	Revision uint32
	Liveness Liveness
	// LeaveAnnounced is set once the process has announced that it is about to end.
	LeaveAnnounced bool
	// Backend is set for agents only.
	Backend Backend
}

// Supersedes reports whether record a is newer than record b of the same address.
func Supersedes(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Liveness > b.Liveness
}

// AcceptsFlows reports whether the member is an alive agent whose backend server accepts new flows.
func (m *Member) AcceptsFlows() bool {
	return m.Role == Agent && m.Liveness == Alive && m.Backend.State == BackendReady
}

// sum returns a hash of the record, for comparing tables.
func (m *Member) sum() uint64 {
	encoded, err := msgpack.Marshal(m)
	if err != nil {
		return 0 // unreachable, since all fields can be encoded; a zero sum would only make tables differ
	}
	return xxhash.Sum64(encoded)
}
