package service

import (
	"fmt"
	"regexp"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Bounds of the limits in a Spec.
const (
	maxConnections    = 1_000_000
	maxSlots          = 100_000
	maxQueueLength    = 1_000_000
	maxDeadlineMillis = 24 * 60 * 60 * 1000
)

// namePattern matches DNS labels in lower case.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate returns an error of kind errkind.Invalid that names the first invalid
// field and its remedy, or nil.
func (s Spec) Validate() error {
	if !namePattern.MatchString(s.Name) {
		return invalid("name", s.Name, "use 1 to 63 lower-case letters, digits and hyphens")
	}
	if s.ID == 0 {
		return invalid("id", s.ID, "choose a number from 1 to 65535 that no other service has")
	}
	if !s.Address.IsValid() || s.Address.Port() == 0 || s.Address.Addr().IsUnspecified() {
		return invalid("address", s.Address, "give an IP address and a port, such as 127.0.10.1:443")
	}
	if len(s.BackendServers) == 0 {
		return invalid("backendServers", s.BackendServers, "list at least one network, such as 10.1.0.0/16")
	}
	for i, prefix := range s.BackendServers {
		if !prefix.IsValid() {
			return invalid(fmt.Sprintf("backendServers[%d]", i), prefix, "write the network as address/bits")
		}
	}
	for i, addr := range s.Draining {
		if !addr.IsValid() {
			return invalid(fmt.Sprintf("draining[%d]", i), addr, "write the agent address as IP:port")
		}
	}
	return s.Limits.validate()
}

func (l Limits) validate() error {
	if l.Connections < 1 || l.Connections > maxConnections {
		return invalid("limits.connections", l.Connections, fmt.Sprintf("use 1 to %d", maxConnections))
	}
	if l.Slots < 1 || l.Slots > maxSlots {
		return invalid("limits.slots", l.Slots, fmt.Sprintf("use 1 to %d", maxSlots))
	}
	if l.QueueLength < 0 || l.QueueLength > maxQueueLength {
		return invalid("limits.queueLength", l.QueueLength, fmt.Sprintf("use 0 to %d", maxQueueLength))
	}
	if l.RequestsPerSecond < 0 {
		return invalid("limits.requestsPerSecond", l.RequestsPerSecond, "use 0 for no limit, or a positive number")
	}
	if l.FlowsPerSecond < 0 {
		return invalid("limits.flowsPerSecond", l.FlowsPerSecond, "use 0 for no limit, or a positive number")
	}
	if l.DeadlineMillis < 1 || l.DeadlineMillis > maxDeadlineMillis {
		return invalid("limits.deadlineMillis", l.DeadlineMillis, fmt.Sprintf("use 1 to %d", maxDeadlineMillis))
	}
	return nil
}

func invalid(field string, value any, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("service field %s has the bad value %v", field, value), remedy)
}
