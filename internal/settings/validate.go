package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"
)

// Ranges of the limits.
const (
	minControlBytesPerSecond = 1_000
	maxControlBytesPerSecond = 10_000_000
	maxCapacity              = 65_535
	maxPeers                 = 64
	maxEndpoints             = 16
	minDrainTimeout          = time.Second
	maxDrainTimeout          = 24 * time.Hour
	minOperatorTimeout       = 100 * time.Millisecond
	maxOperatorTimeout       = 5 * time.Minute
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

const nameRemedy = "use 1 to 63 lower-case letters, digits and hyphens"

// Validate returns an error with the path of the first refused field, or nil.
func (b Balancer) Validate() error {
	if err := b.validateCommon(RoleBalancer); err != nil {
		return err
	}
	if err := validateAddress("fabricListen", b.FabricListen); err != nil {
		return err
	}
	if err := validateAddress("fabricAddress", b.FabricAddress); err != nil {
		return err
	}
	if b.FabricListen == b.Address {
		return invalid("fabricListen", "is the same as address", "use another UDP port for the packets of the fabric")
	}
	return nil
}

// Validate returns an error with the path of the first refused field, or nil.
func (a Agent) Validate() error {
	if err := a.validateCommon(RoleAgent); err != nil {
		return err
	}
	if len(a.Peers) == 0 {
		return missing("peers", "list the UDP address of at least one balancer")
	}
	if err := a.validateBackend(); err != nil {
		return err
	}
	if a.Capacity < 1 || a.Capacity > maxCapacity {
		return invalid("capacity", fmt.Sprintf("is %d", a.Capacity), fmt.Sprintf("use 1 to %d slots", maxCapacity))
	}
	if a.DrainTimeoutMillis < minDrainTimeout.Milliseconds() || a.DrainTimeoutMillis > maxDrainTimeout.Milliseconds() {
		return invalid("drainTimeoutMillis", fmt.Sprintf("is %d", a.DrainTimeoutMillis), "use 1000 (1 s) to 86400000 (24 h)")
	}
	return a.CallerTLS.validate("callerTLS")
}

// validateBackend requires that the backend server is configured or can announce itself.
func (a Agent) validateBackend() error {
	announced := a.Announce.IsValid()
	if announced {
		if err := validateAddress("announce", a.Announce); err != nil {
			return err
		}
		if !a.Announce.Addr().IsLoopback() {
			return invalid("announce", fmt.Sprintf("is %v", a.Announce), "use a loopback address, such as 127.0.0.1:7090")
		}
		if a.Announce == a.Admin || a.Announce == a.Stream {
			return invalid("announce", "is the same as admin or stream", "use different ports")
		}
	}
	if a.ServiceName == "" && !announced {
		return missing("serviceName", "name the service, or set announce so that the backend server can announce it")
	}
	if a.ServiceName != "" && !namePattern.MatchString(a.ServiceName) {
		return invalid("serviceName", fmt.Sprintf("is %q", a.ServiceName), nameRemedy)
	}
	if a.Backend == "" && !announced {
		return missing("backend", "give the backend server's URL, or set announce so that the backend server can announce it")
	}
	if a.Backend == "" {
		return nil
	}
	return ValidateBackendURL("backend", a.Backend)
}

// ValidateBackendURL returns an error unless text is an http URL on loopback. The path names the field in the error.
func ValidateBackendURL(path, text string) error {
	remedy := "give a loopback URL with an IP number, such as http://127.0.0.1:8080"
	host, err := parseBaseURL(path, text, remedy)
	if err != nil {
		return err
	}
	if !host.Addr().IsLoopback() || text[:5] != "http:" {
		return invalid(path, fmt.Sprintf("is %q", text), remedy)
	}
	return nil
}

// Validate returns an error with the path of the first refused field, or nil.
func (o Operator) Validate() error {
	if o.Role != RoleOperator {
		return invalid("role", fmt.Sprintf("is %q", string(o.Role)), `use "operator"`)
	}
	if err := validateEndpoints("endpoints", o.Endpoints); err != nil {
		return err
	}
	if err := validateToken(o.AdminToken); err != nil {
		return err
	}
	if o.AdminToken == "" && o.TLS.IsZero() {
		return missing("adminToken", "give the bearer token, or a client certificate in tls")
	}
	for i, endpoint := range o.Endpoints {
		if err := o.validateTransport(fmt.Sprintf("endpoints[%d]", i), endpoint); err != nil {
			return err
		}
	}
	if o.TimeoutMillis < minOperatorTimeout.Milliseconds() || o.TimeoutMillis > maxOperatorTimeout.Milliseconds() {
		return invalid("timeoutMillis", fmt.Sprintf("is %d", o.TimeoutMillis), "use 100 to 300000")
	}
	if o.TLS.IsZero() {
		return nil
	}
	return o.TLS.validate("tls", RoleOperator)
}

// validateTransport refuses endpoints to which the token would be sent without encryption.
func (o Operator) validateTransport(path, endpoint string) error {
	parsed, err := url.Parse(endpoint)
	if err != nil {
		return invalid(path, "is not a URL", "give a URL, such as https://10.0.0.1:7080")
	}
	if parsed.Scheme == "https" {
		if o.TLS.IsZero() {
			return missing("tls", "give the fleet's CA and a client certificate for https endpoints")
		}
		return nil
	}
	if host, err := netip.ParseAddrPort(parsed.Host); err != nil || !host.Addr().IsLoopback() {
		return invalid(path, "uses http to an address that is not loopback", "use https, so that the token is not sent without encryption")
	}
	return nil
}

// validateCommon returns an error for the first refused field that balancers and agents share.
func (c Common) validateCommon(role Role) error {
	if c.Role != role {
		return invalid("role", fmt.Sprintf("is %q", string(c.Role)), fmt.Sprintf("use %q, or give the file to the command of its role", string(role)))
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if !namePattern.MatchString(c.DataCentre) {
		return invalid("dataCentre", fmt.Sprintf("is %q", c.DataCentre), nameRemedy)
	}
	if !namePattern.MatchString(c.Region) {
		return invalid("region", fmt.Sprintf("is %q", c.Region), nameRemedy)
	}
	if err := validateEndpoints("store.endpoints", c.Store.Endpoints); err != nil {
		return err
	}
	if err := validatePacketKeys(c.PacketKeys); err != nil {
		return err
	}
	if err := c.TLS.validate("tls", role); err != nil {
		return err
	}
	if err := validateToken(c.AdminToken); err != nil {
		return err
	}
	if c.ControlBytesPerSecond < minControlBytesPerSecond || c.ControlBytesPerSecond > maxControlBytesPerSecond {
		return invalid("controlBytesPerSecond", fmt.Sprintf("is %d", c.ControlBytesPerSecond),
			fmt.Sprintf("use %d to %d", minControlBytesPerSecond, maxControlBytesPerSecond))
	}
	if !slices.Contains(logLevels, c.LogLevel) {
		return invalid("logLevel", fmt.Sprintf("is %q", c.LogLevel), `use "debug", "info", "warn" or "error"`)
	}
	return nil
}

func (c Common) validateAddresses() error {
	if err := validateAddress("address", c.Address); err != nil {
		return err
	}
	if !c.Address.Addr().Is4() {
		return invalid("address", fmt.Sprintf("is %v", c.Address), "use an IPv4 address; connection IDs cannot contain any other")
	}
	if err := validateAddress("stream", c.Stream); err != nil {
		return err
	}
	if c.Stream != c.Address {
		return invalid("stream", fmt.Sprintf("is %v, and address is %v", c.Stream, c.Address),
			"leave it out; peers use the UDP address of a process as its TCP address too")
	}
	if err := validateAddress("admin", c.Admin); err != nil {
		return err
	}
	if c.Admin == c.Stream {
		return invalid("admin", "is the same as stream", "use different ports")
	}
	if len(c.Peers) > maxPeers {
		return invalid("peers", fmt.Sprintf("has %d entries", len(c.Peers)), fmt.Sprintf("list at most %d; the process finds the others itself", maxPeers))
	}
	for i, peer := range c.Peers {
		if err := validateAddress(fmt.Sprintf("peers[%d]", i), peer); err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(path string, address netip.AddrPort) error {
	remedy := "give an address as IP:port, such as 10.1.2.3:7000"
	if !address.IsValid() {
		return missing(path, remedy)
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Is4In6() {
		return invalid(path, fmt.Sprintf("is %v", address), remedy+"; peers must be able to reach it")
	}
	return nil
}

func validateEndpoints(path string, endpoints []string) error {
	remedy := "give base URLs with IP numbers, such as http://10.0.0.5:2379"
	if len(endpoints) == 0 {
		return missing(path, remedy)
	}
	if len(endpoints) > maxEndpoints {
		return invalid(path, fmt.Sprintf("has %d entries", len(endpoints)), fmt.Sprintf("list at most %d", maxEndpoints))
	}
	for i, endpoint := range endpoints {
		if _, err := parseBaseURL(fmt.Sprintf("%s[%d]", path, i), endpoint, remedy); err != nil {
			return err
		}
	}
	return nil
}

// parseBaseURL parses a URL of the form http(s)://IP:port, optionally followed by a slash.
func parseBaseURL(path, text, remedy string) (netip.AddrPort, error) {
	parsed, err := url.Parse(text)
	if err != nil {
		return netip.AddrPort{}, invalid(path, fmt.Sprintf("is %q", text), remedy)
	}
	host, err := netip.ParseAddrPort(parsed.Host)
	bare := parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == "" && (parsed.Path == "" || parsed.Path == "/")
	if err != nil || host.Port() == 0 || !bare || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return netip.AddrPort{}, invalid(path, fmt.Sprintf("is %q", text), remedy)
	}
	return host, nil
}
