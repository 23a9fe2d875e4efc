package stream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/pki"
)

// Limits of the dialing side.
const (
	// DialTimeout bounds dialing, including the TLS handshake.
	DialTimeout = 3 * time.Second
	// relayConnsPerHost bounds the connections to one peer; each carries many requests.
	relayConnsPerHost = 4
)

// Dialer opens connections to the stream addresses of peers.
type Dialer struct {
	identity *pki.Identity
	connect  Connect
	relay    *http.Transport
}

// Connect opens a TCP connection to an address written as IP:port.
type Connect func(ctx context.Context, address string) (net.Conn, error)

// NewDialer returns a dialer that authenticates with identity and opens its TCP
// connections with connect.
func NewDialer(identity *pki.Identity, connect Connect) *Dialer {
	dialer := &Dialer{identity: identity, connect: connect}
	dialer.relay = dialer.newTransport()
	return dialer
}

// DialSync opens a state transfer connection to a balancer or an agent. The error
// is of kind Unauthenticated if this side refuses the peer's certificate, and of
// kind Unavailable otherwise. If the peer refuses the certificate of this side,
// DialSync may succeed; the first read then fails.
func (d *Dialer) DialSync(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	return d.dial(ctx, peer.String(), d.identity.ClientConfig([]string{ProtocolSync}, pki.RoleBalancer, pki.RoleAgent))
}

// RoundTripper returns the transport for relayed requests over HTTP/2. Their
// URLs are https://IP:port/ with the stream address of an agent. It is safe for
// concurrent use. It sends a request at most once unless the method is GET, HEAD
// or OPTIONS.
func (d *Dialer) RoundTripper() http.RoundTripper {
	return noRetryTransport{inner: d.relay}
}

// Close closes the idle relay connections. Connections of DialSync stay open.
func (d *Dialer) Close() {
	d.relay.CloseIdleConnections()
}

// dial opens a connection to address and completes the TLS handshake.
func (d *Dialer) dial(ctx context.Context, address string, config *tls.Config) (*tls.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := d.connect(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "cannot connect to the stream address", "check that the peer runs and its stream address is reachable")
	}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		if errkind.Is(err, errkind.Unauthenticated) {
			return nil, err
		}
		return nil, errkind.Wrap(err, errkind.Unavailable, "TLS handshake with the peer failed", "check the certificates of both processes")
	}
	return conn, nil
}

// newTransport returns the HTTP/2 transport of relayed requests.
func (d *Dialer) newTransport() *http.Transport {
	var http2 http.Protocols
	http2.SetHTTP2(true)
	return &http.Transport{
		DialTLSContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.dial(ctx, address, d.identity.ClientConfig([]string{ProtocolRelay}, pki.RoleAgent))
		},
		Protocols:          &http2,
		DisableCompression: true,
		MaxConnsPerHost:    relayConnsPerHost,
		IdleConnTimeout:    relayIdleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: relayPingAfter,
			PingTimeout:     relayPingTimeout,
		},
	}
}
