// Package flowproc runs balancers and agents of callers' flows: it owns the
// sockets, the clock and the goroutines around the decisions of the packages
// fleet, flowbalancer, flowagent and statesync.
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
)

// StateSource is where operators keep the desired state.
type StateSource interface {
	// ReadState returns the newest desired state and the store's revision of it. Errors
	// carry a kind of package errkind; Invalid means that there is a state and that it
	// cannot be used.
	ReadState(ctx context.Context) (route.State, int64, error)
	// ReadChange returns the newest state after a revision, or the revision itself with
	// a zero state when there is none, which costs a few bytes only. An error of kind
	// Stale means that the store has forgotten the changes since then.
	ReadChange(ctx context.Context, revision int64) (route.State, int64, error)
}

// Common is what both roles need.
type Common struct {
	// Name is the name of the instance in logs.
	Name       string
	DataCentre string
	// Peer is the UDP and TCP address at which other members reach this process.
	Peer netip.AddrPort
	// CallerPort is the port at which every caller receives packets.
	CallerPort uint16
	// Seeds are the peer addresses of members to contact first.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole deployment starts for the first time, so that
	// nothing can be learned of an earlier one. It saves calls and decides nothing.
	FirstStart bool
	// FlowLifetime is the age from which a flow may be forgotten.
	FlowLifetime time.Duration
	// Metrics is the TCP address that serves metrics; the zero address serves none.
	Metrics netip.AddrPort
}

// BalancerConfig describes a balancer.
type BalancerConfig struct {
	Common
	// Callers is the UDP address that the fabric sends callers' packets to.
	Callers netip.AddrPort
}

// AgentConfig describes an agent.
type AgentConfig struct {
	Common
	// Service is the service of the backend server.
	Service string
	// Backend is the UDP and TCP address of the backend server.
	Backend netip.AddrPort
	// FromBackend is the UDP address that the backend server sends its packets to.
	FromBackend netip.AddrPort
}

// Options are what a process uses of its surroundings.
type Options struct {
	Network network.Network
	Codec   flow.Codec
	States  StateSource
	// Roster holds addresses for first contact; nil means that there are only seeds.
	Roster roster.Store
	Log    log.Interface
	// Ring is the buffer behind Log; samples of ordinary work are logged while it has
	// room. It may be nil.
	Ring *logring.Writer
	Rand *rand.Rand
}

// Validate returns an error that names the first bad field, or nil.
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

// Validate returns an error that names the first bad field, or nil.
func (c BalancerConfig) Validate() error {
	if !c.Callers.IsValid() {
		return missing("address for callers' packets")
	}
	return c.Common.Validate()
}

// Validate returns an error that names the first bad field, or nil.
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
