// Package pki issues and verifies the certificates of the links between processes.
//
// Every process has a certificate that the fleet's own authority issued and that
// names the role of the process as a URI, such as almondledge:balancer. Peers are
// accepted by authority and role, not by address, because instances are replaced
// at any time.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Role is the role that a certificate grants to its holder.
type Role string

// Roles that certificates grant.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// roleScheme is the URI scheme of roles in certificates.
const roleScheme = "almondledge"

// clockSkew is how long before the time of issue a certificate becomes valid, so
// that instances whose clocks are behind accept it.
const clockSkew = 5 * time.Minute

// serialBits is the length of the random serial numbers of certificates.
const serialBits = 127

// caRemedy is the remedy of errors about the files of an authority.
const caRemedy = "give the PEM files that almondledge settings keys wrote"

// KeyPair is a certificate and its private key as PEM text.
type KeyPair struct {
	Certificate string
	Key         string
}

// Authority signs the certificates of one fleet.
type Authority struct {
	pair        KeyPair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority generates an authority whose certificate is valid until lifetime after now.
func NewAuthority(now time.Time, lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("almondledge authority", now, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority parses the key pair of an authority that NewAuthority generated.
func LoadAuthority(pair KeyPair) (*Authority, error) {
	certificate, err := parseCertificate(pair.Certificate)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode([]byte(pair.Key))
	if block == nil {
		return nil, errkind.New(errkind.Invalid, "the authority's key is not PEM", caRemedy)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "cannot parse the authority's key", caRemedy)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) || !certificate.IsCA {
		return nil, errkind.New(errkind.Invalid, "the authority's certificate does not match the key or is not a CA certificate", caRemedy)
	}
	return &Authority{pair: pair, certificate: certificate, key: key}, nil
}

// KeyPair returns the certificate and the private key of the authority.
func (a *Authority) KeyPair() KeyPair { return a.pair }

// Issue issues a certificate for a process of a role, with a new private key.
func (a *Authority) Issue(role Role, now time.Time, lifetime time.Duration) (KeyPair, error) {
	template, err := newTemplate("almondledge "+string(role), now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.URIs = []*url.URL{{Scheme: roleScheme, Opaque: string(role)}}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.issue(template)
}

// IssueServiceCertificate issues a certificate that agents present to the callers
// of services, for the given host names and addresses. It grants no role.
func (a *Authority) IssueServiceCertificate(names []string, addresses []netip.Addr, now time.Time, lifetime time.Duration) (KeyPair, error) {
	template, err := newTemplate("almondledge service", now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = names
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	return a.issue(template)
}

// issue completes template and signs it, with a new private key.
func (a *Authority) issue(template *x509.Certificate) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	return sign(template, a.certificate, key, a.key)
}

// newTemplate returns a certificate with a random serial number that is valid
// until lifetime after now.
func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// sign returns the certificate of key, signed with parentKey.
func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Certificate: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:         string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})),
	}, nil
}

func parseCertificate(text string) (*x509.Certificate, error) {
	block, _ := pem.Decode([]byte(text))
	if block == nil {
		return nil, errkind.New(errkind.Invalid, "the certificate is not PEM", caRemedy)
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "cannot parse the certificate", caRemedy)
	}
	return certificate, nil
}
