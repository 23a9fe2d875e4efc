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

// Transport is an http.RoundTripper that hands requests to a Platform in the
// same process, without sockets, so that tests can run it on a fake clock.
type Transport struct {
	Platform *Platform
}

// RoundTrip serves one request. It returns as soon as the answer begins, the
// answer is lost, or the request's context ends; the platform may still carry
// out a request whose caller has gone.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	exchange := &exchange{header: make(http.Header), body: writer, began: make(chan struct{})}
	served := r.Clone(r.Context())
	served.Body = io.NopCloser(bytes.NewReader(body))
	go exchange.serve(t.Platform, served)
	select {
	case <-r.Context().Done():
		_ = reader.CloseWithError(r.Context().Err())
		return nil, r.Context().Err()
	case <-exchange.began:
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
	header http.Header
	body   *io.PipeWriter
	once   sync.Once
	began  chan struct{}
	status int
	// refused and status are written before began is closed.
	refused bool
}

// refuse marks the request as one that found a closed port.
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
		e.once.Do(func() { close(e.began) })
	}()
	p.ServeHTTP(e, r)
}

// Header returns the header of the answer.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader begins the answer.
func (e *exchange) WriteHeader(status int) {
	e.once.Do(func() {
		e.status = status
		close(e.began)
	})
}

// Write sends a part of the answer.
func (e *exchange) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	return e.body.Write(b)
}

// Flush does nothing: nothing is held back.
func (e *exchange) Flush() {}
