package pki

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Identity is the certificate of one process together with the authorities
// whose peers it accepts. Replace changes both while connections stay open.
type Identity struct {
	now   func() time.Time
	state atomic.Pointer[identityState]
}

// identityState is one immutable state of an Identity.
type identityState struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewIdentity returns the identity of pair. Authorities is PEM text of one or
// more certificates; two of them let an authority be replaced step by step.
func NewIdentity(authorities string, pair KeyPair, now func() time.Time) (*Identity, error) {
	identity := &Identity{now: now}
	if err := identity.Replace(authorities, pair); err != nil {
		return nil, err
	}
	return identity, nil
}

// Replace takes over another certificate and other authorities for new
// connections, or changes nothing and returns an error of kind Invalid.
func (i *Identity) Replace(authorities string, pair KeyPair) error {
	certificate, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "certificate of the process", "give a certificate and its own private key as PEM")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(authorities)) {
		return errkind.New(errkind.Invalid, "no certificate of an authority", "give the certificate of the fleet's authority as PEM")
	}
	next := &identityState{certificate: certificate, authorities: pool}
	if err := next.checkOwn(i.now()); err != nil {
		return err
	}
	i.state.Store(next)
	return nil
}

// checkOwn requires that peers with the same authorities would accept the certificate.
func (s *identityState) checkOwn(now time.Time) error {
	if _, err := s.verify([]*x509.Certificate{s.certificate.Leaf}, now); err != nil {
		return errkind.Wrap(err, errkind.Invalid, "certificate of the process would be refused by its peers",
			"issue a certificate with a role from the authority that the settings name")
	}
	return nil
}

// ServerConfig returns the configuration of a listener that accepts clients of
// the given roles only.
func (i *Identity) ServerConfig(protocols []string, roles ...Role) *tls.Config {
	config := i.baseConfig(protocols, roles)
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &i.state.Load().certificate, nil
	}
	return config
}

// OptionalClientCertServerConfig is like ServerConfig, but also accepts clients without a
// certificate, who must authenticate in another way.
func (i *Identity) OptionalClientCertServerConfig(protocols []string, roles ...Role) *tls.Config {
	config := i.ServerConfig(protocols, roles...)
	config.ClientAuth = tls.RequestClientCert
	verifyPeer := config.VerifyConnection
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return nil
		}
		return verifyPeer(state)
	}
	return config
}

// ClientConfig returns the configuration of a dialer that accepts servers of
// the given roles only.
func (i *Identity) ClientConfig(protocols []string, roles ...Role) *tls.Config {
	config := i.baseConfig(protocols, roles)
	// Peers are accepted by authority and role in VerifyConnection; the default
	// check, which is by host name, does not apply to instances that come and go.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &i.state.Load().certificate, nil
	}
	return config
}

func (i *Identity) baseConfig(protocols []string, roles []Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		Time:       i.now,
		VerifyConnection: func(state tls.ConnectionState) error {
			role, err := i.state.Load().verify(state.PeerCertificates, i.now())
			if err != nil {
				return err
			}
			if !slices.Contains(roles, role) {
				return errkind.New(errkind.Unauthenticated, "peer has the role "+string(role), "connect with a certificate of a role that is accepted here")
			}
			return nil
		},
	}
}

// verify checks the chain of a peer and returns the role of its certificate.
func (s *identityState) verify(chain []*x509.Certificate, now time.Time) (Role, error) {
	if len(chain) == 0 {
		return "", unauthenticated(errors.New("no certificate"))
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         s.authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return "", unauthenticated(err)
	}
	role, ok := RoleOf(chain[0])
	if !ok {
		return "", unauthenticated(errors.New("the certificate names no role"))
	}
	return role, nil
}

func unauthenticated(cause error) error {
	return errkind.Wrap(cause, errkind.Unauthenticated, "peer refused", "use a valid certificate of the fleet's authority")
}

// RoleOf returns the role that a certificate names. A certificate with several
// roles or an unknown one has none. It does not verify the certificate.
func RoleOf(certificate *x509.Certificate) (Role, bool) {
	var found Role
	for _, uri := range certificate.URIs {
		if uri.Scheme != roleScheme {
			continue
		}
		if found != "" {
			return "", false
		}
		found = Role(uri.Opaque)
	}
	known := []Role{RoleBalancer, RoleAgent, RoleOperator}
	return found, slices.Contains(known, found)
}

// Verify checks that authorities accept a certificate for role now.
func Verify(authorities string, pair KeyPair, role Role, now time.Time) error {
	identity, err := NewIdentity(authorities, pair, func() time.Time { return now })
	if err != nil {
		return err
	}
	found, _ := RoleOf(identity.state.Load().certificate.Leaf)
	if found != role {
		return errkind.New(errkind.Invalid, "the certificate has the role "+string(found), "issue a certificate for the role "+string(role))
	}
	return nil
}

// NotAfter returns when the certificate of the process expires.
func (i *Identity) NotAfter() time.Time {
	return i.state.Load().certificate.Leaf.NotAfter
}
