package stream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/pki"
)

// fleet issues identities for one test.
type fleet struct {
	t         *testing.T
	authority *pki.Authority
}

func newFleet(t *testing.T) fleet {
	t.Helper()
	authority, err := pki.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return fleet{t: t, authority: authority}
}

func (f fleet) identity(role pki.Role) *pki.Identity {
	f.t.Helper()
	pair, err := f.authority.Issue(role, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	identity, err := pki.NewIdentity(f.authority.KeyPair().Certificate, pair, time.Now)
	if err != nil {
		f.t.Fatal(err)
	}
	return identity
}

func (f fleet) dialer(role pki.Role) *Dialer {
	dialer := NewDialer(f.identity(role), network.System{}.DialTCP)
	f.t.Cleanup(dialer.Close)
	return dialer
}

// refusals collects the reasons of refused connections.
type refusals chan error

func (r refusals) ConnectionRefused(_ net.Addr, reason error) { r <- reason }

// start runs a server with options on loopback until the test ends.
func start(t *testing.T, options Options) (*Server, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(options)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = server.Shutdown(ctx)
		if err := <-served; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	})
	return server, listener.Addr().(*net.TCPAddr).AddrPort()
}

func echo(_ context.Context, conn net.Conn) { _, _ = io.Copy(conn, conn) }

func hello(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "hello "+r.Proto) }

func get(dialer *Dialer, address netip.AddrPort) (string, error) {
	request, err := http.NewRequest(http.MethodGet, "https://"+address.String()+"/", nil)
	if err != nil {
		return "", err
	}
	response, err := dialer.RoundTripper().RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestDispatchByProtocol(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	_, address := start(t, Options{Identity: f.identity(pki.RoleAgent), Sync: echo, Relay: http.HandlerFunc(hello)})

	conn, err := f.dialer(pki.RoleBalancer).DialSync(t.Context(), address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("ping"))
	is.NoErr(err)
	answer := make([]byte, 4)
	_, err = io.ReadFull(conn, answer)
	is.NoErr(err)
	is.Equal(string(answer), "ping")

	body, err := get(f.dialer(pki.RoleAgent), address)
	is.NoErr(err)
	is.Equal(body, "hello HTTP/2.0")
}

func TestRefusedPeers(t *testing.T) {
	f, foreign := newFleet(t), newFleet(t)
	cases := []struct {
		name    string
		connect func(netip.AddrPort) error
		want    errkind.Kind // kind of the server's error; empty for an error of package tls
	}{
		{"balancer relays", func(a netip.AddrPort) error { _, err := get(f.dialer(pki.RoleBalancer), a); return err }, errkind.Unauthenticated},
		{"operator relays", func(a netip.AddrPort) error { _, err := get(f.dialer(pki.RoleOperator), a); return err }, errkind.Unauthenticated},
		{"foreign authority", func(a netip.AddrPort) error { return readToEnd(foreign.dialer(pki.RoleAgent).DialSync(t.Context(), a)) }, ""},
		{"operator synchronises", func(a netip.AddrPort) error { return readToEnd(f.dialer(pki.RoleOperator).DialSync(t.Context(), a)) }, errkind.Unauthenticated},
		{"no protocol", func(a netip.AddrPort) error {
			return readToEnd(tls.Dial("tcp", a.String(), f.identity(pki.RoleAgent).ClientConfig(nil, pki.RoleAgent)))
		}, errkind.Invalid},
		{"plain text", func(a netip.AddrPort) error {
			conn, err := net.Dial("tcp", a.String())
			if err == nil {
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
			}
			return readToEnd(conn, err)
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reasons := make(refusals, 8)
			_, address := start(t, Options{Identity: f.identity(pki.RoleAgent), Sync: echo, Relay: http.HandlerFunc(hello), Observer: reasons})
			is.True(c.connect(address) != nil)
			is.Equal(errkind.Of(<-reasons), c.want)
		})
	}
}

// readToEnd reads from a connection until it ends and returns the error that ended it,
// which is io.EOF if the server closed it. A TLS 1.3 client sees only on reading that
// the server refused it.
func readToEnd[C net.Conn](conn C, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = io.Copy(io.Discard, conn)
	if err == nil {
		return io.EOF
	}
	return err
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	reasons := make(refusals, 8)
	opened := make(chan struct{}, 8)
	_, address := start(t, Options{
		Identity: f.identity(pki.RoleBalancer), MaxConnections: 1, Observer: reasons,
		Sync: func(ctx context.Context, conn net.Conn) { opened <- struct{}{}; echo(ctx, conn) },
	})
	dialer := f.dialer(pki.RoleAgent)
	first, err := dialer.DialSync(t.Context(), address)
	is.NoErr(err)
	<-opened
	_, err = dialer.DialSync(t.Context(), address)
	is.True(errkind.Is(err, errkind.Unavailable))
	is.True(errkind.Is(<-reasons, errkind.Overloaded))

	// The server must accept another connection once the first connection has ended.
	is.NoErr(first.(*tls.Conn).CloseWrite())
	_, err = io.Copy(io.Discard, first)
	is.NoErr(err)
	for {
		second, err := dialer.DialSync(t.Context(), address)
		if err == nil {
			<-opened
			is.NoErr(second.Close())
			return
		}
	}
}

func TestHandshakeTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	reasons := make(refusals, 1)
	_, address := start(t, Options{Identity: f.identity(pki.RoleBalancer), Sync: echo, HandshakeTimeout: time.Millisecond, Observer: reasons})
	conn, err := net.Dial("tcp", address.String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.True(errors.Is(<-reasons, context.DeadlineExceeded))
}

func TestShutdownLetsRelayedRequestsFinish(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	begun, finish := make(chan struct{}), make(chan struct{})
	server, address := start(t, Options{Identity: f.identity(pki.RoleAgent), Relay: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-finish
		hello(w, r)
	})})
	answered := make(chan error, 1)
	go func() {
		_, err := get(f.dialer(pki.RoleAgent), address)
		answered <- err
	}()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	<-server.ctx.Done()
	close(finish)
	is.NoErr(<-answered)
	is.NoErr(<-stopped)
}

