// Package etcd is a client of the platform's key-value service over the
// published etcd v3 JSON/HTTP gateway.
//
// Every call has a deadline, takes a token from the node's call budget and is
// counted by operation and outcome. Reads are retried on the next endpoint with
// jittered backoff. A write is sent at most once: it is tried on another endpoint
// only if no connection could be opened, so that nothing was sent. If a write gets
// no answer, the calling code must find out its outcome.
//
// The client remembers the highest revision and the cluster ID that it has seen.
// After an answer from an older state or from another cluster, every call returns
// an error of kind errkind.Stale until AcceptCurrentState is called.
package etcd

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// Defaults of Config.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultReadTimeout      = 6 * time.Second
	DefaultCallsPerSecond   = 20
	DefaultBurst            = 60
	DefaultMaxResponseBytes = 16 << 20
	DefaultPageSize         = 500
	DefaultWatchIdle        = 5 * time.Second
	DefaultWatchGrace       = time.Second

	dialTimeout            = time.Second
	idleConnTimeout        = 90 * time.Second
	idleConnsPerHost       = 4
	firstRetryDelay        = 50 * time.Millisecond
	maxRetryDelay          = time.Second
	maxErrorBodyBytes      = 4096
	watchTokensPerInterval = 1
)

// Config configures a Client. Zero fields get the defaults above.
type Config struct {
	// Endpoints are base URLs such as http://127.0.0.1:2379.
	Endpoints []string
	// Transport sends the requests. Nil means a transport with a dial timeout of one
	// second.
	Transport http.RoundTripper
	// CallTimeout bounds one attempt of a call.
	CallTimeout time.Duration
	// ReadTimeout bounds a read with all its attempts.
	ReadTimeout time.Duration
	// CallsPerSecond and Burst are the call budget of this node. An open watch takes
	// one token per second.
	CallsPerSecond float64
	Burst          int
	// MaxResponseBytes bounds one answer, or one message of a watch.
	MaxResponseBytes int64
	// PageSize is the number of entries that Range requests per call.
	PageSize int
	// WatchIdle is how long a watch may deliver nothing before the client reads
	// from the store whether there are undelivered changes.
	WatchIdle time.Duration
	// WatchGrace is how long the watch may take after this read to deliver the
	// changes found.
	WatchGrace time.Duration
	// MinRevision is a revision that the store is known to have reached. Answers
	// from an older state are refused.
	MinRevision int64
	// NewBackOff returns the delays between the attempts of one read. Nil means
	// exponential delays with jitter.
	NewBackOff func() backoff.BackOff
	// Metrics holds the counters of calls. Nil means a new set.
	Metrics *metrics.Set
}

// Client implements store.Store. It is safe for concurrent use and holds no locks.
type Client struct {
	cfg       Config
	http      *http.Client
	limiter   *rate.Limiter
	preferred atomic.Uint32
	rollback  rollbackDetector
}

var _ store.Store = (*Client)(nil)

// New returns a client. It opens no connection.
func New(cfg Config) (*Client, error) {
	if len(cfg.Endpoints) == 0 {
		return nil, errkind.New(errkind.Invalid, "no store endpoint is configured", "list at least one, such as http://10.0.0.5:2379")
	}
	endpoints := make([]string, 0, len(cfg.Endpoints))
	for _, endpoint := range cfg.Endpoints {
		parsed, err := url.Parse(endpoint)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, errkind.Wrap(err, errkind.Invalid, "the store endpoint "+endpoint+" is not a URL",
				"write it as http://ADDRESS:PORT or https://ADDRESS:PORT")
		}
		endpoints = append(endpoints, strings.TrimRight(endpoint, "/"))
	}
	cfg.Endpoints = endpoints
	cfg = withDefaults(cfg)
	c := &Client{
		cfg:     cfg,
		http:    &http.Client{Transport: cfg.Transport, CheckRedirect: refuseRedirect},
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
	}
	c.rollback.observe(cfg.MinRevision)
	return c, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Transport == nil {
		cfg.Transport = newTransport()
	}
	if cfg.NewBackOff == nil {
		cfg.NewBackOff = newBackOff
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	setDefault(&cfg.CallTimeout, DefaultCallTimeout)
	setDefault(&cfg.ReadTimeout, DefaultReadTimeout)
	setDefault(&cfg.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&cfg.Burst, DefaultBurst)
	setDefault(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&cfg.PageSize, DefaultPageSize)
	setDefault(&cfg.WatchIdle, DefaultWatchIdle)
	setDefault(&cfg.WatchGrace, DefaultWatchGrace)
	return cfg
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: idleConnsPerHost,
	}
}

func newBackOff() backoff.BackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	delays.MaxInterval = maxRetryDelay
	return delays
}

// refuseRedirect disables redirects, which would send a write a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// preferredEndpoint returns the endpoint to call and its position.
func (c *Client) preferredEndpoint() (string, uint32) {
	position := c.preferred.Load()
	return c.cfg.Endpoints[int(position)%len(c.cfg.Endpoints)], position
}

// switchEndpoint makes the endpoint after position the preferred one, unless
// another call has switched already.
func (c *Client) switchEndpoint(position uint32) {
	c.preferred.CompareAndSwap(position, position+1)
}
