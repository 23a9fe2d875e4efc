// Package route holds the active desired state of one process: the services that new flows to an
// address may go to. A table is immutable.
package route

import (
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
)

// Repeat specifies whether a request on a route may be sent again.
type Repeat uint8

// Kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Repeat = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Download requests may be repeated, and their responses are long.
	Download
)

// Share is a service with its weight in the distribution of a route's new flows.
type Share struct {
	Service string `msgpack:"s"`
	Weight  uint32 `msgpack:"w"`
}

// Route specifies where new flows to one service address go.
type Route struct {
	Name        string        `msgpack:"n"`
	ServiceAddr flow.Endpoint `msgpack:"f"`
	Shares      []Share       `msgpack:"s"`
	Repeat      Repeat        `msgpack:"r"`
	// Timeout is the maximum time of a request; TargetLatency is the time within which an answer is
	// useful to the caller.
	Timeout       time.Duration `msgpack:"t"`
	TargetLatency time.Duration `msgpack:"g"`
	// Priority orders routes under load; zero is the highest.
	Priority uint8 `msgpack:"p"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string `msgpack:"n"`
	// HealthPath is the HTTP path that returns status 200 while a backend server accepts new flows.
	HealthPath string `msgpack:"h"`
	// MaxFlows bounds the open flows of one backend server.
	MaxFlows uint32 `msgpack:"m"`
}

// State is a complete desired state as set by operators.
type State struct {
	// Version orders states; a process never returns to a lower one.
	Version  uint64    `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	// IdleTimeout is the time without packets after which a flow may be forgotten.
	IdleTimeout time.Duration `msgpack:"i"`
}

// Table indexes a State for lookups.
type Table struct {
	state         State
	byServiceAddr map[flow.Endpoint]*Route
	services      map[string]*Service
	maxTimeout    time.Duration
}

// NewTable indexes a state, which must not be changed afterwards.
func NewTable(s State) *Table {
	t := &Table{
		state:         s,
		byServiceAddr: make(map[flow.Endpoint]*Route, len(s.Routes)),
		services:      make(map[string]*Service, len(s.Services)),
	}
	for i := range s.Routes {
		t.byServiceAddr[s.Routes[i].ServiceAddr] = &s.Routes[i]
		t.maxTimeout = max(t.maxTimeout, s.Routes[i].Timeout)
	}
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	return t
}

// Version returns the version of the state, or zero for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.state.Version
}

// State returns the whole state. It must not be changed.
func (t *Table) State() State { return t.state }

// Lookup returns the route of a service address, or nil.
func (t *Table) Lookup(serviceAddr flow.Endpoint) *Route {
	if t == nil {
		return nil
	}
	return t.byServiceAddr[serviceAddr]
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// MaxTimeout returns the longest timeout of a request on any route, or zero for a nil table.
func (t *Table) MaxTimeout() time.Duration {
	if t == nil {
		return 0
	}
	return t.maxTimeout
}

// IdleTimeout returns the time without packets after which a flow may be forgotten, or zero for a
// nil table.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return 0
	}
	return t.state.IdleTimeout
}

// Pick returns the service for a new flow with the given hash, or "" if no share has a weight. All processes
// pick the same service, so that all copies of an opening packet reach that service.
func (r *Route) Pick(hash uint64) string {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	point := hash % total
	for _, s := range r.Shares {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return ""
}

// Allows reports whether new flows may go to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool {
		return s.Service == service && s.Weight > 0
	})
}
