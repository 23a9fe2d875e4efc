package stream

import (
	"io"
	"net/http"
)

// noRetryTransport prevents http.Transport from retrying requests on its own.
// http.Transport retries a request without a body after some errors that a peer may
// also send after it ran the request, such as a stream reset with PROTOCOL_ERROR.
// It also treats any request with an Idempotency-Key header as repeatable. Only the
// agent decides whether a request may run again.
type noRetryTransport struct {
	inner http.RoundTripper
}

// RoundTrip sends the request at most once. GET, HEAD and OPTIONS requests are an
// exception: they are safe to repeat, so http.Transport may retry them.
func (t noRetryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		return t.inner.RoundTrip(request)
	}
	single := *request
	single.GetBody = nil
	if single.Body == nil || single.Body == http.NoBody {
		single.Body = emptyBody{}
	}
	return t.inner.RoundTrip(&single)
}

// emptyBody is an empty body that differs from http.NoBody, so that http.Transport
// treats the request as one with a body, which it cannot send again.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
