package latency

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

// certificateLifetime is the lifetime of the certificate of the direct server.
const certificateLifetime = time.Hour

// ServeDirect serves requests with a backend server stand-in over HTTP/3, without a
// balancer or agent, until ctx ends. It is the baseline of the comparison. It calls ready
// with the address of the server and the PEM certificate of the authority that callers must
// trust.
func ServeDirect(ctx context.Context, listen netip.AddrPort, ready func(netip.AddrPort, string)) error {
	server, err := backend.New(backend.Config{
		Listen: netip.AddrPortFrom(listen.Addr(), 0), Service: "direct", Name: "direct/0", Capacity: 1, Seed: 1,
	})
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	authority, certificate, err := directCertificate()
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return err
	}
	direct := &http3.Server{
		Handler:    server.Handler(),
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
		QUICConfig: &quic.Config{InitialPacketSize: packetSize, DisablePathMTUDiscovery: true},
	}
	stop := context.AfterFunc(ctx, func() { _ = direct.Close() })
	defer stop()
	if local, ok := conn.LocalAddr().(*net.UDPAddr); ok {
		ready(local.AddrPort(), authority)
	}
	err = direct.Serve(conn)
	return errors.Join(ignoreClosed(err), conn.Close())
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

func directCertificate() (authority string, certificate tls.Certificate, err error) {
	now := time.Now()
	issuer, err := pki.NewAuthority(now, certificateLifetime)
	if err != nil {
		return "", tls.Certificate{}, err
	}
	pair, err := issuer.IssueServiceCertificate([]string{localfleet.CallerHost}, nil, now, certificateLifetime)
	if err != nil {
		return "", tls.Certificate{}, err
	}
	certificate, err = tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	return issuer.KeyPair().Certificate, certificate, err
}
