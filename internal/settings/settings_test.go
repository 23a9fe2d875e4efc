package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/pki"
)

// object is the content of a settings file.
type object = map[string]any

// example returns the example file of a role with its placeholders filled in.
func example(t testing.TB, role Role) object {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", string(role)+".json"))
	if err != nil {
		t.Fatal(err)
	}
	file := object{}
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	authority, err := pki.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue(pki.Role(role), time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	file["adminToken"] = strings.Repeat("t", minTokenLength)
	file["tls"] = object{"ca": authority.KeyPair().Certificate, "certificate": pair.Certificate, "key": pair.Key}
	if role != RoleOperator {
		file["packetKeys"] = []any{packetKey(0, 1), packetKey(1, 2)}
	}
	if role == RoleAgent {
		file["callerTLS"] = object{"certificate": pair.Certificate, "key": pair.Key}
	}
	return file
}

// packetKey returns a packet key whose secret ends with a byte.
func packetKey(version int, last byte) object {
	secret := append(bytes.Repeat([]byte{9}, SecretBytes-1), last)
	return object{"version": version, "secret": Secret(secret)}
}

// checkFile writes a settings file and returns the error of its check.
func checkFile(t testing.TB, file object) error {
	t.Helper()
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Check(path)
	return err
}

func TestExamples(t *testing.T) {
	for _, role := range []Role{RoleBalancer, RoleAgent, RoleOperator} {
		t.Run(string(role), func(t *testing.T) {
			is := is.New(t)
			is.NoErr(checkFile(t, example(t, role)))
			found, err := Check(filepath.Join("..", "..", "examples", string(role)+".json"))
			is.Equal(found, role)
			is.True(strings.Contains(err.Error(), Placeholder)) // placeholders are refused
		})
	}
}

func TestRefusedFields(t *testing.T) {
	const balancer, agent, operator = RoleBalancer, RoleAgent, RoleOperator
	cases := []struct {
		role  Role
		path  string // of the refused field
		field string // the field that is set to value; empty means path
		value any    // nil removes the field
	}{
		{balancer, "role", "", "fabric"},
		{balancer, "colour", "", "green"},
		{balancer, "Address", "", "127.0.0.1:1"}, // names match exactly
		{balancer, "address", "", nil},
		{balancer, "address", "", 7},
		{balancer, "address", "", "localhost:7000"},
		{balancer, "address", "", "127.0.0.1"},
		{balancer, "address", "", "127.0.0.1:0"},
		{balancer, "address", "", "0.0.0.0:7000"},
		{balancer, "address", "", "224.0.0.1:7000"},
		{balancer, "address", "", "[::1]:7000"},
		{balancer, "address", "", "[::ffff:127.0.0.1]:7000"},
		{balancer, "stream", "", "127.0.1.1:7001"}, // differs from address
		{agent, "stream", "", "127.0.1.1:0"},
		{agent, "stream", "", "[::ffff:127.0.0.1]:7001"},
		{balancer, "admin", "", "127.0.1.1:7000"}, // same as stream
		{balancer, "dataCentre", "", nil},
		{balancer, "dataCentre", "", "Çeşme"},
		{balancer, "region", "", "a b"},
		{balancer, "peers", "", "127.0.0.1:1"},
		{balancer, "peers[1]", "peers", []any{"127.0.0.1:1", "127.0.0.1:0"}},
		{balancer, "peers", "", tooManyPeers()},
		{balancer, "store.endpoints", "store", object{"endpoints": []any{}}},
		{balancer, "store", "", []any{}},
		{balancer, "store.url", "store", object{"url": "x"}},
		{balancer, "store.endpoints[0]", "store", object{"endpoints": []any{"http://store.test:2379"}}},
		{balancer, "store.endpoints[0]", "store", object{"endpoints": []any{"ftp://127.0.0.1:2379"}}},
		{balancer, "store.endpoints[0]", "store", object{"endpoints": []any{"http://user:pw@127.0.0.1:2379"}}},
		{balancer, "store.endpoints[0]", "store", object{"endpoints": []any{"http://127.0.0.1:2379/v3"}}},
		{balancer, "packetKeys", "", nil},
		{balancer, "packetKeys[0].version", "packetKeys", []any{packetKey(8, 1)}},
		{balancer, "packetKeys[0].version", "packetKeys", []any{packetKey(-1, 1)}},
		{balancer, "packetKeys[1].version", "packetKeys", []any{packetKey(1, 1), packetKey(1, 2)}},
		{balancer, "packetKeys[0].secret", "packetKeys", []any{object{"version": 0}}},
		{balancer, "packetKeys[0].secret", "packetKeys", []any{object{"version": 0, "secret": "c2hvcnQ="}}},
		{balancer, "packetKeys[0].secret", "packetKeys", []any{object{"version": 0, "secret": "not base64"}}},
		{balancer, "packetKeys[0].secret", "packetKeys", []any{packetKey(0, 9)}}, // all bytes alike
		{balancer, "packetKeys[0].key", "packetKeys", []any{object{"key": ""}}},
		{balancer, "tls.ca", "tls", object{}},
		{balancer, "tls.certificate", "tls.certificate", nil},
		{balancer, "tls.key", "tls.key", nil},
		{balancer, "tls.key", "tls.key", "no-such-file.pem"},
		{balancer, "tls.ca", "tls.ca", "-----BEGIN nothing"},
		{balancer, "tls.certificate", "tls", example(t, RoleAgent)["tls"]}, // role of an agent
		{balancer, "adminToken", "", "short"},
		{balancer, "adminToken", "", "white space in the token"},
		{balancer, "controlBytesPerSecond", "", 999},
		{balancer, "controlBytesPerSecond", "", 1.5},
		{balancer, "controlBytesPerSecond", "", "20000"},
		{balancer, "logLevel", "", "loud"},
		{balancer, "logLevel", "", json.RawMessage("null")},
		{balancer, "fabricListen", "", nil},
		{balancer, "fabricListen", "", "127.0.1.1:7000"}, // same as address
		{balancer, "fabricAddress", "", nil},
		{balancer, "backend", "", "http://127.0.0.1:1"}, // field of another role
		{agent, "peers", "", nil},
		{agent, "serviceName", "", nil},
		{agent, "serviceName", "", "-"},
		{agent, "backend", "", nil},
		{agent, "backend", "", "http://10.0.0.1:8080"},
		{agent, "backend", "", "https://127.0.0.1:8080"},
		{agent, "announce", "", "10.0.0.1:7090"},
		{agent, "announce", "", "127.0.2.1:7080"}, // same as admin
		{agent, "capacity", "", 0},
		{agent, "capacity", "", 65_536},
		{agent, "callerTLS.certificate", "callerTLS", object{}},
		{agent, "drainTimeoutMillis", "", 0},
		{agent, "drainTimeoutMillis", "", 86_400_001},
		{operator, "endpoints", "", nil},
		{operator, "endpoints[0]", "endpoints", []any{"http://10.0.0.1:7080"}}, // token without encryption
		{operator, "tls", "", nil},                                             // https without a certificate authority
		{operator, "timeoutMillis", "", 0},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s/%s=%v", c.role, c.path, c.value), func(t *testing.T) {
			is := is.New(t)
			file := example(t, c.role)
			if c.path == "tls" && c.role == operator {
				file["endpoints"] = []any{"https://10.0.0.1:7080"}
			}
			field := c.field
			if field == "" {
				field = c.path
			}
			setField(file, field, c.value)

			err := checkFile(t, file)
			var refused *errkind.Error
			is.True(errors.As(err, &refused))
			is.Equal(refused.Kind, errkind.Invalid)
			is.True(strings.HasPrefix(refused.Message, "settings field "+c.path+" ")) // contains the path
			is.True(refused.Remedy != "")
		})
	}
}

