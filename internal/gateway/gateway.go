// Package gateway forwards requests from an agent's HTTP/3 server to the local backend server or to
// a peer agent, and returns the answers.
//
// It drives the packages admission, idempotency, request and retry, which do no I/O: gateway
// manages the HTTP exchanges, the locks and the timers, and the other packages make the decisions.
//
// Lock order: health.mu before slots.mu; no other two locks are held at the same time. Gateway.mu
// guards the objects that all requests share, slots.mu the admission control, health.mu the health
// of the backend server, and inFlightCounter.mu the number of requests in flight.
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
	// maxHops is how many times a request may be relayed: to the granter of its key, and from there
	// to a peer with a free slot.
	maxHops = 2
	// maxPeers is the number of peers that are tried for one request.
	maxPeers = 2
	// maxResends bounds how often an attempt is repeated at a peer that deduplicates.
	maxResends = 2
	// hopAllowance is subtracted from the remaining time at each hop, so that the answer can return
	// before the deadline.
	hopAllowance = 10 * time.Millisecond
	// retryShare is the ratio of retries to recent requests that the retry budget allows.
	retryShare = 0.1
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Addr is the address of this agent. Idempotency keys contain it.
	Addr netip.AddrPort
	// Incarnation identifies this run of the agent's process. It must differ after each restart.
	Incarnation uint64
	// NoncePrefix is random and new for each incarnation.
	NoncePrefix idempotency.NoncePrefix
	// DataCentre is the data centre of this agent. Peers in the same data centre are preferred.
	DataCentre string
	// Spec returns the active service. A zero ID means that there is none.
	Spec func() service.Spec
	// Backend is the base URL of the local backend server.
	Backend *url.URL
	// Peers returns the members that may be agents of the same service.
	Peers func() []member.Member
	// PeerURL returns the base URL of a peer for relayed requests.
	PeerURL func(member.Member) string
	// Relay sends requests to peers over HTTP/2 with mutual TLS.
	Relay http.RoundTripper
	// Draining reports that the backend server accepts no new requests for a reason that only the
	// agent knows, such as the backend server's own announcement. It may be nil.
	Draining func() bool
	// Keys returns the fleet keys that seal idempotency keys.
	Keys func() *idempotency.Keyring
	// Now returns the time.
	Now func() time.Time
	// Rand returns a random number in [0, 1). It must be safe for concurrent use.
	Rand func() float64
	// Metrics is the set that the counters are registered in.
	Metrics *metrics.Set
	// OnLoad is called with each new load of the backend server, from 0 to 255; an outlier reports
	// 255. It is called with locks held, so it must return quickly and must not call the Gateway.
	OnLoad func(load uint8)
	// Ramp is the cold-start ramp of the backend server.
	Ramp admission.Ramp
	// Log receives the log lines. Nil selects the default logger.
	Log log.Interface
	// Dial connects to the backend server. Nil selects the network of the host.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Dispatch sends requests to the backend server. Nil selects the HTTP/1.1 transports of this
	// package.
	Dispatch http.RoundTripper
}

// Gateway is the http.Handler of an agent's HTTP/3 server.
type Gateway struct {
	cfg      Config
	backend  backend
	slots    *slots
	health   *health
	inFlight inFlightCounter
	counters *counters
	draining atomic.Bool

	mu sync.Mutex
	// shared is guarded by mu.
	shared shared
}

// shared holds the objects that all requests use.
type shared struct {
	budget      *retry.Budget
	issuer      *idempotency.Issuer
	records     *request.Records
	slotQueries *spread.SlotQueryLimiter
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
	g.inFlight.idle = make(chan struct{})
	g.shared = shared{
		budget:      retry.NewBudget(retryShare),
		issuer:      idempotency.NewIssuer(cfg.Addr, cfg.Incarnation, cfg.NoncePrefix),
		records:     request.NewRecords(cfg.Addr, cfg.Incarnation),
		slotQueries: spread.NewSlotQueryLimiter(),
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
	defer g.inFlight.enter()()
	if r.URL.Path == keyPath {
		g.serveKey(w, r)
		return
	}
	x := g.newExchange(w, r)
	defer x.close()
	x.serveCaller()
}

// PeerHandler returns the handler for requests that peers relay to this agent. Its server must
// authenticate the peers.
func (g *Gateway) PeerHandler() http.Handler {
	serve := func(w http.ResponseWriter, r *http.Request) {
		defer g.inFlight.enter()()
		x := g.newExchange(w, r)
		defer x.close()
		x.servePeer()
	}
	relayed := http.StripPrefix(RelayPrefix, http.HandlerFunc(serve))
	// A ServeMux would redirect relayed requests whose paths are not clean.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && r.URL.Path == ledgerPath {
			g.receiveLedger(w, r)
			return
		}
		relayed.ServeHTTP(w, r)
	})
}

// Drain makes the Gateway relay new requests to peers. Without any peer it continues to serve them
// and logs a warning, because a planned stop must not fail requests.
func (g *Gateway) Drain() {
	if g.draining.Swap(true) {
		return
	}
	entry := g.cfg.Log.WithField("in_flight", g.inFlight.count()).WithField("peers", len(g.peers()))
	if len(g.peers()) == 0 {
		entry.Warn("gateway draining without any peer: new requests are still served here")
	} else {
		entry.Info("gateway draining: new requests go to peers")
	}
	g.inFlight.drain()
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return g.inFlight.count() }

// Idle returns a channel that is closed when no request is in flight after a call of Drain.
func (g *Gateway) Idle() <-chan struct{} { return g.inFlight.idle }

// Outlier reports whether the outcomes of recent requests show that the backend server is broken.
// Its requests then go to peers as long as a peer accepts them.
func (g *Gateway) Outlier() bool { return g.health.isOutlier() }

// isDraining reports whether the agent is draining: because Drain was called, because the service's
// change ticket lists the agent, or because Config.Draining returns true.
func (g *Gateway) isDraining(spec service.Spec) bool {
	if g.draining.Load() || slices.Contains(spec.Draining, g.cfg.Addr) {
		return true
	}
	return g.cfg.Draining != nil && g.cfg.Draining()
}

// epoch returns the epoch that grants for this agent must name.
func (g *Gateway) epoch() idempotency.Epoch {
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
