// Package stream implements the TCP links between processes.
//
// Each process listens on one TCP address, its stream address, with mutual TLS. The
// ALPN protocol selects the handler of a connection: "almondledge-sync/1" is state
// transfer between balancers and agents, "h2" is requests that agents relay to each
// other.
package stream

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/pki"
)

// ALPN protocols of the stream address.
const (
	// ProtocolSync is the protocol of state transfer.
	ProtocolSync = "almondledge-sync/1"
	// ProtocolRelay is the protocol of relayed requests.
	ProtocolRelay = "h2"
)

// Default limits.
const (
	// DefaultMaxConnections bounds the open connections of a listener.
	DefaultMaxConnections = 4096
	// DefaultHandshakeTimeout bounds a TLS handshake.
	DefaultHandshakeTimeout = 5 * time.Second
)

// Limits of relay connections, and the pause after a failed accept.
const (
	maxRelayStreams    = 1000
	relayPingAfter     = 5 * time.Second
	relayPingTimeout   = 2 * time.Second
	relayIdleTimeout   = 2 * time.Minute
	relayHeaderBytes   = 64 << 10
	relayHeaderTimeout = 10 * time.Second
	acceptErrorDelay   = 50 * time.Millisecond
)

// Observer is notified of events on the listener. Its methods may be called concurrently.
type Observer interface {
	// ConnectionRefused is called after a connection was closed before any handler got it.
	ConnectionRefused(remote net.Addr, reason error)
}

// Options configure a Server.
type Options struct {
	// Identity authenticates this process and its peers.
	Identity *pki.Identity
	// Sync handles one state transfer connection. The server closes the connection
	// when Sync returns. The context ends on shutdown. Nil refuses the protocol.
	Sync func(context.Context, net.Conn)
	// Relay handles relayed requests. Nil refuses the protocol.
	Relay http.Handler
	// MaxConnections bounds the open connections. Default: DefaultMaxConnections.
	MaxConnections int
	// HandshakeTimeout bounds a TLS handshake. Default: DefaultHandshakeTimeout.
	HandshakeTimeout time.Duration
	// Observer is notified of refused connections. Default: none.
	Observer Observer
	// ErrorLog logs the errors of the HTTP/2 server. Default: the standard logger.
	ErrorLog *log.Logger
}

// Server accepts connections on the stream address.
type Server struct {
	options       Options
	config        *tls.Config
	relay         *http.Server
	relayListener *chanListener
	slots         chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

// NewServer returns a server; call Serve to accept connections.
func NewServer(options Options) *Server {
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.HandshakeTimeout == 0 {
		options.HandshakeTimeout = DefaultHandshakeTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		options: options,
		config:  options.Identity.ServerConfig(protocols(options), pki.RoleBalancer, pki.RoleAgent),
		slots:   make(chan struct{}, options.MaxConnections),
		ctx:     ctx,
		cancel:  cancel,
	}
	if options.Relay != nil {
		server.relay = newRelayServer(options)
		server.relayListener = newChanListener()
	}
	return server
}

// protocols returns the ALPN protocols that options have a handler for.
func protocols(options Options) []string {
	var names []string
	if options.Sync != nil {
		names = append(names, ProtocolSync)
	}
	if options.Relay != nil {
		names = append(names, ProtocolRelay)
	}
	return names
}

func newRelayServer(options Options) *http.Server {
	var http2 http.Protocols
	http2.SetHTTP2(true)
	return &http.Server{
		Handler:           options.Relay,
		ErrorLog:          options.ErrorLog,
		Protocols:         &http2,
		ReadHeaderTimeout: relayHeaderTimeout,
		IdleTimeout:       relayIdleTimeout,
		MaxHeaderBytes:    relayHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxRelayStreams,
			SendPingTimeout:      relayPingAfter,
			PingTimeout:          relayPingTimeout,
		},
	}
}

// Serve accepts connections from listener until Shutdown, and then returns nil. It
// returns an error if listener is closed before that.
func (s *Server) Serve(listener net.Listener) error {
	if s.relay != nil {
		s.running.Go(func() { _ = s.relay.Serve(s.relayListener) })
	}
	stop := context.AfterFunc(s.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case s.ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// Errors such as too many open files are temporary and must not end the process.
			s.pause(acceptErrorDelay)
		default:
			s.admit(conn)
		}
	}
}

// pause waits for delay or until shutdown.
func (s *Server) pause(delay time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(delay):
	}
}

// admit serves conn in its own goroutine, or refuses it if MaxConnections are open.
func (s *Server) admit(conn net.Conn) {
	select {
	case s.slots <- struct{}{}:
		admitted := &slotConn{Conn: conn, release: sync.OnceFunc(func() { <-s.slots })}
		s.running.Go(func() { s.serve(admitted) })
	default:
		s.refuse(conn, errkind.New(errkind.Overloaded, "too many stream connections", "check which peers open so many connections"))
	}
}

// serve completes the TLS handshake and passes the connection to the handler of its protocol.
func (s *Server) serve(raw net.Conn) {
	conn := tls.Server(raw, s.config)
	ctx, cancel := context.WithTimeout(s.ctx, s.options.HandshakeTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	if err != nil {
		s.refuse(raw, err)
		return
	}
	switch conn.ConnectionState().NegotiatedProtocol {
	case ProtocolSync:
		s.serveSync(conn)
	case ProtocolRelay:
		s.serveRelay(conn)
	default:
		s.refuse(conn, errkind.New(errkind.Invalid, "no ALPN protocol was negotiated", "offer one of the ALPN protocols of package stream"))
	}
}

// serveSync runs the state transfer handler. Shutdown closes conn to end it.
func (s *Server) serveSync(conn *tls.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	s.options.Sync(s.ctx, conn)
}

// serveRelay passes conn to the HTTP/2 server, which closes it. It refuses peers
// that are not agents: only agents relay requests.
func (s *Server) serveRelay(conn *tls.Conn) {
	role, _ := pki.RoleOf(conn.ConnectionState().PeerCertificates[0])
	if role != pki.RoleAgent {
		s.refuse(conn, errkind.New(errkind.Unauthenticated, "a "+string(role)+" may not relay requests", "relay from agents only"))
		return
	}
	if !s.relayListener.deliver(conn) {
		_ = conn.Close()
	}
}

// refuse closes conn and notifies the observer.
func (s *Server) refuse(conn net.Conn, reason error) {
	_ = conn.Close()
	if s.options.Observer != nil {
		s.options.Observer.ConnectionRefused(conn.RemoteAddr(), reason)
	}
}

// Shutdown stops accepting connections and ends state transfers. It lets relayed
// requests finish until ctx ends, and then closes their connections. It returns the
// error of ctx if requests were cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	var err error
	if s.relay != nil {
		err = s.relay.Shutdown(ctx)
		_ = s.relay.Close()
	}
	s.running.Wait()
	return err
}
