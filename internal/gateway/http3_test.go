package gateway

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/service"
)

// serveHTTP3 serves the agent's callers over HTTP/3 and returns the base URL
// and a client.
func serveHTTP3(t *testing.T, a *testAgent) (string, *http.Client) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server := &http3.Server{
		Handler:    a.Gateway,
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: a.relay.TLS.Certificates}),
		QUICConfig: &quic.Config{},
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(conn)
	}()
	transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	t.Cleanup(func() {
		_ = transport.Close()
		_ = server.Close()
		_ = conn.Close()
		<-served
	})
	return "https://" + conn.LocalAddr().String(), &http.Client{Transport: transport}
}

// TestOverHTTP3 repeats over HTTP/3 the checks that depend on the server library: a truncated
// answer is an error, a request whose keyed body is incomplete is not run, and large bodies pass.
func TestOverHTTP3(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(s *service.Spec) { s.Limits.Slots = 4 })
	a := f.add(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			_, _ = w.Write(make([]byte, 100_000))
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/drop" {
			panic(http.ErrAbortHandler)
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, n))
	}), nil)
	base, client := serveHTTP3(t, a)

	response, err := client.Get(base + "/cut")
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	response.Body.Close()
	is.True(err != nil) // the truncation is an error

	// A request without a body has an unknown length over HTTP/3. It must still fail over.
	f.add(echo, nil)
	response, err = client.Get(base + "/drop")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)

	const size = 5 << 20
	response, err = client.Post(base+"/search/x", "text/plain", bytes.NewReader(make([]byte, size)))
	is.NoErr(err)
	data, err := io.ReadAll(response.Body)
	response.Body.Close()
	is.NoErr(err)
	is.Equal(len(data), size)
	key := response.Header.Get(KeyField)
	is.True(key != "")

	before := a.runs.Load()
	body, half := io.Pipe()
	go func() { _, _ = half.Write([]byte("half of an order")) }()
	defer func() { _ = half.Close() }()
	r, err := http.NewRequest(http.MethodPost, base+"/orders", body)
	is.NoErr(err)
	r.Header.Set(KeyField, key)
	r.Header.Set(DeadlineField, "50")
	response, err = client.Do(r)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	is.Equal(Outcome(response.Header.Get(OutcomeField)), OutcomeNotRun)
	is.Equal(a.runs.Load(), before)
}
