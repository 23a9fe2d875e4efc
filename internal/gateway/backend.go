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
	// backendIdleTimeout is below the usual 5 s of HTTP servers, so that they rarely close a
	// connection that was just selected for a request.
	backendIdleTimeout = 3 * time.Second
	backendIdleConns   = 64
	backendMaxHeader   = 256 << 10
)

// backend sends requests to the local backend server.
type backend struct {
	base *url.URL
	// pooled reuses connections. It sends the repeatable requests.
	pooled http.RoundTripper
	// unpooled opens a connection for each request. On a reused connection, the backend server
	// could close it while the request is on the way: the outcome would be unknown, and net/http
	// could send the request again.
	unpooled http.RoundTripper
}

func newBackend(cfg Config) backend {
	if cfg.Dispatch != nil {
		return backend{base: cfg.Backend, pooled: cfg.Dispatch, unpooled: cfg.Dispatch}
	}
	return backend{base: cfg.Backend, pooled: newBackendTransport(cfg, true), unpooled: newBackendTransport(cfg, false)}
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
	out := x.outgoingRequest(ctx, b.base, body)
	out.Header.Set(DeadlineField, formatMillis(x.remaining()))
	out.Header.Set(forwardedField, x.caller.String())
	if x.repeatable {
		return b.pooled.RoundTrip(out)
	}
	return b.unpooled.RoundTrip(out)
}

// provesNotSent reports whether err proves that no part of a request was sent.
func provesNotSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errkind.Is(err, errkind.NotApplied)
}