// setField sets a field or a field of an inner object. A nil value removes the
// field.
func setField(file object, field string, value any) {
	if outer, inner, nested := strings.Cut(field, "."); nested {
		file, field = file[outer].(object), inner
	}
	if value == nil {
		delete(file, field)
		return
	}
	file[field] = value
}

// tooManyPeers returns one peer more than allowed.
func tooManyPeers() []string {
	var peers []string
	for i := range maxPeers + 1 {
		peers = append(peers, fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	return peers
}

func TestMalformedFiles(t *testing.T) {
	cases := []struct{ raw, problem string }{
		{"", "not JSON"},
		{"{", "not JSON"},
		{`{"role":}`, "not JSON"},
		{"[]", "not an object"},
		{"null", "not an object"},
		{`{"role":"balancer"} {}`, "have data after"},
		{`{"role":"balancer"}x`, "have data after"},
		{`{"role":"balancer","role":"balancer"}`, "role is given twice"},
	}
	for _, c := range cases {
		t.Run(c.raw, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseBalancer([]byte(c.raw), "")
			is.True(errkind.Is(err, errkind.Invalid))
			is.True(strings.Contains(err.Error(), c.problem))
		})
	}
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	file := example(t, RoleAgent)
	for _, field := range []string{"admin", "stream", "adminToken", "controlBytesPerSecond", "logLevel", "capacity", "drainTimeoutMillis", "serviceName", "backend"} {
		delete(file, field)
	}
	file["announce"] = "127.0.0.1:7090" // makes serviceName and backend optional
	raw, err := json.Marshal(file)
	is.NoErr(err)
	agent, err := ParseAgent(raw, "")
	is.NoErr(err)
	is.Equal(agent.Admin.String(), "127.0.0.1:7080")
	is.Equal(agent.Stream, agent.Address)
	is.Equal(agent.ControlBytesPerSecond, DefaultControlBytesPerSecond)
	is.Equal(agent.LogLevel, "info")
	is.Equal(agent.Capacity, DefaultCapacity)
	is.Equal(agent.DrainTimeout(), time.Hour)
}

func TestPEMPathsAreRelativeToTheSettingsFile(t *testing.T) {
	is := is.New(t)
	file := example(t, RoleBalancer)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "ca.pem"), []byte(file["tls"].(object)["ca"].(string)), 0o600))
	setField(file, "tls.ca", "ca.pem")
	raw, err := json.Marshal(file)
	is.NoErr(err)
	balancer, err := ParseBalancer(raw, dir)
	is.NoErr(err)
	is.True(strings.Contains(balancer.TLS.CA, "BEGIN CERTIFICATE"))
	for _, verb := range []string{"%v", "%+v", "%#v", "%s"} { // secrets are not printed
		printed := fmt.Sprintf(verb, balancer)
		is.True(!strings.Contains(printed, "PRIVATE KEY"))
		is.True(!strings.Contains(printed, string(balancer.AdminToken)))
		is.True(!strings.Contains(printed, "9 9 9") && !strings.Contains(printed, "0x9, 0x9")) // bytes of a packet key
	}
}

func FuzzParse(f *testing.F) {
	for _, role := range []Role{RoleBalancer, RoleAgent, RoleOperator} {
		raw, err := json.Marshal(example(f, role))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"peers":[null],"store":{"endpoints":"x"},"packetKeys":[{}]}`))
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, err := range []error{errorOf(ParseBalancer(raw, dir)), errorOf(ParseAgent(raw, dir)), errorOf(ParseOperator(raw, dir))} {
			if err != nil && !errkind.Is(err, errkind.Invalid) {
				t.Errorf("error without the kind invalid: %v", err)
			}
		}
	})
}

func errorOf[T any](_ T, err error) error { return err }
