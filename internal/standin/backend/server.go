// Package backend is a stand-in for a backend server, for tests, demos and load
// runs: an HTTP/1.1 server with downloads, uploads, bookings and feeds, and with
// knobs that inject the faults of backend servers.
//
// Lock order: Server.mu before Ledger.mu. Neither is held while a request waits.
package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	headerTimeout = 10 * time.Second
	// drainIdleTime is how long a leaving server must be idle before it stops.
	drainIdleTime = 2 * time.Second
	// drainPoll is the period at which a leaving server checks whether it is idle.
	drainPoll = 100 * time.Millisecond
)

// State is the life-cycle state that the server announces.
type State string

// States of a backend server.
const (
	Warming  State = "warming"
	Serving  State = "serving"
	Draining State = "draining"
	Leaving  State = "leaving"
)

// Config describes a backend server.
type Config struct {
	// Listen is the address that requests are served on; port zero picks a free port.
	Listen netip.AddrPort
	// Service is the name of the service that it serves.
	Service string
	// Name names this server in answers and in the ledger.
	Name string
	// Capacity is the number of slots that it announces.
	Capacity int
	// Agent is the base URL of the agent in its slot, such as http://127.0.0.1:7080.
	// Empty announces nothing.
	Agent string
	// Ledger is the path of the ledger file. Empty keeps the ledger in memory.
	Ledger string
	// Seed determines the random choices.
	Seed uint64
	// DrainTimeout bounds the wait for requests between SIGTERM and the stop.
	DrainTimeout time.Duration
	// ListenTCP opens the listener. Nil uses net.Listen.
	ListenTCP func(netip.AddrPort) (net.Listener, error)
	// Client posts the announcements. Nil uses http.DefaultClient.
	Client *http.Client
}

// Server is a running backend server.
type Server struct {
	cfg    Config
	ledger *Ledger
	addr   netip.AddrPort

	busy      atomic.Int64 // requests being served
	mostBusy  atomic.Int64
	served    atomic.Uint64
	shed      atomic.Uint64
	cancelled atomic.Uint64

	mu       sync.Mutex // guards the fields below
	knobs    Knobs
	rng      *rand.Rand
	http     *http.Server
	started  time.Time
	draining bool
}

// New starts a backend server.
func New(cfg Config) (*Server, error) {
	if cfg.ListenTCP == nil {
		cfg.ListenTCP = func(addr netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", addr.String()) }
	}
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	ledger, err := OpenLedger(cfg.Ledger)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, addr: cfg.Listen, ledger: ledger, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
	if err := s.Restart(); err != nil {
		_ = ledger.Close()
		return nil, err
	}
	return s, nil
}

// Addr returns the address that requests are served on.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Ledger returns the record of the server's bookings.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Knobs returns the current knobs.
func (s *Server) Knobs() Knobs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// SetKnobs replaces all knobs.
func (s *Server) SetKnobs(k Knobs) error {
	if err := k.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = k
	return nil
}

// Restart makes the server serve again after Crash, with a cold start. It does
// nothing if the server runs.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	listener, err := s.cfg.ListenTCP(s.addr)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "cannot bind "+s.addr.String(), "choose a free local address")
	}
	s.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	s.started = time.Now()
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

// Crash closes the listener and every connection at once.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// State returns the state that the server announces.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return Draining
	case !s.knobs.isWarm(time.Since(s.started)):
		return Warming
	default:
		return Serving
	}
}

// Run announces the server until ctx ends, and then leaves gracefully: it announces
// that it drains, serves until it has been idle for drainIdleTime or DrainTimeout has
// passed, and stops.
func (s *Server) Run(ctx context.Context) error {
	announcing, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		s.announcePeriodically(announcing, announcePeriod)
		return nil
	})
	<-ctx.Done()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.announce(announcing, Draining)
	s.waitIdle()
	stop()
	err := group.Wait()
	s.announce(context.WithoutCancel(ctx), Leaving)
	return errors.Join(err, s.Close())
}

// waitIdle returns when no request has run for drainIdleTime, or after the drain timeout.
func (s *Server) waitIdle() {
	deadline := time.Now().Add(s.cfg.DrainTimeout)
	idleSince := time.Now()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if s.busy.Load() > 0 {
			idleSince = now
		}
		if now.Sub(idleSince) >= drainIdleTime || now.After(deadline) {
			return
		}
	}
}

// Close stops the server at once.
func (s *Server) Close() error {
	s.Crash()
	return s.ledger.Close()
}
