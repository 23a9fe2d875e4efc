// Package flowproc runs balancers and agents as processes: it owns the sockets, the clock and the
// goroutines, and calls the packages fleet, flowbalancer, flowagent and statesync, which make the
// decisions.
package flowproc

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/logring"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/store"
)

// StateSource is the store in which operators keep the desired state.
type StateSource interface {
	// ReadState returns the newest desired state and its position in the store. Errors carry a kind
	// of package errkind; Invalid means that the stored state is unusable.
	ReadState(ctx context.Context) (route.State, store.Position, error)
	// ReadChange returns the newest state after a position. If there is no newer state, it returns a zero
	// state and the given position, and the store transfers only a few bytes. An error of kind Stale means
	// that the store no longer has the changes since that position.
	ReadChange(ctx context.Context, after store.Position) (route.State, store.Position, error)
}

// Common is the configuration that balancers and agents share.
type Common struct {
	// Name is the name of the instance in logs.
	Name       string
	DataCentre string
	// Peer is the UDP and TCP address of this process for other members.
	Peer netip.AddrPort
	// CallerPort is the port on which every caller receives packets.
	CallerPort uint16
	// Seeds are the peer addresses of the members to contact first.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole deployment starts for the first time and the rosters are still empty.
	// The setting saves reads of the store and has no other effect.
	FirstStart bool
	// FlowLifetime is the age from which a flow may be forgotten.
	FlowLifetime time.Duration
	// Metrics is the TCP address on which metrics are served; the zero address disables them.
	Metrics netip.AddrPort
}

// BalancerConfig configures a balancer.
type BalancerConfig struct {
	Common
	// Callers is the UDP address to which the fabric sends callers' packets.
	Callers netip.AddrPort
}

// AgentConfig configures an agent.
type AgentConfig struct {
	Common
	// Service is the service of the backend server.
	Service string
	// Backend is the UDP and TCP address of the backend server.
	Backend netip.AddrPort
	// FromBackend is the UDP address to which the backend server sends its packets.
	FromBackend netip.AddrPort
}

// Options are the dependencies of a process.
type Options struct {
	Network network.Network
	Codec   flow.Codec
	States  StateSource
	// Roster stores the addresses of balancers for first contact; if nil, only the seeds are used.
	Roster roster.Store
	// RosterReader reads the rosters for first contact; if nil, Roster does.
	RosterReader roster.Reader
	// Restored receives a value when the store was restored from an earlier copy. It may be nil.
	Restored <-chan struct{}
	Log      log.Interface
	// Ring is the buffer behind Log; samples of ordinary decisions are logged only while it has
	// room. It may be nil.
	Ring *logring.Writer
	Rand *rand.Rand
}

// Validate returns an error for the first missing or invalid field, or nil.
func (c Common) Validate() error {
	switch {
	case c.DataCentre == "":
		return missing("data centre")
	case !c.Peer.IsValid() || !c.Peer.Addr().Is4() || c.Peer.Port() == 0:
		return missing("peer address (IPv4 and port)")
	case c.CallerPort == 0:
		return missing("port of the callers")
	case c.FlowLifetime <= 0:
		return missing("lifetime of flows")
	}
	return nil
}

// Validate returns an error for the first missing or invalid field, or nil.
func (c BalancerConfig) Validate() error {
	if !c.Callers.IsValid() {
		return missing("address for callers' packets")
	}
	return c.Common.Validate()
}

// Validate returns an error for the first missing or invalid field, or nil.
func (c AgentConfig) Validate() error {
	switch {
	case c.Service == "":
		return missing("service of the backend server")
	case !c.Backend.IsValid():
		return missing("address of the backend server")
	case !c.FromBackend.IsValid():
		return missing("address for the backend server's packets")
	}
	return c.Common.Validate()
}

func missing(what string) error {
	return errkind.New(errkind.Invalid, "setting is missing or out of range: "+what, "set it in the settings file of the process")
}
