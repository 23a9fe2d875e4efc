// Package fleet lets the balancers and agents of a deployment find each other
// and notice who has gone: seeds for first contact, probes of random members with
// indirect probes before a suspicion, news passed on a bounded number of times,
// and comparison of tables for what news has missed. The cost of a node does not
// depend on the number of members.
//
// The method is SWIM (Das, Gupta, Motivala, 2002) with push gossip for changes.
// Decisions take the time and a message and return datagrams; they own no sockets.
package fleet

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Role is the role of a member.
type Role uint8

// Roles.
const (
	Balancer Role = iota + 1
	Agent
)

// String returns the role as logs show it.
func (r Role) String() string {
	if r == Balancer {
		return "balancer"
	}
	return "agent"
}

// Liveness is what is believed of a member's process. Of two statements that are
// otherwise equal the higher liveness wins.
type Liveness uint8

// Liveness of members.
const (
	// Alive members answer.
	Alive Liveness = iota
	// Leaving members have announced their end.
	Leaving
	// Suspect members have not answered a probe; they can still object.
	Suspect
	// Dead members have left, or stayed silent as suspects.
	Dead
)

// String returns the liveness as logs show it.
func (l Liveness) String() string {
	names := [...]string{"alive", "leaving", "suspect", "dead"}
	if int(l) >= len(names) {
		return "invalid"
	}
	return names[l]
}

// BackendState is what an agent says of its backend server.
type BackendState uint8

// States of a backend server.
const (
	// BackendUnknown: the agent has not heard of its backend server yet.
	BackendUnknown BackendState = iota
	// BackendReady takes new flows.
	BackendReady
	// BackendDraining keeps its flows and takes no new ones.
	BackendDraining
	// BackendGone has ended; its flows are lost.
	BackendGone
)

// String returns the state as logs show it.
func (s BackendState) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Backend is the backend server beside an agent.
type Backend struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service string
	State   BackendState
	// StartMillis is the backend server's start in Unix milliseconds; zero when not known.
	// Another value means that all earlier flows are gone.
	StartMillis int64
	// Slots is the number of requests that it works on at the same time.
	Slots uint16
	// Warming is set while it is slow after its start.
	Warming bool
}

// Member is what one process says of itself, or what others believe of it.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Addr is the address for datagrams and streams of other members; it identifies the process.
	Addr       netip.AddrPort
	Role       Role
	DataCentre string
	// Incarnation is the start of the process in Unix milliseconds, raised when an
	// earlier process at the address had a higher one.
	Incarnation uint64
	// Revision counts the statements of one incarnation.
	Revision uint32
	Liveness Liveness
	// LeaveAnnounced is set once the process has said that it would end.
	LeaveAnnounced bool
	// Backend is set for agents.
	Backend Backend
}

// Supersedes reports whether statement a is newer than statement b about the same address.
func Supersedes(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Liveness > b.Liveness
}

// AcceptsFlows reports whether the member is an agent whose backend server takes new flows.
func (m *Member) AcceptsFlows() bool {
	return m.Role == Agent && m.Liveness == Alive && m.Backend.State == BackendReady
}

// sum returns a hash of the statement, for comparing tables.
func (m *Member) sum() uint64 {
	encoded, err := msgpack.Marshal(m)
	if err != nil {
		return 0 // cannot happen: all fields are plain; a zero sum only makes tables differ
	}
	return xxhash.Sum64(encoded)
}
