// Package settings reads the JSON settings of each role into validated structs.
//
// Every instance learns its addresses, its data centre and its keys from one
// settings file. A file is parsed once; unknown fields, bad addresses, missing
// keys and impossible limits are refused with the path of the field and the
// remedy, as errors of kind errkind.Invalid.
package settings

import (
	"net/netip"
	"time"
)

// Role is the role of the process that a settings file is for.
type Role string

// Roles of a settings file.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Defaults of the optional fields.
const (
	// DefaultControlBytesPerSecond bounds the control traffic that one process sends.
	DefaultControlBytesPerSecond = 20_000
	// DefaultLogLevel is the level from which events are logged.
	DefaultLogLevel = "info"
	// DefaultCapacity is the relative weight of a backend server, in slots.
	DefaultCapacity = 5
	// DefaultDrainTimeout bounds a graceful stop of an agent.
	DefaultDrainTimeout = time.Hour
	// DefaultOperatorTimeout bounds one call of the administration API. It leaves
	// a balancer time to ask the whole fleet.
	DefaultOperatorTimeout = 30 * time.Second
	// DefaultAdminPort is the port of the administration API on loopback.
	DefaultAdminPort = 7080
)

// Common holds the fields that balancers and agents share.
type Common struct {
	// Role is "balancer" or "agent" and tells how to read the other fields. Required.
	Role Role `json:"role"`
	// Address is the UDP address (IPv4:port) of envelopes and control datagrams.
	// It identifies the process to its peers. Required.
	Address netip.AddrPort `json:"address"`
	// Stream is the TCP address (IP:port) of state transfer and relayed requests.
	// Default: the same IP and port as Address, which a balancer must keep, because
	// processes that contact it first know its Address only.
	Stream netip.AddrPort `json:"stream"`
	// Admin is the TCP address of metrics, health and the administration API.
	// Default: 127.0.0.1:7080. An address that is not loopback is served over TLS only.
	Admin netip.AddrPort `json:"admin"`
	// DataCentre is the data centre that the instance runs in. Required.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre. Required.
	Region string `json:"region"`
	// Peers are the UDP addresses of balancers for first contact. An agent needs
	// at least one; a balancer without any waits to be found. Default: none.
	Peers []netip.AddrPort `json:"peers"`
	// Store says where the platform's key-value service is. Required.
	Store Store `json:"store"`
	// PacketKeys are the fleet's keys for envelopes, connection IDs and
	// idempotency keys. The first is current; the others are accepted. Required.
	PacketKeys []PacketKey `json:"packetKeys"`
	// TLS identifies the process on the TCP links between processes. Required.
	TLS TLS `json:"tls"`
	// AdminToken is the bearer token of the administration API, at least 16
	// characters. Default: none, and then only client certificates are accepted.
	AdminToken Token `json:"adminToken"`
	// ControlBytesPerSecond bounds the control traffic that the process sends.
	// Default: 20000.
	ControlBytesPerSecond int `json:"controlBytesPerSecond"`
	// LogLevel is "debug", "info", "warn" or "error". Default: "info".
	LogLevel string `json:"logLevel"`
}

// Store says where the platform's key-value service is.
type Store struct {
	// Endpoints are the base URLs of the service, with IP numbers, such as
	// http://10.0.0.5:2379. Required.
	Endpoints []string `json:"endpoints"`
}

// Balancer is the settings of a balancer.
type Balancer struct {
	Common
	// FabricListen is the UDP address on which the balancer receives the packets
	// that the fabric sprays. Required.
	FabricListen netip.AddrPort `json:"fabricListen"`
	// FabricAddress is the UDP address to which the balancer sends replies for
	// callers. Required.
	FabricAddress netip.AddrPort `json:"fabricAddress"`
}

// Agent is the settings of an agent.
type Agent struct {
	Common
	// ServiceName is the service that the backend server serves. Default: none;
	// the backend server then announces it on Announce.
	ServiceName string `json:"serviceName"`
	// Backend is the loopback URL of the backend server, such as
	// http://127.0.0.1:8080. Default: none; the backend server then announces it.
	Backend string `json:"backend"`
	// Announce is the loopback TCP address on which the backend server announces
	// itself with POST /announce. Default: none; ServiceName and Backend are then required.
	Announce netip.AddrPort `json:"announce"`
	// Capacity is the relative weight of the backend server, in slots. Default: 5.
	Capacity int `json:"capacity"`
	// CallerTLS is the certificate that callers see over HTTP/3. Required.
	CallerTLS CallerTLS `json:"callerTLS"`
	// DrainTimeoutMillis bounds a graceful stop, in milliseconds. Default: 3600000.
	DrainTimeoutMillis int64 `json:"drainTimeoutMillis"`
}

// DrainTimeout returns the bound of a graceful stop.
func (a Agent) DrainTimeout() time.Duration {
	return time.Duration(a.DrainTimeoutMillis) * time.Millisecond
}

// Operator is the settings of the operators' commands.
type Operator struct {
	// Role is "operator". Required.
	Role Role `json:"role"`
	// Endpoints are the base URLs of administration APIs of balancers, tried in
	// order, such as http://127.0.0.1:7080. Required.
	Endpoints []string `json:"endpoints"`
	// AdminToken is the bearer token. Default: none; TLS is then required.
	AdminToken Token `json:"adminToken"`
	// TLS holds the fleet CA and a client certificate of the operator.
	// Default: none; only http endpoints on loopback work without.
	TLS TLS `json:"tls"`
	// TimeoutMillis bounds one call, in milliseconds. Default: 30000.
	TimeoutMillis int64 `json:"timeoutMillis"`
}

// Timeout returns the bound of one call.
func (o Operator) Timeout() time.Duration {
	return time.Duration(o.TimeoutMillis) * time.Millisecond
}
