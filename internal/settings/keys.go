package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/pki"
)

// Sizes and versions of keys.
const (
	// SecretBytes is the length of a packet key's secret in bytes.
	SecretBytes = 32
	// MaxKeyVersion is the highest version of a packet key. Packets have three bits for it.
	MaxKeyVersion = 7
	// minTokenLength is the minimum length of the administration token in characters.
	minTokenLength = 16
	// maxPEMBytes is the maximum size of a PEM file.
	maxPEMBytes = 1 << 20
)

// Placeholder marks the fields that the command "almondledge settings keys" fills
// in. No field accepts it as a setting.
const Placeholder = "GENERATE"

// redacted is printed in place of a secret.
const redacted = "(secret)"

const keysRemedy = "generate keys with: almondledge settings keys"

// PacketKey is one version of the fleet's packet key.
type PacketKey struct {
	// Version is 0 to 7 and is sent in each packet. The secret of a version in use must not change.
	// Required.
	Version int `json:"version"`
	// Secret is 32 random bytes in base64. Required.
	Secret Secret `json:"secret"`
}

// Secret is key material. It is printed as a fixed text.
type Secret []byte

// String hides the secret.
func (Secret) String() string { return redacted }

// GoString hides the secret.
func (Secret) GoString() string { return redacted }

// MarshalText returns the secret in base64.
func (s Secret) MarshalText() ([]byte, error) {
	return base64.StdEncoding.AppendEncode(nil, s), nil
}

// UnmarshalText reads a secret in base64.
func (s *Secret) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("not base64")
	}
	*s = raw
	return nil
}

// Token is a bearer token or a private key. It is printed as a fixed text.
type Token string

// String hides the token.
func (Token) String() string { return redacted }

// GoString hides the token.
func (Token) GoString() string { return redacted }

// TLS is the identity of a process towards its peers. Each field is PEM text or the path of a PEM file, relative to the
// settings file. The Load and Parse functions replace paths by the content of the files.
type TLS struct {
	// CA holds the certificates of the certificate authorities that the fleet trusts.
	CA string `json:"ca"`
	// Certificate is the certificate of this process. It contains the role as a URI.
	Certificate string `json:"certificate"`
	// Key is the private key of the certificate.
	Key Token `json:"key"`
}

// IsZero reports whether no field is set.
func (t TLS) IsZero() bool { return t == TLS{} }

// CallerTLS is the certificate that callers receive. Each field is PEM text or the path of a PEM file, relative to the
// settings file.
type CallerTLS struct {
	// Certificate is the certificate chain. Required.
	Certificate string `json:"certificate"`
	// Key is the private key. Required.
	Key Token `json:"key"`
}

// readPEM returns text itself if it is PEM or empty, and otherwise the content of the file with that path. The path
// names the field in errors.
func readPEM(path, text, dir string) (string, error) {
	if text == "" || strings.Contains(text, "-----BEGIN ") {
		return text, nil
	}
	file := text
	if !filepath.IsAbs(file) {
		file = filepath.Join(dir, file)
	}
	info, err := os.Stat(file)
	if err != nil {
		return "", invalid(path, "is neither PEM text nor a readable file: "+err.Error(), "give PEM text or the path of a PEM file")
	}
	if !info.Mode().IsRegular() || info.Size() > maxPEMBytes {
		return "", invalid(path, "is not the path of a regular file of at most 1 MiB", "give the path of a PEM file")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", invalid(path, "cannot be read: "+err.Error(), "make the PEM file readable for the process")
	}
	return string(raw), nil
}

// resolve replaces the paths of PEM files by the content of the files.
func (t *TLS) resolve(path, dir string) error {
	var err error
	if t.CA, err = readPEM(path+".ca", t.CA, dir); err != nil {
		return err
	}
	if t.Certificate, err = readPEM(path+".certificate", t.Certificate, dir); err != nil {
		return err
	}
	key, err := readPEM(path+".key", string(t.Key), dir)
	t.Key = Token(key)
	return err
}

// resolve replaces the paths of PEM files by the content of the files.
func (t *CallerTLS) resolve(path, dir string) error {
	var err error
	if t.Certificate, err = readPEM(path+".certificate", t.Certificate, dir); err != nil {
		return err
	}
	key, err := readPEM(path+".key", string(t.Key), dir)
	t.Key = Token(key)
	return err
}

// Pair returns the certificate and the private key.
func (t TLS) Pair() pki.KeyPair {
	return pki.KeyPair{Certificate: t.Certificate, Key: string(t.Key)}
}

func (t TLS) validate(path string, role Role) error {
	if t.CA == "" {
		return missing(path+".ca", keysRemedy)
	}
	if !x509.NewCertPool().AppendCertsFromPEM([]byte(t.CA)) {
		return invalid(path+".ca", "holds no certificate", "give the certificate of the fleet's certificate authority as PEM")
	}
	if err := validatePair(path, t.Certificate, t.Key); err != nil {
		return err
	}
	if err := pki.Verify(t.CA, t.Pair(), pki.Role(role), time.Now()); err != nil {
		return invalid(path+".certificate", "would be refused by peers: "+err.Error(), keysRemedy)
	}
	return nil
}

func (t CallerTLS) validate(path string) error {
	return validatePair(path, t.Certificate, t.Key)
}

func validatePair(path, certificate string, key Token) error {
	if certificate == "" {
		return missing(path+".certificate", keysRemedy)
	}
	if key == "" {
		return missing(path+".key", keysRemedy)
	}
	if _, err := tls.X509KeyPair([]byte(certificate), []byte(key)); err != nil {
		return invalid(path+".certificate", "does not match "+path+".key: "+err.Error(), "give a certificate and its private key as PEM")
	}
	return nil
}

func validatePacketKeys(keys []PacketKey) error {
	if len(keys) == 0 {
		return missing("packetKeys", keysRemedy)
	}
	seen := map[int]bool{}
	for i, key := range keys {
		path := fmt.Sprintf("packetKeys[%d]", i)
		if key.Version < 0 || key.Version > MaxKeyVersion {
			return invalid(path+".version", fmt.Sprintf("is %d", key.Version), fmt.Sprintf("use 0 to %d", MaxKeyVersion))
		}
		if seen[key.Version] {
			return invalid(path+".version", fmt.Sprintf("repeats version %d", key.Version), "give each key a version of its own")
		}
		seen[key.Version] = true
		if len(key.Secret) != SecretBytes {
			return invalid(path+".secret", fmt.Sprintf("has %d bytes", len(key.Secret)), fmt.Sprintf("give %d random bytes in base64; %s", SecretBytes, keysRemedy))
		}
		if isUniform(key.Secret) {
			return invalid(path+".secret", "is not random", keysRemedy)
		}
	}
	return nil
}

// isUniform reports whether all bytes of a secret are the same.
func isUniform(secret Secret) bool {
	return strings.Count(string(secret), string(secret[:1])) == len(secret)
}

func validateToken(token Token) error {
	if token != "" && len(token) < minTokenLength {
		return invalid("adminToken", "is too short", fmt.Sprintf("use at least %d characters; %s", minTokenLength, keysRemedy))
	}
	if strings.ContainsAny(string(token), " \t\r\n") {
		return invalid("adminToken", "contains white space", keysRemedy)
	}
	return nil
}
