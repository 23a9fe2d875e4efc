package platform

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Transport is an http.RoundTripper that passes requests to a Platform in the
// same process, without sockets, so that tests can run it on a fake clock.
type Transport struct {
	Platform *Platform
}

// RoundTrip serves one request. It returns as soon as the answer begins, the
// answer is lost, or the request's context ends; the platform may still carry
// out a request whose caller has given up.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	exchange := &exchange{header: make(http.Header), body: writer, started: make(chan struct{})}
	served := r.Clone(r.Context())
	served.Body = io.NopCloser(bytes.NewReader(body))
	go exchange.serve(t.Platform, served)
	select {
	case <-r.Context().Done():
		_ = reader.CloseWithError(r.Context().Err())
		return nil, r.Context().Err()
	case <-exchange.started:
	}
	if exchange.refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if exchange.status == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return &http.Response{
		StatusCode: exchange.status, Header: exchange.header, Body: reader, Request: r,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1,
	}, nil
}

// exchange is the ResponseWriter of one request.
type exchange struct {
	header  http.Header
	body    *io.PipeWriter
	once    sync.Once
	started chan struct{} // closed when the answer has started or is lost
	status  int           // zero if the answer is lost
	// refused and status are written before started is closed.
	refused bool
}

// refuse makes RoundTrip fail as a connection to a closed port does.
func (e *exchange) refuse() { e.refused = true }

func (e *exchange) serve(p *Platform, r *http.Request) {
	defer func() {
		cause := io.EOF
		if problem := recover(); problem != nil {
			err, ok := problem.(error)
			if !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(problem)
			}
			cause = io.ErrUnexpectedEOF
		}
		_ = e.body.CloseWithError(cause)
		e.once.Do(func() { close(e.started) })
	}()
	p.ServeHTTP(e, r)
}

// Header returns the header of the answer.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader starts the answer.
func (e *exchange) WriteHeader(status int) {
	e.once.Do(func() {
		e.status = status
		close(e.started)
	})
}

// Write sends a part of the answer.
func (e *exchange) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	return e.body.Write(b)
}

// Flush does nothing because Write does not buffer.
func (e *exchange) Flush() {}
