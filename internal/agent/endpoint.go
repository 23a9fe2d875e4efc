package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// initialPacketSize leaves room for the envelope on a path with an MTU of 1,500 bytes.
	initialPacketSize = 1200
	// handshakeTimeout is how long a flow is kept without packets of its caller before its handshake is complete.
	// A caller that has received the agent's part takes the flow for open. After a loss of some seconds it repeats
	// its own part at intervals of up to twice that time (probe timeouts, RFC 9002, section 6.2).
	handshakeTimeout = 15 * time.Second
	// idleTimeout is how long a flow without packets is kept.
	idleTimeout = 5 * time.Minute
	// maxStreams is the maximum number of concurrent requests of a flow.
	maxStreams = 1000
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 64 << 10
)

var errFlowRefused = errkind.New(errkind.Overloaded, "no backend server of the service accepts new flows",
	"come back later, or raise the connections limit of the service")

// idGenerator issues connection IDs that encode this agent and its service.
type idGenerator struct {
	codec   *connid.Codec
	self    netip.AddrPort
	conn    *packetConn
	counter atomic.Uint32
}

// GenerateConnectionID returns the next connection ID.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	route := g.conn.route.Load()
	if route == nil {
		return quic.ConnectionID{}, errkind.New(errkind.Unavailable, "the agent has no service yet", "wait until the agent has received its configuration")
	}
	counter := g.counter.Add(1)
	target := connid.Target{Agent: g.self, Service: route.id, Counter: counter}
	id, err := g.codec.Encode(target, randomByte())
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of issued connection IDs.
func (g *idGenerator) ConnectionIDLen() int {
	return connid.Len
}

func randomByte() byte {
	var one [1]byte
	_, _ = rand.Read(one[:]) // rand.Read never fails
	return one[0]
}

func randomUint32() uint32 {
	var four [4]byte
	_, _ = rand.Read(four[:]) // rand.Read never fails
	return binary.BigEndian.Uint32(four[:])
}

// endpoint terminates QUIC and HTTP/3 for the flows of one agent.
type endpoint struct {
	transport      *quic.Transport
	listener       *quic.Listener
	server         *http3.Server
	refusedCallers *refusedCallers
	metrics        *Metrics
	// flows is the number of open flows, handshakes included.
	flows atomic.Int64
}

type endpointConfig struct {
	conn           *packetConn
	codec          *connid.Codec
	self           netip.AddrPort
	resetKey       quic.StatelessResetKey
	tokenKey       quic.TokenGeneratorKey
	tls            *tls.Config
	handler        http.Handler
	refusedCallers *refusedCallers
	metrics        *Metrics
}

func newEndpoint(config endpointConfig) (*endpoint, error) {
	end := &endpoint{refusedCallers: config.refusedCallers, metrics: config.metrics}
	generator := &idGenerator{codec: config.codec, self: config.self, conn: config.conn}
	generator.counter.Store(randomUint32())
	end.transport = &quic.Transport{
		Conn:                  config.conn,
		ConnectionIDGenerator: generator,
		StatelessResetKey:     &config.resetKey,
		TokenGeneratorKey:     &config.tokenKey,
		ConnContext:           end.admitFlow,
	}
	quicConfig := &quic.Config{
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		MaxIncomingStreams:      maxStreams,
		Allow0RTT:               false, // 0-RTT data can be replayed
		Tracer:                  tracer(config.conn.chooser),
	}
	listener, err := end.transport.Listen(http3.ConfigureTLSConfig(config.tls), quicConfig)
	if err != nil {
		return nil, err
	}
	end.listener = listener
	end.server = &http3.Server{Handler: config.handler, MaxHeaderBytes: maxHeaderBytes}
	return end, nil
}

// admitFlow counts a new flow, or refuses it at once.
func (e *endpoint) admitFlow(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	udp, ok := info.RemoteAddr.(*net.UDPAddr)
	if ok && e.refusedCallers.contains(udp.AddrPort(), time.Now()) {
		return nil, errFlowRefused
	}
	if ok {
		ctx = context.WithValue(ctx, callerContextKey{}, udp.AddrPort())
	}
	e.flows.Add(1)
	e.metrics.flows.Inc()
	context.AfterFunc(ctx, func() { e.flows.Add(-1) })
	return ctx, nil
}

// serve handles flows until ctx ends or the endpoint is closed.
func (e *endpoint) serve(ctx context.Context) error {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return ignoreEndpointClosed(err)
		}
		go func() {
			// The error is ignored; the gauge of open flows shows that the flow has ended.
			_ = e.server.ServeQUICConn(conn)
		}()
	}
}

func ignoreEndpointClosed(err error) error {
	if errors.Is(err, quic.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain sends GOAWAY on every flow and waits until all flows have ended or ctx ends.
func (e *endpoint) drain(ctx context.Context) error {
	return e.server.Shutdown(ctx)
}

// close ends all flows at once.
func (e *endpoint) close() error {
	return errors.Join(e.server.Close(), e.listener.Close(), e.transport.Close())
}
