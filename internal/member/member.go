// Package member describes the processes of almondledge as their peers see
// them: balancers, and agents, each of which runs beside a backend server.
package member

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/service"
)

// Kind is the role of a member.
type Kind uint8

// Kinds of member.
const (
	Balancer Kind = iota + 1
	Agent
)

// State is the life-cycle state of a member. A higher state overrides a lower
// one of the same incarnation.
type State uint8

// States of a member.
const (
	// Warming takes a small, growing share of new flows.
	Warming State = iota + 1
	// Serving takes its full share of new flows.
	Serving
	// Suspect failed a probe; it keeps its flows and gets no new ones.
	Suspect
	// Draining takes no new flow and no new request.
	Draining
	// Leaving has finished its work and is about to stop.
	Leaving
	// Dead has left or failed.
	Dead
)

// TakesNewFlows reports whether a member in state s may be offered new flows.
func (s State) TakesNewFlows() bool {
	return s == Warming || s == Serving
}

// String returns the state as logs and the administration API show it.
func (s State) String() string {
	names := [...]string{"", "warming", "serving", "suspect", "draining", "leaving", "dead"}
	if int(s) >= len(names) || s == 0 {
		return "invalid"
	}
	return names[s]
}

// String returns the kind as logs and the administration API show it.
func (k Kind) String() string {
	switch k {
	case Balancer:
		return "balancer"
	case Agent:
		return "agent"
	default:
		return "invalid"
	}
}

// Member is the record that a process announces of itself.
type Member struct {
	// Addr is the UDP address for envelopes and control datagrams; it identifies the member.
	Addr netip.AddrPort `msgpack:"a"`
	// Stream is the TCP address for state transfer and relayed requests.
	Stream netip.AddrPort `msgpack:"s"`
	// Kind is the role.
	Kind Kind `msgpack:"k"`
	// State is the life-cycle state.
	State State `msgpack:"t"`
	// Incarnation orders the records of one address. A process uses a higher one
	// after a restart, and to refute a suspicion.
	Incarnation uint64 `msgpack:"i"`
	// DataCentre is the data centre that the member runs in.
	DataCentre string `msgpack:"d"`
	// Service is the service that an agent serves; zero for a balancer.
	Service service.ID `msgpack:"v,omitempty"`
	// Capacity is the relative weight of an agent's backend server, in slots.
	Capacity uint16 `msgpack:"c,omitempty"`
	// Load is the occupied share of an agent's backend server, 0 (idle) to 255 (full).
	Load uint8 `msgpack:"l,omitempty"`
	// Sequence orders the load reports of one incarnation.
	Sequence uint32 `msgpack:"q,omitempty"`
}
