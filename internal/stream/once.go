package stream

import (
	"io"
	"net/http"
)

// onceTransport keeps http.Transport from repeating a request by itself. The
// transport repeats a request without a body after some errors that a peer may
// also send after it ran the request (a stream reset with PROTOCOL_ERROR), and
// it treats any request with an Idempotency-Key header as repeatable. Whether a
// request may run again is for the agent to decide.
type onceTransport struct {
	inner http.RoundTripper
}

// RoundTrip sends the request once. Requests that are safe by their method keep
// the transport's own repeats.
func (t onceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		return t.inner.RoundTrip(request)
	}
	once := *request
	once.GetBody = nil
	if once.Body == nil || once.Body == http.NoBody {
		once.Body = emptyBody{}
	}
	return t.inner.RoundTrip(&once)
}

// emptyBody is an empty body that the transport does not recognise as one.
type emptyBody struct{}

// Read reports the end of the body.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
