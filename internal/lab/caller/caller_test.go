package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/standin/backend"
)

const (
	serverName = "rezervasyon.test"
	appError   = 0x33
)

// testServer is an in-process HTTP/3 server.
type testServer struct {
	t         *testing.T
	transport *quic.Transport
	tls       *tls.Config
	pool      *x509.CertPool
	conns     chan *quic.Conn
	listener  *quic.EarlyListener
	http      *http3.Server
}

func newTestServer(t *testing.T, handler http.Handler) *testServer {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		t:         t,
		transport: &quic.Transport{Conn: conn},
		tls:       &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, NextProtos: []string{"h3"}},
		pool:      x509.NewCertPool(),
		conns:     make(chan *quic.Conn, 10),
	}
	s.pool.AddCert(cert)
	t.Cleanup(func() {
		_ = s.transport.Close()
		_ = conn.Close()
	})
	s.serve(handler)
	return s
}

// serve starts an HTTP/3 server; it may be called again after a shutdown.
func (s *testServer) serve(handler http.Handler) {
	s.t.Helper()
	listener, err := s.transport.ListenEarly(http3.ConfigureTLSConfig(s.tls), &quic.Config{})
	if err != nil {
		s.t.Fatal(err)
	}
	s.listener = listener
	s.http = &http3.Server{
		Handler: handler,
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			s.conns <- c
			return ctx
		},
	}
	go func(server *http3.Server) { _ = server.ServeListener(listener) }(s.http)
}

func (s *testServer) flow(onEnd func(End)) *Flow {
	s.t.Helper()
	f, err := NewFlow(Config{
		Address:    netip.MustParseAddrPort(s.transport.Conn.LocalAddr().String()),
		ServerName: serverName,
		TLS:        &tls.Config{RootCAs: s.pool},
		OnEnd:      onEnd,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(f.Close)
	return f
}

func newBackend(t *testing.T) *backend.Server {
	t.Helper()
	s, err := backend.New(backend.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: "cesme-1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func TestWholeAnswersOnOneConnection(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	f := newTestServer(t, b.Handler()).flow(nil)
	ctx := t.Context()
	is.NoErr(f.Open(ctx))
	answers := []Answer{
		f.Sheet(ctx, "tide", 300_000, 0),
		f.Sheet(ctx, "none", 0, 0),
		f.Upload(ctx, "photo", 200_000),
		f.Book(ctx, "b1", "k1", 0),
		f.Feed(ctx, "stock", 3, time.Millisecond),
	}
	for _, a := range answers {
		is.NoErr(a.Err)
		is.Equal(a.Verdict, Answered)
		is.Equal(a.Server, "cesme-1")
	}
	is.Equal(answers[0].Bytes, int64(300_000))
	is.Equal(b.Ledger().Runs(), []backend.Run{{Booking: "b1", Key: "k1", Server: "cesme-1"}})
	is.Equal(f.Connections(), 1)
}

func TestCorruptAnswersAreDetected(t *testing.T) {
	const size = 100_000
	sheet := func(id string, n int64) []byte {
		b, _ := io.ReadAll(backend.NewContent(id, n))
		return b
	}
	cases := map[string]struct {
		requestID string
		body      []byte
		abort     bool
		want      Verdict
	}{
		"whole":               {"a", sheet("a", size), false, Answered},
		"answer of another":   {"b", sheet("a", size), false, Wrong},
		"body of another":     {"a", sheet("b", size), false, Wrong},
		"short, shown whole":  {"a", sheet("a", size-1), false, Wrong},
		"too long":            {"a", sheet("a", size+1), false, Wrong},
		"broken off":          {"a", sheet("a", size/2), true, Cut},
		"broken off at start": {"a", nil, true, Cut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(backend.RequestField, c.requestID)
				_, _ = w.Write(c.body)
				if c.abort {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})).flow(nil)
			is.Equal(f.Sheet(t.Context(), "a", size, 0).Verdict, c.want)
		})
	}
}

func TestRefusalVerdicts(t *testing.T) {
	cases := map[string]struct {
		status  int
		outcome string
		want    Verdict
	}{
		"not run":     {http.StatusServiceUnavailable, "not-run", NotRun},
		"unknown":     {http.StatusBadGateway, "unknown", Unknown},
		"in progress": {http.StatusConflict, "in-progress", InProgress},
		"key needed":  {http.StatusPreconditionRequired, "not-run", KeyNeeded},
		"unexplained": {http.StatusInternalServerError, "", Failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(outcomeField, c.outcome)
				w.Header().Set(keyField, "fresh")
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(c.status)
			})).flow(nil)
			a := f.Book(t.Context(), "b1", "", 0)
			is.Equal(a.Verdict, c.want)
			is.Equal(a.Key, "fresh")
			is.Equal(a.RetryAfter, 2*time.Second)
		})
	}
}

func TestGoAwayIsGraceful(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	s := newTestServer(t, b.Handler())
	ends := make(chan End, 10)
	f := s.flow(func(e End) { ends <- e })
	is.Equal(f.Sheet(t.Context(), "a", 10, 0).Verdict, Answered)
	is.NoErr(s.http.Shutdown(t.Context()))
	end := <-ends
	is.True(!end.Broken)
	is.True(!end.InUse)

	is.NoErr(s.listener.Close())
	s.serve(b.Handler())
	is.Equal(f.Sheet(t.Context(), "b", 10, 0).Verdict, Answered) // on a new connection
	is.Equal(f.Connections(), 2)
}

func TestBrokenConnectionIsReported(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	s := newTestServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
	}))
	ends := make(chan End, 10)
	f := s.flow(func(e End) { ends <- e })
	go func() {
		<-running
		_ = (<-s.conns).CloseWithError(appError, "")
	}()
	is.Equal(f.Sheet(t.Context(), "a", 10, 0).Verdict, Cut)
	end := <-ends
	is.True(end.Broken)
}

func TestFailedHandshakeIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, http.NotFoundHandler())
	f := s.flow(nil)
	f.cfg.TLS = &tls.Config{RootCAs: x509.NewCertPool()} // the handshake fails
	a := f.Sheet(t.Context(), "a", 10, 0)
	is.Equal(a.Verdict, NotSent)
	is.Equal(f.Connections(), 0)
}

func TestCancelledRequestIsTimedOut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newTestServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})).flow(nil)
	is.Equal(f.Sheet(ctx, "a", 10, 0).Verdict, TimedOut)
}
