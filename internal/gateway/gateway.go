// Package gateway carries requests from an agent's HTTP/3 server to the local
// backend server or to a peer agent, and answers back.
//
// It is the driver around the pure packages admission, idempotency, request
// and retry: it owns the HTTP exchanges, the locks and the timers; they decide.
//
// Lock order: health.mu before slots.mu; the other locks are never held
// together. Gateway.mu guards the pure objects that all requests share, slots.mu
// the admission control, health.mu the health of the backend server, and
// flight.mu the count of requests under way.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/admission"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/request"
	"github.com/almondledge/almondledge/internal/retry"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/spread"
)

// Bounds of one request.
const (
	// maxKeyedBody is the largest body of a request with an idempotency key, in bytes.
	maxKeyedBody = 1 << 20
	// maxHops is how many agents may pass a request on: to the granting agent
	// of its key, and from there to a peer with room.
	maxHops = 2
	// maxPeers is how many peers are tried for one request.
	maxPeers = 2
	// maxReasks is how often a peer that deduplicates is asked again.
	maxReasks = 2
	// hopAllowance is taken from the remaining time at each hop, so that an
	// answer can travel back before the deadline.
	hopAllowance = 10 * time.Millisecond
	// retryShare is the share of recent requests that may be retried.
	retryShare = 0.1
)

// Config holds the settings and the functions that a Gateway needs.
type Config struct {
	// Addr is the address of this agent; idempotency keys name it.
	Addr netip.AddrPort
	// Incarnation identifies this process life. It must differ after each restart.
	Incarnation uint64
	// NoncePrefix is random and fresh in each process life.
	NoncePrefix idempotency.NoncePrefix
	// DataCentre is the data centre of this agent; its peers there are preferred.
	DataCentre string
	// Spec returns the service in force. A zero ID means that there is none.
	Spec func() service.Spec
	// Backend is the base URL of the local backend server.
	Backend *url.URL
	// Peers returns the members that may be agents of the same service.
	Peers func() []member.Member
	// PeerURL returns the base URL of a peer for relayed requests.
	PeerURL func(member.Member) string
	// Relay sends requests to peers, over HTTP/2 with mutual TLS.
	Relay http.RoundTripper
	// Draining reports whether the backend server takes no new requests for a
	// reason that only the agent knows, such as its own announcement. It may be nil.
	Draining func() bool
	// Keys returns the fleet keys that seal idempotency keys.
	Keys func() *idempotency.Keyring
	// Now returns the time.
	Now func() time.Time
	// Rand returns a random number in [0, 1). It is called from many goroutines.
	Rand func() float64
	// Metrics receives the counters.
	Metrics *metrics.Set
	// OnLoad is called with each new load of the backend server, 0 to 255; an
	// outlier reports 255. It must return soon and must not call the Gateway.
	OnLoad func(load uint8)
	// Ramp is the cold-start ramp of the backend server.
	Ramp admission.Ramp
	// Log receives one line for each event. Nil uses the default logger.
	Log log.Interface
	// Dial connects to the backend server. Nil uses the system's network.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Dispatch sends requests to the backend server in place of the HTTP/1.1
	// transports of this package. Nil uses those.
	Dispatch http.RoundTripper
}

// Gateway is the http.Handler of an agent's HTTP/3 server.
type Gateway struct {
	cfg      Config
	backend  backend
	slots    *slots
	health   *health
	flight   flight
	counters *counters
	draining atomic.Bool

	mu sync.Mutex
	// shared is guarded by mu.
	shared shared
}

// shared holds the pure objects that all requests use.
type shared struct {
	budget  *retry.Budget
	issuer  *idempotency.Issuer
	records *request.Records
	asking  *spread.SlotQueryLimiter
}

