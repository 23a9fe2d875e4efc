package main

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/almondledge/almondledge/internal/localfleet"
)

const callerPacketSize = 1200

// getCmd fetches a URL over HTTP/3 and prints the response.
type getCmd struct {
	CA      string        `name:"ca" required:"" help:"PEM file of the authority that issued the service's certificate." type:"existingfile"`
	Method  string        `default:"GET" help:"Method of the request."`
	Body    string        `help:"File to send as the body." type:"existingfile"`
	Timeout time.Duration `default:"30s" help:"Timeout of the whole request."`
	URL     string        `arg:"" help:"URL with the service's IP address and port."`
}

// Run sends one request and prints the status, size, SHA-256 and header of the response.
func (c getCmd) Run() error {
	authority, err := os.ReadFile(c.CA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority)
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: localfleet.CallerHost},
		QUICConfig:      &quic.Config{InitialPacketSize: callerPacketSize, DisablePathMTUDiscovery: true},
	}
	defer func() { _ = transport.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var body io.Reader
	if c.Body != "" {
		file, err := os.Open(c.Body)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		body = file
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, body)
	if err != nil {
		return err
	}
	start := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	hash := sha256.New()
	size, err := io.Copy(hash, response.Body)
	if err != nil {
		return fmt.Errorf("reading the response body failed after %d bytes: %w", size, err)
	}
	fmt.Printf("status=%d bytes=%d sha256=%x time=%s\n", response.StatusCode, size, hash.Sum(nil), time.Since(start).Round(time.Millisecond))
	for name, values := range response.Header {
		fmt.Printf("  %s: %v\n", name, values)
	}
	return nil
}
