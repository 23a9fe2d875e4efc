package platform

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// headerTimeout bounds how long the server waits for the header of a request.
const headerTimeout = 5 * time.Second

// Server serves a Platform on a loopback address.
type Server struct {
	// Platform is the store behind the server.
	Platform *Platform
	listener net.Listener
	http     *http.Server
}

// Listen opens a loopback address; port zero picks a free one.
func Listen(addr string) (*Server, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || !parsed.Addr().IsLoopback() {
		return nil, errkind.Wrap(err, errkind.Invalid, "the platform stand-in cannot listen on "+addr,
			"give a loopback address such as 127.0.0.1:2379")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "the platform stand-in cannot listen on "+addr,
			"choose a free port")
	}
	p := New(nil)
	server := &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout}
	return &Server{Platform: p, listener: listener, http: server}, nil
}

// URL returns the server's URL, which settings name as an endpoint of the store.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// Serve serves requests until Close.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops the server and ends its connections.
func (s *Server) Close() error {
	return s.http.Close()
}
