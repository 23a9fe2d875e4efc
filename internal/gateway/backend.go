package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Settings of the connections to the backend server.
const (
	backendDialTimeout = 2 * time.Second
	// backendIdleTimeout is below the customary 5 s of HTTP servers, so that
	// they seldom close a connection that is just taken for a request.
	backendIdleTimeout = 3 * time.Second
	backendIdleConns   = 64
	backendMaxHeader   = 256 << 10
)

// backend sends requests to the local backend server.
type backend struct {
	base *url.URL
	// repeatable keeps connections open.
	repeatable http.RoundTripper
	// single uses a connection for one request only: on a kept one, a close by
	// the backend server could cross with the request and leave its outcome
	// unknown, and net/http could send it again.
	single http.RoundTripper
}

func newBackend(cfg Config) backend {
	if cfg.Dispatch != nil {
		return backend{base: cfg.Backend, repeatable: cfg.Dispatch, single: cfg.Dispatch}
	}
	return backend{base: cfg.Backend, repeatable: newBackendTransport(cfg, true), single: newBackendTransport(cfg, false)}
}

func newBackendTransport(cfg Config, keepAlive bool) *http.Transport {
	dial := (&net.Dialer{Timeout: backendDialTimeout}).DialContext
	if cfg.Dial != nil {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, backendDialTimeout)
			defer cancel()
			return cfg.Dial(ctx, address)
		}
	}
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      !keepAlive,
		MaxIdleConnsPerHost:    backendIdleConns,
		IdleConnTimeout:        backendIdleTimeout,
		MaxResponseHeaderBytes: backendMaxHeader,
	}
}

// roundTrip sends one attempt of x to the backend server.
func (b backend) roundTrip(ctx context.Context, x *exchange, body *attemptBody) (*http.Response, error) {
	out := x.outgoing(ctx, b.base, body)
	out.Header.Set(DeadlineField, formatMillis(x.remaining()))
	out.Header.Set(forwardedField, x.caller.String())
	if x.repeatable {
		return b.repeatable.RoundTrip(out)
	}
	return b.single.RoundTrip(out)
}

// notSent reports whether err proves that no byte of a request was sent.
func notSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errkind.Is(err, errkind.NotApplied)
}
