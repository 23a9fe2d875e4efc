package adminapi

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/telemetry"
)

// Bounds of the server.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 2 << 20

	maxHeaderBytes    = 16 << 10
	maxConcurrent     = 64
	headerTimeout     = 5 * time.Second
	readTimeout       = 30 * time.Second
	handlerTimeout    = 25 * time.Second
	writeTimeout      = 2 * time.Minute
	idleTimeout       = time.Minute
	gracefulStopBound = 5 * time.Second
)

// Options configure the API of one process.
type Options struct {
	// Instance names the process.
	Instance Instance
	// Token is the bearer token; empty accepts certificates only.
	Token string
	// Ready says whether the process can do its work.
	Ready telemetry.Ready
	// Configuration and Members are required.
	Configuration Configuration
	Members       Members
	// Tickets is set on balancers, Drainer on agents.
	Tickets Tickets
	Drainer Drainer
	// Telemetry, if set, is served on the same address.
	Telemetry *telemetry.Process
	// Logger gets one event for each change. Required.
	Logger log.Interface
}

// api holds what the handlers share.
type api struct {
	Options
	slots chan struct{}
}

// NewHandler returns the handler of the administration address.
func NewHandler(options Options) http.Handler {
	a := &api{Options: options, slots: make(chan struct{}, maxConcurrent)}
	auth := newAuthenticator(options.Token, options.Logger)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, a.state)
	mux.HandleFunc("GET "+PathPresence, a.presence)
	if options.Tickets != nil {
		mux.HandleFunc("GET "+PathServices, a.services)
		mux.HandleFunc("POST "+PathTickets, a.submit)
		mux.HandleFunc("GET "+PathTickets+"/{ticket}", a.show)
		mux.HandleFunc("GET "+PathTickets+"/{ticket}/status", a.status)
		mux.HandleFunc("GET "+PathHistory, a.history)
		mux.HandleFunc("POST "+PathDrain, a.drainByTicket)
	} else if options.Drainer != nil {
		mux.HandleFunc("POST "+PathDrain, a.drainOwn)
	}
	mux.HandleFunc("/", notFound)

	outer := http.NewServeMux()
	outer.Handle("/", auth.guard(a.bound(mux)))
	if options.Telemetry != nil {
		options.Telemetry.Register(outer, auth.guard)
	}
	return outer
}

// bound limits the requests in progress, the body and the time of each.
func (a *api) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		default:
			writeProblem(w, errkind.New(errkind.Overloaded, "too many administration requests at a time", "try again in a second"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), handlerTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, errkind.New(errkind.NotFound, "no "+r.Method+" "+r.URL.Path+" here",
		"see the administration API in docs/OPERATIONS.md; agents serve a part of it"))
}

// readBody reads one JSON value and refuses unknown fields and other types.
func readBody(r *http.Request, target any) error {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != typeJSON {
		return errkind.New(errkind.Invalid, "the body is not declared as JSON", "send Content-Type: "+typeJSON)
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.Invalid, "the body goes on after its JSON value", "send one JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.Invalid, "the body is too long", "split the ticket")
	}
	return errkind.Wrap(err, errkind.Invalid, "the body is refused", "correct the JSON and its field names")
}

// TLSConfig returns the configuration for an administration address, or nil for
// loopback, where plain HTTP with the bearer token is served.
func TLSConfig(address net.Addr, identity *pki.Identity) *tls.Config {
	if tcp, ok := address.(*net.TCPAddr); ok && tcp.IP.IsLoopback() {
		return nil
	}
	return identity.OptionalClientCertServerConfig([]string{"h2", "http/1.1"}, pki.RoleOperator)
}

// Serve serves handler on listener until ctx ends, and lets requests in
// progress finish for a few seconds. Config nil serves plain HTTP.
func Serve(ctx context.Context, listener net.Listener, config *tls.Config, handler http.Handler, logger log.Interface) error {
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.NewStandardLogger(logger, "administration server"),
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), gracefulStopBound)
		defer cancel()
		_ = server.Shutdown(grace)
		_ = server.Close()
	})
	var err error
	if config != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
