// Package route holds the desired state that is in force at one process: which
// services new flows to an address may go to. A table is immutable.
package route

import (
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/flow"
)

// Repeat says whether a request on a route may be sent again.
type Repeat uint8

// Kinds of request.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Repeat = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Download requests may be repeated, and their answers are long.
	Download
)

// Share is a service with its part of a route's new flows.
type Share struct {
	Service string `msgpack:"s"`
	Weight  uint32 `msgpack:"w"`
}

// Route says where new flows to one address go.
type Route struct {
	Name        string        `msgpack:"n"`
	ServiceAddr flow.Endpoint `msgpack:"f"`
	Shares      []Share       `msgpack:"s"`
	Repeat      Repeat        `msgpack:"r"`
	// Timeout is the longest time of a request; Goal is the time within which answers
	// are useful to their callers.
	Timeout       time.Duration `msgpack:"t"`
	TargetLatency time.Duration `msgpack:"g"`
	// Priority orders routes under load; zero is the highest.
	Priority uint8 `msgpack:"p"`
}

// Service is a group of backend servers that stand in for each other.
type Service struct {
	Name string `msgpack:"n"`
	// HealthPath answers 200 while a backend server takes new flows.
	HealthPath string `msgpack:"h"`
	// MaxFlows bounds the open flows of one backend server.
	MaxFlows uint32 `msgpack:"m"`
}

// State is a whole desired state as operators set it.
type State struct {
	// Version orders states; a process never goes back to a lower one.
	Version  uint64    `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	// IdleTimeout is the age from which a silent flow may be forgotten.
	IdleTimeout time.Duration `msgpack:"i"`
}

// Table answers questions about one State.
type Table struct {
	state    State
	byFront  map[flow.Endpoint]*Route
	services map[string]*Service
	lowest   uint8
}

// NewTable indexes a state, which must not be changed afterwards.
func NewTable(s State) *Table {
	t := &Table{
		state:    s,
		byFront:  make(map[flow.Endpoint]*Route, len(s.Routes)),
		services: make(map[string]*Service, len(s.Services)),
	}
	for i := range s.Routes {
		t.byFront[s.Routes[i].ServiceAddr] = &s.Routes[i]
		t.lowest = max(t.lowest, s.Routes[i].Priority)
	}
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	return t
}

// Version returns the version of the state; zero means that none is in force.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.state.Version
}

// State returns the whole state. It must not be changed.
func (t *Table) State() State { return t.state }

// Lookup returns the route of an address, or nil.
func (t *Table) Lookup(front flow.Endpoint) *Route {
	if t == nil {
		return nil
	}
	return t.byFront[front]
}

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// LowestPriority returns the highest number that any route has as its priority.
func (t *Table) LowestPriority() uint8 {
	if t == nil {
		return 0
	}
	return t.lowest
}

// IdleTimeout returns the age from which a silent flow may be forgotten, or zero
// when no state is in force.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return 0
	}
	return t.state.IdleTimeout
}

// Pick returns the service for a new flow with the given hash. Every process
// picks the same one, so that copies of an opening packet agree.
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
