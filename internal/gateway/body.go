package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

var errBodyClosed = errors.New("request body closed")

// requestBody is the body of a caller's request. It is either buffered, or streamed from the caller
// and then readable only once.
type requestBody struct {
	buffered []byte
	stream   io.Reader
	consumed bool
	empty    bool
}

func newRequestBody(r *http.Request) *requestBody {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{empty: true}
	}
	return &requestBody{stream: r.Body}
}

// buffer reads the body into memory. It reports whether the body fits into limit bytes.
func (b *requestBody) buffer(limit int) (fits bool, err error) {
	if b.empty {
		return true, nil
	}
	data, err := io.ReadAll(io.LimitReader(b.stream, int64(limit)+1))
	if err != nil {
		return false, err
	}
	if len(data) > limit {
		return false, nil
	}
	b.buffered = data
	b.stream = nil
	return true, nil
}

// open returns the body for one attempt. The body of the attempt before must be closed.
func (b *requestBody) open() *attemptBody {
	switch {
	case b.empty:
		return &attemptBody{}
	case b.stream == nil:
		return &attemptBody{source: bytes.NewReader(b.buffered)}
	default:
		return &attemptBody{source: b.stream, streamed: true}
	}
}

// closeAttempt closes the body of an attempt and notes whether part of the stream was consumed.
func (b *requestBody) closeAttempt(a *attemptBody) {
	if a.stopReading() && a.streamed {
		b.consumed = true
	}
}

// attemptBody is the request body that one attempt reads. After Close it no longer reads from its
// source, so that two attempts never read from the same stream.
type attemptBody struct {
	source   io.Reader
	streamed bool

	mu       sync.Mutex
	reading  bool
	consumed bool
	closed   bool
}

// reader returns the body for an http.Request.
func (a *attemptBody) reader() io.ReadCloser {
	if a.source == nil {
		return http.NoBody
	}
	return a
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return 0, errBodyClosed
	}
	a.reading = true
	a.mu.Unlock()
	n, err := a.source.Read(p)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = false
	// An empty body over HTTP/3 has no length and ends at the first read. It does not count as
	// consumed.
	if n > 0 || err != nil && !errors.Is(err, io.EOF) {
		a.consumed = true
	}
	return n, err
}

// Close implements io.Closer.
func (a *attemptBody) Close() error {
	a.stopReading()
	return nil
}

// isConsumed reports whether part of the caller's stream was consumed.
func (a *attemptBody) isConsumed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streamed && (a.consumed || a.reading)
}

// stopReading stops reading and reports whether anything was read or a read is in progress.
func (a *attemptBody) stopReading() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.consumed || a.reading
}
