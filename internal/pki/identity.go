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

// Identity holds the certificate of one process and the authorities whose certificates
// it accepts from peers. Replace changes both and leaves open connections open.
// Identity is safe for concurrent use.
type Identity struct {
	now   func() time.Time
	state atomic.Pointer[identityState]
}

// identityState is an immutable snapshot of an Identity.
type identityState struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewIdentity returns an identity with the certificate of pair. The PEM text of
// authorities holds one or more certificates: with two, a fleet can replace its
// authority one process at a time.
func NewIdentity(authorities string, pair KeyPair, now func() time.Time) (*Identity, error) {
	identity := &Identity{now: now}
	if err := identity.Replace(authorities, pair); err != nil {
		return nil, err
	}
	return identity, nil
}

// Replace changes the certificate and the authorities for new connections, or
// changes nothing and returns an error of kind Invalid.
func (i *Identity) Replace(authorities string, pair KeyPair) error {
	certificate, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "cannot load the certificate of the process", "give a certificate and its own private key as PEM")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(authorities)) {
		return errkind.New(errkind.Invalid, "the authorities contain no PEM certificate", "give the certificate of the fleet's authority as PEM")
	}
	next := &identityState{certificate: certificate, authorities: pool}
	if err := next.checkOwnCertificate(i.now()); err != nil {
		return err
	}
	i.state.Store(next)
	return nil
}

// checkOwnCertificate returns an error if peers with the same authorities would
// refuse the certificate of s.
func (s *identityState) checkOwnCertificate(now time.Time) error {
	if _, err := s.verify([]*x509.Certificate{s.certificate.Leaf}, now); err != nil {
		return errkind.Wrap(err, errkind.Invalid, "peers would refuse the certificate of the process",
			"issue a certificate with a role from the authority that the settings name")
	}
	return nil
}

// ServerConfig returns the TLS configuration of a listener that accepts only
// clients of the given roles. Later calls of Replace apply to it.
func (i *Identity) ServerConfig(protocols []string, roles ...Role) *tls.Config {
	config := i.baseConfig(protocols, roles)
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &i.state.Load().certificate, nil
	}
	return config
}

// OptionalClientCertServerConfig is like ServerConfig, but also accepts clients
// without a certificate, which must be authenticated in another way.
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

// ClientConfig returns the TLS configuration of a dialer that accepts only servers
// of the given roles. Later calls of Replace apply to it.
func (i *Identity) ClientConfig(protocols []string, roles ...Role) *tls.Config {
	config := i.baseConfig(protocols, roles)
	// VerifyConnection verifies the authority and the role of the server. The default
	// verification is skipped, because it checks the host name, and the host names and
	// addresses of instances change.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &i.state.Load().certificate, nil
	}
	return config
}

// baseConfig returns the settings that servers and clients share. It accepts only
// peers of the given roles.
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
				return errkind.New(errkind.Unauthenticated, "peer role is not accepted: "+string(role), "connect with a certificate of a role that is accepted here")
			}
			return nil
		},
	}
}

// verify verifies the certificate chain of a peer and returns the role of its
// certificate. Its errors are of kind Unauthenticated.
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
		return "", unauthenticated(errors.New("the certificate does not name exactly one known role"))
	}
	return role, nil
}

func unauthenticated(cause error) error {
	return errkind.Wrap(cause, errkind.Unauthenticated, "peer authentication failed", "use a valid certificate of the fleet's authority")
}

// RoleOf returns the role that a certificate names. It returns false if the certificate
// names no role, several roles or an unknown role. It does not verify the certificate.
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

// Verify returns an error of kind Invalid if peers that trust authorities would
// refuse the certificate of pair at the time now, or if it does not have role.
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
