package pki

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
)

var now = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func clock() time.Time { return now }

const lifetime = 24 * time.Hour

func newAuthority(t *testing.T, at time.Time) *Authority {
	t.Helper()
	authority, err := NewAuthority(at, lifetime)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func (a *Authority) mustIssue(t *testing.T, role Role) KeyPair {
	t.Helper()
	pair, err := a.Issue(role, now, lifetime)
	if err != nil {
		t.Fatal(err)
	}
	return pair
}

func identityOf(t *testing.T, authority *Authority, role Role) *Identity {
	t.Helper()
	identity, err := NewIdentity(authority.KeyPair().Certificate, authority.mustIssue(t, role), clock)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

// handshake runs a TLS handshake in memory and returns the error of each side.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	clientEnd, serverEnd := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(serverEnd, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1}) // a TLS 1.3 client sees a refusal only when it reads
		}
		_ = serverEnd.Close()
		done <- err
	}()
	conn := tls.Client(clientEnd, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = clientEnd.Close()
	return clientErr, <-done
}

func TestMutualTLS(t *testing.T) {
	fleet, foreign := newAuthority(t, now), newAuthority(t, now)
	server := identityOf(t, fleet, RoleBalancer).ServerConfig(nil, RoleBalancer, RoleAgent)
	agent := identityOf(t, fleet, RoleAgent)
	caller, err := fleet.IssueServiceCertificate([]string{"rezervasyon.test"}, nil, now, lifetime)
	if err != nil {
		t.Fatal(err)
	}
	callerCertificate, err := tls.X509KeyPair([]byte(caller.Certificate), []byte(caller.Key))
	if err != nil {
		t.Fatal(err)
	}

	cases := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"accepted role", agent.ClientConfig(nil, RoleBalancer), true},
		{"client role not accepted", identityOf(t, fleet, RoleOperator).ClientConfig(nil, RoleBalancer), false},
		{"server role not accepted", agent.ClientConfig(nil, RoleAgent), false},
		{"foreign authority", identityOf(t, foreign, RoleAgent).ClientConfig(nil, RoleBalancer), false},
		{"foreign client that trusts anyone", withoutChecks(identityOf(t, foreign, RoleAgent)), false},
		{"certificate without role", &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{callerCertificate}}, false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"TLS 1.2", func() *tls.Config {
			config := agent.ClientConfig(nil, RoleBalancer)
			config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
			return config
		}(), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clientErr, serverErr := handshake(c.client, server)
			is.Equal(clientErr == nil && serverErr == nil, c.ok)
		})
	}
}

// withoutChecks returns a client configuration that accepts every server.
func withoutChecks(identity *Identity) *tls.Config {
	config := identity.ClientConfig(nil)
	config.VerifyConnection = nil
	return config
}

func TestExpiredPeerIsRefused(t *testing.T) {
	is := is.New(t)
	fleet := newAuthority(t, now)
	later, err := NewIdentity(fleet.KeyPair().Certificate, fleet.mustIssue(t, RoleBalancer), clock)
	is.NoErr(err)
	later.now = func() time.Time { return now.Add(lifetime + time.Second) }
	_, serverErr := handshake(identityOf(t, fleet, RoleAgent).ClientConfig(nil, RoleBalancer), later.ServerConfig(nil, RoleAgent))
	is.True(errkind.Is(serverErr, errkind.Unauthenticated))
}

func TestOptionalClientCertServerConfig(t *testing.T) {
	is := is.New(t)
	fleet, foreign := newAuthority(t, now), newAuthority(t, now)
	server := identityOf(t, fleet, RoleBalancer).OptionalClientCertServerConfig(nil, RoleOperator)
	_, err := handshake(&tls.Config{InsecureSkipVerify: true}, server)
	is.NoErr(err)
	_, err = handshake(identityOf(t, fleet, RoleOperator).ClientConfig(nil, RoleBalancer), server)
	is.NoErr(err)
	_, err = handshake(withoutChecks(identityOf(t, foreign, RoleOperator)), server)
	is.True(err != nil)
}

func TestReplaceAppliesToExistingConfigs(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t, now), newAuthority(t, now)
	identity := identityOf(t, old, RoleBalancer)
	server := identity.ServerConfig(nil, RoleAgent)
	agent := identityOf(t, next, RoleAgent)

	both := old.KeyPair().Certificate + next.KeyPair().Certificate
	is.NoErr(identity.Replace(both, next.mustIssue(t, RoleBalancer)))
	_, err := handshake(agent.ClientConfig(nil, RoleBalancer), server)
	is.NoErr(err)

	err = identity.Replace(old.KeyPair().Certificate, next.mustIssue(t, RoleBalancer))
	is.True(errkind.Is(err, errkind.Invalid)) // the authorities do not include the issuer of the certificate
	_, err = handshake(agent.ClientConfig(nil, RoleBalancer), server)
	is.NoErr(err)
}

func TestVerifyAndLoad(t *testing.T) {
	is := is.New(t)
	fleet := newAuthority(t, now)
	loaded, err := LoadAuthority(fleet.KeyPair())
	is.NoErr(err)
	pair, err := loaded.Issue(RoleAgent, now, lifetime)
	is.NoErr(err)
	ca := fleet.KeyPair().Certificate
	is.NoErr(Verify(ca, pair, RoleAgent, now))
	is.True(errkind.Is(Verify(ca, pair, RoleBalancer, now), errkind.Invalid))
	is.True(errkind.Is(Verify(ca, pair, RoleAgent, now.Add(2*lifetime)), errkind.Invalid))

	other := newAuthority(t, now)
	_, err = LoadAuthority(KeyPair{Certificate: ca, Key: other.KeyPair().Key})
	is.True(errkind.Is(err, errkind.Invalid))
}
