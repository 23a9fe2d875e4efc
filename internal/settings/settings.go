// Package settings reads the JSON settings of each role into validated structs.
//
// Every process has one settings file with its addresses, its data centre and its keys. Unknown fields, invalid
// addresses, missing keys and limits out of range are refused with an error of kind errkind.Invalid that contains the
// path of the field and the remedy.
package settings

import (
	"net/netip"
	"time"
)

// Role is the role of a process.
type Role string

// Roles that have a settings file.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Defaults of the optional fields.
const (
	// DefaultControlBytesPerSecond limits the control traffic that one process sends.
	DefaultControlBytesPerSecond = 20_000
	// DefaultLogLevel is the default of the lowest level that is logged.
	DefaultLogLevel = "info"
	// DefaultCapacity is the default relative weight of a backend server in slots.
	DefaultCapacity = 5
	// DefaultDrainTimeout limits the duration of a graceful stop of an agent.
	DefaultDrainTimeout = time.Hour
	// DefaultOperatorTimeout limits the duration of one call of the administration API. It is long enough for a
	// balancer to query the whole fleet.
	DefaultOperatorTimeout = 30 * time.Second
	// DefaultAdminPort is the default port of the administration API on the loopback address.
	DefaultAdminPort = 7080
)

// Common holds the fields that balancers and agents share.
type Common struct {
	// Role is "balancer" or "agent" and determines the other fields. Required.
	Role Role `json:"role"`
	// Address is the UDP address (IPv4:port) of envelopes and control datagrams.
	// It identifies the process to its peers. Required.
	Address netip.AddrPort `json:"address"`
	// Stream is the TCP address (IP:port) of state transfer and relayed requests.
	// Default: the same IP and port as Address. No other value is accepted,
	// because at first contact other processes know only Address.
	Stream netip.AddrPort `json:"stream"`
	// Admin is the TCP address of metrics, health and the administration API.
	// Default: 127.0.0.1:7080. On an address that is not loopback only TLS is accepted.
	Admin netip.AddrPort `json:"admin"`
	// DataCentre is the data centre of the instance. Required.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre. Required.
	Region string `json:"region"`
	// Peers are the UDP addresses of balancers for first contact. An agent needs
	// at least one address. A balancer without peers waits for other processes to
	// contact it. Default: none.
	Peers []netip.AddrPort `json:"peers"`
	// Store locates the platform's key-value service. Required.
	Store Store `json:"store"`
	// PacketKeys are the fleet's keys for envelopes, connection IDs and
	// idempotency keys. The first key is the current key; the other keys are
	// accepted too. Required.
	PacketKeys []PacketKey `json:"packetKeys"`
	// TLS is the identity of the process on TCP connections between processes. Required.
	TLS TLS `json:"tls"`
	// AdminToken is the bearer token of the administration API, at least 16 characters. Default: none; only client
	// certificates are then accepted.
	AdminToken Token `json:"adminToken"`
	// ControlBytesPerSecond limits the control traffic that the process sends. Default: 20000.
	ControlBytesPerSecond int `json:"controlBytesPerSecond"`
	// LogLevel is "debug", "info", "warn" or "error". Default: "info".
	LogLevel string `json:"logLevel"`
}

// Store locates the platform's key-value service.
type Store struct {
	// Endpoints are the base URLs of the service, with IP numbers, such as
	// http://10.0.0.5:2379. Required.
	Endpoints []string `json:"endpoints"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// FabricListen is the UDP address on which the balancer receives the packets that the fabric distributes over
	// the balancers. Required.
	FabricListen netip.AddrPort `json:"fabricListen"`
	// FabricAddress is the UDP address to which the balancer sends replies for
	// callers. Required.
	FabricAddress netip.AddrPort `json:"fabricAddress"`
}

// Agent holds the settings of an agent.
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
	// Capacity is the relative weight of the backend server in slots. Default: 5.
	Capacity int `json:"capacity"`
	// CallerTLS is the certificate that callers receive over HTTP/3. Required.
	CallerTLS CallerTLS `json:"callerTLS"`
	// DrainTimeoutMillis limits the duration of a graceful stop in milliseconds. Default: 3600000.
	DrainTimeoutMillis int64 `json:"drainTimeoutMillis"`
}

// DrainTimeout returns the longest duration of a graceful stop.
func (a Agent) DrainTimeout() time.Duration {
	return time.Duration(a.DrainTimeoutMillis) * time.Millisecond
}

// Operator holds the settings of the operators' commands.
type Operator struct {
	// Role is "operator". Required.
	Role Role `json:"role"`
	// Endpoints are the base URLs of administration APIs of balancers, tried in
	// order, such as http://127.0.0.1:7080. Required.
	Endpoints []string `json:"endpoints"`
	// AdminToken is the bearer token of the administration API. Default: none; TLS is then required.
	AdminToken Token `json:"adminToken"`
	// TLS holds the fleet CA and a client certificate of the operator.
	// Default: none; only http endpoints on loopback are then accepted.
	TLS TLS `json:"tls"`
	// TimeoutMillis limits the duration of one call in milliseconds. Default: 30000.
	TimeoutMillis int64 `json:"timeoutMillis"`
}

// Timeout returns the longest duration of one call.
func (o Operator) Timeout() time.Duration {
	return time.Duration(o.TimeoutMillis) * time.Millisecond
}
