// Package caller is an HTTP/3 client for load and fault runs. A Flow keeps one
// connection to a service until the service closes it, checks every answer, and
// distinguishes broken connections from gracefully closed ones.
//
// Flow.mu and connection.mu are never held together, and neither is held while a connection
// is opened or a request is sent.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// packetSize is the size in bytes of each QUIC packet; there is no path MTU discovery.
	packetSize = 1200
	// socketBuffer is the size in bytes of the kernel buffers of a flow's socket.
	socketBuffer = 1 << 20

	defaultHandshakeTimeout = 10 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultKeepAlive        = 5 * time.Second
)

// Config describes the flows to one service.
type Config struct {
	// Address is the service address.
	Address netip.AddrPort
	// ServerName is the host name in requests and in TLS.
	ServerName string
	// TLS holds the trusted root certificates.
	TLS *tls.Config
	// HandshakeTimeout bounds the QUIC handshake. Zero means 10 s.
	HandshakeTimeout time.Duration
	// IdleTimeout is the time without a received packet after which a connection ends. Zero
	// means 30 s.
	IdleTimeout time.Duration
	// KeepAlive is the period of keep-alive packets. Zero means 5 s.
	KeepAlive time.Duration
	// OnEnd is called when a connection ends, except by Close. It may be nil.
	OnEnd func(End)
	// Listen opens the socket of a flow. Nil opens a UDP socket of the operating system.
	Listen func() (net.PacketConn, error)
}

// End describes how a connection ended.
type End struct {
	// Broken reports that the connection was not closed gracefully.
	Broken bool
	// InUse reports whether requests were in flight.
	InUse bool
	// Agent is the agent that answered last on the connection, if known.
	Agent string
	// Cause is the error that ended the connection.
	Cause error
	// At is the time when the connection ended.
	At time.Time
	// Age is how long the connection was open.
	Age time.Duration
}

// Flow is one caller's connection to a service. After the connection has ended, the next
// request opens a new connection. A Flow is safe for concurrent use.
type Flow struct {
	cfg       Config
	transport *http3.Transport
	quic      *quic.Transport

	mu      sync.Mutex // guards the fields below
	current *connection
	closed  bool
	opened  int
}

// NewFlow returns a flow with its own socket and therefore its own caller address. The flow
// connects on the first request or on Open.
func NewFlow(cfg Config) (*Flow, error) {
	setDefault(&cfg.HandshakeTimeout, defaultHandshakeTimeout)
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	setDefault(&cfg.KeepAlive, defaultKeepAlive)
	listen := cfg.Listen
	if listen == nil {
		listen = func() (net.PacketConn, error) { return listenSystem(cfg.Address) }
	}
	conn, err := listen()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "cannot open a UDP socket", "raise the limit of open files or open fewer flows")
	}
	return &Flow{
		cfg:       cfg,
		transport: &http3.Transport{DisableCompression: true},
		quic:      &quic.Transport{Conn: conn},
	}, nil
}

// listenSystem opens a UDP socket of the address family of address.
func listenSystem(address netip.AddrPort) (net.PacketConn, error) {
	network := "udp4"
	if address.Addr().Is6() {
		network = "udp6"
	}
	conn, err := net.ListenUDP(network, nil)
	if err != nil {
		return nil, err
	}
	// Smaller buffers than requested only increase packet loss under load.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Open connects unless the flow is already connected.
func (f *Flow) Open(ctx context.Context) error {
	_, err := f.connect(ctx)
	return err
}

// Connections returns how many connections the flow has opened.
func (f *Flow) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened
}

// Agent returns the agent that answered last on the current connection, if known.
func (f *Flow) Agent() string {
	f.mu.Lock()
	c := f.current
	f.mu.Unlock()
	return c.lastAgent()
}

// Close closes the flow without calling OnEnd.
func (f *Flow) Close() {
	f.mu.Lock()
	f.closed = true
	c := f.current
	f.current = nil
	f.mu.Unlock()
	if c != nil {
		_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
	_ = f.quic.Close()
	_ = f.quic.Conn.Close()
}

// connect returns the current connection or opens a new connection.
func (f *Flow) connect(ctx context.Context) (*connection, error) {
	f.mu.Lock()
	c := f.current
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return nil, errkind.New(errkind.Unavailable, "the flow is closed", "open a new flow")
	}
	if c != nil {
		return c, nil
	}
	c, err := f.dial(ctx)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.current != nil {
		// Another request connected in the meantime, or the flow was closed.
		_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		if f.current != nil {
			return f.current, nil
		}
		return nil, errkind.New(errkind.Unavailable, "the flow is closed", "open a new flow")
	}
	f.current = c
	f.opened++
	go f.reportEnd(c)
	return c, nil
}

func (f *Flow) dial(ctx context.Context) (*connection, error) {
	tlsConfig := f.cfg.TLS.Clone()
	tlsConfig.ServerName = f.cfg.ServerName
	tlsConfig.NextProtos = []string{http3.NextProtoH3}
	conn, err := f.quic.Dial(ctx, net.UDPAddrFromAddrPort(f.cfg.Address), tlsConfig, &quic.Config{
		HandshakeIdleTimeout:    f.cfg.HandshakeTimeout,
		MaxIdleTimeout:          f.cfg.IdleTimeout,
		KeepAlivePeriod:         f.cfg.KeepAlive,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return nil, err
	}
	return &connection{quic: conn, http: f.transport.NewClientConn(conn), opened: time.Now()}, nil
}

// reportEnd waits until a connection ends and then calls OnEnd, unless the caller closed
// the flow.
func (f *Flow) reportEnd(c *connection) {
	<-c.quic.Context().Done()
	now := time.Now()
	cause := context.Cause(c.quic.Context())
	f.mu.Lock()
	closedByCaller := f.closed
	f.mu.Unlock()
	f.detach(c)
	if closedByCaller || f.cfg.OnEnd == nil {
		return
	}
	c.mu.Lock()
	end := End{Broken: !isGraceful(cause), InUse: c.inFlight > 0, Agent: c.agent, Cause: cause, At: now, Age: now.Sub(c.opened)}
	c.mu.Unlock()
	f.cfg.OnEnd(end)
}

// detach makes the next request open a new connection. Requests in flight on c continue.
func (f *Flow) detach(c *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == c {
		f.current = nil
	}
}

// roundTrip sends a request on the current connection. If the request was not
// processed because the connection had ended or its server had sent GOAWAY,
// roundTrip retries it once on a new connection.
func (f *Flow) roundTrip(ctx context.Context, newRequest func() (*http.Request, error)) (*http.Response, *connection, error) {
	for attempt := 1; ; attempt++ {
		c, err := f.connect(ctx)
		if err != nil {
			return nil, nil, &notSentError{err}
		}
		req, err := newRequest()
		if err != nil {
			return nil, nil, err
		}
		c.begin()
		resp, err := c.http.RoundTrip(req)
		if err == nil {
			return resp, c, nil
		}
		c.finish("")
		if !isNotSent(err) {
			return nil, c, err
		}
		f.detach(c)
		if attempt == 2 || ctx.Err() != nil {
			return nil, nil, &notSentError{err}
		}
	}
}