// New returns a Gateway.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.OnLoad == nil {
		cfg.OnLoad = func(uint8) {}
	}
	g := &Gateway{cfg: cfg, backend: newBackend(cfg), counters: newCounters(cfg.Metrics)}
	g.slots = newSlots(cfg)
	g.health = newHealth(cfg, g.slots.setOutlier)
	g.flight.idle = make(chan struct{})
	g.shared = shared{
		budget:  retry.NewBudget(retryShare),
		issuer:  idempotency.NewIssuer(cfg.Addr, cfg.Incarnation, cfg.NoncePrefix),
		records: request.NewRecords(cfg.Addr, cfg.Incarnation),
		asking:  spread.NewSlotQueryLimiter(),
	}
	return g, nil
}

func (c Config) check() error {
	missing := ""
	switch {
	case !c.Addr.IsValid():
		missing = "Addr"
	case c.Incarnation == 0:
		missing = "Incarnation"
	case c.Spec == nil:
		missing = "Spec"
	case c.Backend == nil:
		missing = "Backend"
	case c.Peers == nil || c.PeerURL == nil || c.Relay == nil:
		missing = "Peers, PeerURL or Relay"
	case c.Keys == nil:
		missing = "Keys"
	case c.Now == nil || c.Rand == nil:
		missing = "Now or Rand"
	case c.Metrics == nil:
		missing = "Metrics"
	}
	if missing == "" {
		return nil
	}
	return errkind.New(errkind.Invalid, "gateway configuration lacks "+missing, "set it before the agent starts")
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.flight.enter()()
	if r.URL.Path == keyPath {
		g.serveKey(w, r)
		return
	}
	x := g.newExchange(w, r)
	defer x.close()
	x.serveCaller()
}

// PeerHandler returns the handler of requests that peers relay to this agent.
// The server in front of it must have authenticated the peer.
func (g *Gateway) PeerHandler() http.Handler {
	serve := func(w http.ResponseWriter, r *http.Request) {
		defer g.flight.enter()()
		x := g.newExchange(w, r)
		defer x.close()
		x.servePeer()
	}
	relayed := http.StripPrefix(RelayPrefix, http.HandlerFunc(serve))
	// Not a ServeMux: that would redirect relayed requests whose paths are not clean.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && r.URL.Path == ledgerPath {
			g.takeLedger(w, r)
			return
		}
		relayed.ServeHTTP(w, r)
	})
}

// Drain makes the Gateway relay new requests to peers. Without any peer it goes
// on serving them, and says so, because nothing may be cut.
func (g *Gateway) Drain() {
	if g.draining.Swap(true) {
		return
	}
	entry := g.cfg.Log.WithField("in_flight", g.flight.count()).WithField("peers", len(g.peers()))
	if len(g.peers()) == 0 {
		entry.Warn("gateway draining without any peer: new requests are still served here")
	} else {
		entry.Info("gateway draining: new requests go to peers")
	}
	g.flight.drain()
}

// InFlight returns the number of requests under way.
func (g *Gateway) InFlight() int { return g.flight.count() }

// Idle returns a channel that is closed when, after Drain, no request is under way.
func (g *Gateway) Idle() <-chan struct{} { return g.flight.idle }

// Outlier reports whether the outcomes of its requests show that the backend
// server is broken. Its requests go to peers as long as any has room.
func (g *Gateway) Outlier() bool { return g.health.isOutlier() }

// isDraining reports whether Drain was called or the service's ticket drains this agent.
func (g *Gateway) isDraining(spec service.Spec) bool {
	if g.draining.Load() || slices.Contains(spec.Draining, g.cfg.Addr) {
		return true
	}
	return g.cfg.Draining != nil && g.cfg.Draining()
}

// life returns the life that grants for this agent must name.
func (g *Gateway) life() idempotency.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shared.records.Epoch()
}

// freshKey issues an idempotency key.
func (g *Gateway) freshKey(id service.ID) string {
	ring := g.cfg.Keys()
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shared.issuer.Issue(now, ring, id)
}
