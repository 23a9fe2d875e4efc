package keyfile

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/settings"
)

// CertificateLifetime is how long the certificates of processes are valid.
const CertificateLifetime = 365 * 24 * time.Hour

// FillOptions say what callers' certificates are for.
type FillOptions struct {
	// Now is the time at which certificates begin.
	Now time.Time
	// CallerNames are the host names that callers use.
	CallerNames []string
	// CallerAddresses are the addresses that callers use.
	CallerAddresses []netip.Addr
}

// field is one field of a settings file, in the order of the file.
type field struct {
	name  string
	value json.RawMessage
}

// Fill replaces the placeholders of a settings file of any role by keys and
// newly issued certificates. It leaves the other fields as they are.
func (k Keys) Fill(template []byte, options FillOptions) ([]byte, error) {
	fields, err := fieldsOf(template)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "settings are not a JSON object", "correct the syntax of the file")
	}
	role, err := roleOf(fields)
	if err != nil {
		return nil, err
	}
	filled := map[string]func() (any, error){
		"packetKeys": func() (any, error) { return k.PacketKeys, nil },
		"adminToken": func() (any, error) { return k.AdminToken, nil },
		"tls":        func() (any, error) { return k.processTLS(role, options) },
		"callerTLS":  func() (any, error) { return k.callerTLS(options) },
	}
	for i, f := range fields {
		build, known := filled[f.name]
		if !known || string(f.value) != strconv.Quote(settings.Placeholder) {
			continue
		}
		value, err := build()
		if err != nil {
			return nil, err
		}
		if fields[i].value, err = json.Marshal(value); err != nil {
			return nil, err
		}
	}
	return encode(fields)
}

// tlsFields is settings.TLS with a key that prints.
type tlsFields struct {
	CA          string `json:"ca,omitempty"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (k Keys) processTLS(role pki.Role, options FillOptions) (any, error) {
	authority, err := pki.LoadAuthority(pki.KeyPair(k.Authority))
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(role, options.Now, CertificateLifetime)
	return tlsFields{CA: k.Authority.Certificate, Certificate: pair.Certificate, Key: pair.Key}, err
}

func (k Keys) callerTLS(options FillOptions) (any, error) {
	authority, err := pki.LoadAuthority(pki.KeyPair(k.Authority))
	if err != nil {
		return nil, err
	}
	pair, err := authority.IssueCaller(options.CallerNames, options.CallerAddresses, options.Now, CertificateLifetime)
	return tlsFields{Certificate: pair.Certificate, Key: pair.Key}, err
}

func roleOf(fields []field) (pki.Role, error) {
	for _, f := range fields {
		var role string
		if f.name == "role" && json.Unmarshal(f.value, &role) == nil {
			switch settings.Role(role) {
			case settings.RoleBalancer, settings.RoleAgent, settings.RoleOperator:
				return pki.Role(role), nil
			}
		}
	}
	return "", errkind.New(errkind.Invalid, "settings field role is missing or unknown", `use "balancer", "agent" or "operator"`)
}

// fieldsOf reads the fields of a JSON object in their order.
func fieldsOf(raw []byte) ([]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil, errkind.New(errkind.Invalid, "no opening brace", "write an object in braces")
	}
	var fields []field
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		f := field{}
		f.name, _ = name.(string)
		if err := decoder.Decode(&f.value); err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	_, err := decoder.Token()
	return fields, err
}

// encode writes the fields as an indented JSON object.
func encode(fields []field) ([]byte, error) {
	var compact bytes.Buffer
	compact.WriteByte('{')
	for i, f := range fields {
		if i > 0 {
			compact.WriteByte(',')
		}
		name, err := json.Marshal(f.name)
		if err != nil {
			return nil, err
		}
		compact.Write(name)
		compact.WriteByte(':')
		compact.Write(f.value)
	}
	compact.WriteByte('}')
	var indented bytes.Buffer
	if err := json.Indent(&indented, compact.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}
