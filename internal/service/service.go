// Package service defines the services that operators create, with their limits. It
// contains data types and validation only.
package service

import (
	"net/netip"
	"slices"
	"time"
)

// ID identifies a service in connection IDs and envelopes. Zero is not a valid ID.
type ID uint16

// Spec is the complete configuration of one service, as a change ticket contains it.
type Spec struct {
	// Name identifies the service to operators: lower-case letters, digits and hyphens.
	Name string `json:"name" msgpack:"name"`
	// ID identifies the service in packets. It never changes and is never reused.
	ID ID `json:"id" msgpack:"id"`
	// Address is the address to which callers send packets. It never changes.
	Address netip.AddrPort `json:"address" msgpack:"address"`
	// HostNames are the host names that requests may name. Empty allows any.
	HostNames []string `json:"hostNames,omitempty" msgpack:"host_names,omitempty"`
	// DataCentres are the data centres whose backend servers may serve the service.
	// Empty allows all.
	DataCentres []string `json:"dataCentres,omitempty" msgpack:"data_centres,omitempty"`
	// BackendServers are the networks whose backend servers may serve the service.
	BackendServers []netip.Prefix `json:"backendServers" msgpack:"backend_servers"`
	// Draining lists the addresses of agents whose backend servers must get no new work.
	Draining []netip.AddrPort `json:"draining,omitempty" msgpack:"draining,omitempty"`
	// Limits bound the work that each backend server and each balancer accepts.
	Limits Limits `json:"limits" msgpack:"limits"`
	// Repeat defines which requests may run more than once.
	Repeat RepeatPolicy `json:"repeat" msgpack:"repeat"`
}

// Limits bound the work of a service.
type Limits struct {
	// Connections is the number of open flows that one backend server accepts.
	Connections int `json:"connections" msgpack:"connections"`
	// Slots is the number of requests that one backend server runs at a time.
	Slots int `json:"slots" msgpack:"slots"`
	// QueueLength is the number of requests that may wait for a slot of one backend server.
	QueueLength int `json:"queueLength" msgpack:"queue_length"`
	// RequestsPerSecond bounds the requests that one backend server admits. Zero means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" msgpack:"requests_per_second,omitempty"`
	// FlowsPerSecond bounds the new flows that one balancer admits. Zero means no limit.
	FlowsPerSecond float64 `json:"flowsPerSecond,omitempty" msgpack:"flows_per_second,omitempty"`
	// DeadlineMillis bounds the time from the receipt of a request to the start of its
	// answer, in milliseconds.
	DeadlineMillis int64 `json:"deadlineMillis" msgpack:"deadline_millis"`
}

// Deadline returns DeadlineMillis as a duration.
func (l Limits) Deadline() time.Duration {
	return time.Duration(l.DeadlineMillis) * time.Millisecond
}

// RepeatPolicy defines which requests may run more than once.
type RepeatPolicy struct {
	// RequireKey makes agents refuse requests that may not be repeated, unless the
	// requests carry an idempotency key that the system issued.
	RequireKey bool `json:"requireKey" msgpack:"require_key"`
	// RepeatablePaths are path prefixes whose requests may be repeated with any method.
	RepeatablePaths []string `json:"repeatablePaths,omitempty" msgpack:"repeatable_paths,omitempty"`
}

// Admits reports whether the backend server of the agent at addr in dataCentre may
// serve the service.
func (s *Spec) Admits(addr netip.AddrPort, dataCentre string) bool {
	if len(s.DataCentres) > 0 && !slices.Contains(s.DataCentres, dataCentre) {
		return false
	}
	return slices.ContainsFunc(s.BackendServers, func(network netip.Prefix) bool {
		return network.Contains(addr.Addr())
	})
}

// Drains reports whether the backend server of the agent at addr must get no new work.
func (s *Spec) Drains(addr netip.AddrPort) bool {
	return slices.Contains(s.Draining, addr)
}
