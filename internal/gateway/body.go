package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

var errBodyClosed = errors.New("request body closed")

// requestBody is the body of a caller's request: buffered, or read once from
// the caller while it is sent on.
type requestBody struct {
	buffered []byte
	stream   io.Reader
	spent    bool
	empty    bool
}

func newRequestBody(r *http.Request) *requestBody {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{empty: true}
	}
	return &requestBody{stream: r.Body}
}

// buffer reads the body into memory, or reports that it is larger than limit.
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

// open returns the body for one attempt; the attempt before must be closed.
func (b *requestBody) open() *attemptBody {
	switch {
	case b.empty:
		return &attemptBody{}
	case b.stream == nil:
		return &attemptBody{source: bytes.NewReader(b.buffered)}
	default:
		return &attemptBody{source: b.stream, once: true}
	}
}

// end closes the body of an attempt and notes whether a part of the stream is gone.
func (b *requestBody) end(a *attemptBody) {
	if a.shut() && a.once {
		b.spent = true
	}
}

// attemptBody is the request body as one attempt reads it. After Close it
// reads nothing more, so that two attempts never share a stream.
type attemptBody struct {
	source io.Reader
	once   bool

	mu      sync.Mutex
	reading bool
	gone    bool
	closed  bool
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
	// An empty body over HTTP/3 has no length and ends at the first read: then
	// nothing of it is gone.
	if n > 0 || err != nil && !errors.Is(err, io.EOF) {
		a.gone = true
	}
	return n, err
}

// Close implements io.Closer.
func (a *attemptBody) Close() error {
	a.shut()
	return nil
}

// isSpent reports whether a part of the caller's stream is gone.
func (a *attemptBody) isSpent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.once && (a.gone || a.reading)
}

// shut ends reading and reports whether anything was read or is about to be.
func (a *attemptBody) shut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.gone || a.reading
}
