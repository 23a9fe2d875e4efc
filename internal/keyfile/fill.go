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

// FillOptions set the validity and the subject names of the certificates that Fill issues.
type FillOptions struct {
	// Now is the time of issue.
	Now time.Time
	// CallerNames are the host names by which callers reach the services.
	CallerNames []string
	// CallerAddresses are the IP addresses by which callers reach the services.
	CallerAddresses []netip.Addr
}

// field is one field of a settings file.
type field struct {
	name  string
	value json.RawMessage
}

// Fill returns a settings file with its placeholders replaced by keys and newly
// issued certificates. The template may be of any role. Fill only changes the
// top-level fields packetKeys, adminToken, tls and callerTLS, and only if their
// value is settings.Placeholder. It keeps the other fields and the order of fields.
func (k Keys) Fill(template []byte, options FillOptions) ([]byte, error) {
	fields, err := parseFields(template)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "the settings file is not a JSON object", "correct the syntax of the file")
	}
	role, err := roleOf(fields)
	if err != nil {
		return nil, err
	}
	generators := map[string]func() (any, error){
		"packetKeys": func() (any, error) { return k.PacketKeys, nil },
		"adminToken": func() (any, error) { return k.AdminToken, nil },
		"tls":        func() (any, error) { return k.processTLS(role, options) },
		"callerTLS":  func() (any, error) { return k.callerTLS(options) },
	}
	for i, f := range fields {
		generate, known := generators[f.name]
		if !known || string(f.value) != strconv.Quote(settings.Placeholder) {
			continue
		}
		value, err := generate()
		if err != nil {
			return nil, err
		}
		if fields[i].value, err = json.Marshal(value); err != nil {
			return nil, err
		}
	}
	return encode(fields)
}

// tlsFields has the JSON fields of settings.TLS and settings.CallerTLS, with the
// key as a plain string.
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
	pair, err := authority.IssueServiceCertificate(options.CallerNames, options.CallerAddresses, options.Now, CertificateLifetime)
	return tlsFields{Certificate: pair.Certificate, Key: pair.Key}, err
}

// roleOf returns the role that a settings file names.
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

// parseFields returns the fields of a JSON object in the order of the text.
func parseFields(raw []byte) ([]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil, errkind.New(errkind.Invalid, "the text does not start with an opening brace", "write the settings as one JSON object")
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

// encode returns the fields as an indented JSON object.
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
