package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/almondledge/almondledge/internal/errkind"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// LoadBalancer reads and validates the settings of a balancer.
func LoadBalancer(file string) (Balancer, error) {
	raw, err := readFile(file)
	if err != nil {
		return Balancer{}, err
	}
	return ParseBalancer(raw, filepath.Dir(file))
}

// LoadAgent reads and validates the settings of an agent.
func LoadAgent(file string) (Agent, error) {
	raw, err := readFile(file)
	if err != nil {
		return Agent{}, err
	}
	return ParseAgent(raw, filepath.Dir(file))
}

// LoadOperator reads and validates the settings of the operators' commands.
func LoadOperator(file string) (Operator, error) {
	raw, err := readFile(file)
	if err != nil {
		return Operator{}, err
	}
	return ParseOperator(raw, filepath.Dir(file))
}

// Check validates a settings file of any role and returns the role.
func Check(file string) (Role, error) {
	raw, err := readFile(file)
	if err != nil {
		return "", err
	}
	dir := filepath.Dir(file)
	role := parseRole(raw)
	switch role {
	case RoleBalancer:
		_, err = ParseBalancer(raw, dir)
	case RoleAgent:
		_, err = ParseAgent(raw, dir)
	case RoleOperator:
		_, err = ParseOperator(raw, dir)
	default:
		err = invalid("role", "is missing or unknown", `use "balancer", "agent" or "operator"`)
	}
	return role, err
}

// ParseBalancer parses and validates the settings of a balancer. Relative paths of PEM files start at dir.
func ParseBalancer(raw []byte, dir string) (Balancer, error) {
	s := Balancer{Common: defaultCommon()}
	if err := decode(raw, &s); err != nil {
		return Balancer{}, err
	}
	if err := s.resolve(dir); err != nil {
		return Balancer{}, err
	}
	if err := s.Validate(); err != nil {
		return Balancer{}, err
	}
	return s, nil
}

// ParseAgent parses and validates the settings of an agent. Relative paths of PEM files start at dir.
func ParseAgent(raw []byte, dir string) (Agent, error) {
	s := Agent{
		Common:             defaultCommon(),
		Capacity:           DefaultCapacity,
		DrainTimeoutMillis: DefaultDrainTimeout.Milliseconds(),
	}
	if err := decode(raw, &s); err != nil {
		return Agent{}, err
	}
	if err := s.resolve(dir); err != nil {
		return Agent{}, err
	}
	if err := s.CallerTLS.resolve("callerTLS", dir); err != nil {
		return Agent{}, err
	}
	if err := s.Validate(); err != nil {
		return Agent{}, err
	}
	return s, nil
}

// ParseOperator parses and validates the settings of the operators' commands. Relative paths of PEM files start at dir.
func ParseOperator(raw []byte, dir string) (Operator, error) {
	s := Operator{TimeoutMillis: DefaultOperatorTimeout.Milliseconds()}
	if err := decode(raw, &s); err != nil {
		return Operator{}, err
	}
	if err := s.TLS.resolve("tls", dir); err != nil {
		return Operator{}, err
	}
	if err := s.Validate(); err != nil {
		return Operator{}, err
	}
	return s, nil
}

func defaultCommon() Common {
	return Common{
		Admin:                 netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), DefaultAdminPort),
		ControlBytesPerSecond: DefaultControlBytesPerSecond,
		LogLevel:              DefaultLogLevel,
	}
}

// resolve sets the fields that depend on other fields and on PEM files.
func (c *Common) resolve(dir string) error {
	if !c.Stream.IsValid() {
		c.Stream = c.Address
	}
	return c.TLS.resolve("tls", dir)
}

// parseRole returns the role in a settings file, or an empty string if the file
// has no role or is not JSON.
func parseRole(raw []byte) Role {
	var file struct {
		Role Role `json:"role"`
	}
	if json.Unmarshal(raw, &file) != nil {
		return ""
	}
	return file.Role
}

func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "settings file cannot be read", "give the path of a readable JSON file")
	}
	if info.Size() > maxFileBytes {
		return nil, errkind.New(errkind.Invalid, "settings file is longer than 1 MiB", "give the path of a settings file")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "settings file cannot be read", "give the path of a readable JSON file")
	}
	return raw, nil
}