// TestUnsafeRequestIsSentOnce guards against requests that run twice: the server
// resets every request with PROTOCOL_ERROR, after which http.Transport on its own
// would send the request again.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		body io.Reader
	}{{"no body", nil}, {"empty body", http.NoBody}, {"body that can be read again", strings.NewReader("order")}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			listener, err := tls.Listen("tcp", "127.0.0.1:0", f.identity(pki.RoleAgent).ServerConfig([]string{ProtocolRelay}, pki.RoleAgent))
			is.NoErr(err)
			var requests atomic.Int32
			var serving sync.WaitGroup
			serving.Go(func() { resetRequests(listener, &requests) })

			request, err := http.NewRequest(http.MethodPost, "https://"+listener.Addr().String()+"/", c.body)
			is.NoErr(err)
			request.Header.Set("Idempotency-Key", "k")
			dialer := f.dialer(pki.RoleAgent)
			response, err := dialer.RoundTripper().RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			is.True(err != nil)
			dialer.Close()
			_ = listener.Close()
			serving.Wait()
			is.Equal(requests.Load(), int32(1))
		})
	}
}

// resetRequests serves HTTP/2 connections, and counts and resets each request. It
// returns when the listener is closed or after a second request.
func resetRequests(listener net.Listener, requests *atomic.Int32) {
	for requests.Load() < 2 {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, len(http2.ClientPreface)))
		framer := http2.NewFramer(conn, conn)
		_ = framer.WriteSettings()
		for err == nil {
			var frame http2.Frame
			frame, err = framer.ReadFrame()
			if headers, ok := frame.(*http2.HeadersFrame); ok {
				requests.Add(1)
				err = framer.WriteRSTStream(headers.StreamID, http2.ErrCodeProtocol)
			}
		}
		_ = conn.Close()
	}
	_ = listener.Close()
}
