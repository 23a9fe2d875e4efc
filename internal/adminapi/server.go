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

// Limits of the server.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 2 << 20

	maxHeaderBytes        = 16 << 10
	maxConcurrentRequests = 64
	headerTimeout         = 5 * time.Second
	readTimeout           = 30 * time.Second
	handlerTimeout        = 25 * time.Second
	writeTimeout          = 2 * time.Minute
	idleTimeout           = time.Minute
	shutdownTimeout       = 5 * time.Second
)

// Options configure the API of one process.
type Options struct {
	// Instance identifies the process.
	Instance Instance
	// Token is the bearer token. If it is empty, only certificates are accepted.
	Token string
	// Ready returns an error while the process is not ready.
	Ready telemetry.Ready
	// Configuration and Members are required.
	Configuration Configuration
	Members       Members
	// Tickets is set on balancers, Drainer on agents.
	Tickets Tickets
	Drainer Drainer
	// Telemetry, if set, is served on the same address.
	Telemetry *telemetry.Process
	// Logger receives one event for each change. Required.
	Logger log.Interface
}

// api implements the handlers. It holds their options and limits the concurrent
// requests.
type api struct {
	Options
	slots chan struct{}
}

// NewHandler returns the handler of the administration address.
func NewHandler(options Options) http.Handler {
	a := &api{Options: options, slots: make(chan struct{}, maxConcurrentRequests)}
	auth := newAuthenticator(options.Token, options.Logger)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, a.state)
	mux.HandleFunc("GET "+PathPresence, a.presence)
	if options.Tickets != nil {
		mux.HandleFunc("GET "+PathServices, a.services)
		mux.HandleFunc("POST "+PathTickets, a.submit)
		mux.HandleFunc("GET "+PathTickets+"/{ticket}", a.showTicket)
		mux.HandleFunc("GET "+PathTickets+"/{ticket}/status", a.ticketStatus)
		mux.HandleFunc("GET "+PathHistory, a.history)
		mux.HandleFunc("POST "+PathDrain, a.drainByTicket)
	} else if options.Drainer != nil {
		mux.HandleFunc("POST "+PathDrain, a.drainSelf)
	}
	mux.HandleFunc("/", notFound)

	outer := http.NewServeMux()
	outer.Handle("/", auth.requireAuth(a.limitRequests(mux)))
	if options.Telemetry != nil {
		options.Telemetry.Register(outer, auth.requireAuth)
	}
	return outer
}

// limitRequests limits the number of concurrent requests, and the body and the
// duration of each.
func (a *api) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		default:
			writeProblem(w, errkind.New(errkind.Overloaded, "too many concurrent administration requests", "try again in a second"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), handlerTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, errkind.New(errkind.NotFound, "the request "+r.Method+" "+r.URL.Path+" is not served by this process",
		"see the administration API in docs/OPERATIONS.md; agents serve a part of it"))
}

// readBody decodes a body with one JSON value. It refuses unknown fields and other
// media types.
func readBody(r *http.Request, target any) error {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != typeJSON {
		return errkind.New(errkind.Invalid, "the Content-Type of the body is not JSON", "send Content-Type: "+typeJSON)
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.Invalid, "the body has data after its JSON value", "send one JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.Invalid, "the body is too long", "split the ticket")
	}
	return errkind.Wrap(err, errkind.Invalid, "the body cannot be decoded", "correct the JSON and its field names")
}

// TLSConfig returns the TLS configuration for an administration address. It
// returns nil for a loopback address, which serves plain HTTP with the bearer token.
func TLSConfig(address net.Addr, identity *pki.Identity) *tls.Config {
	if tcp, ok := address.(*net.TCPAddr); ok && tcp.IP.IsLoopback() {
		return nil
	}
	return identity.OptionalClientCertServerConfig([]string{"h2", "http/1.1"}, pki.RoleOperator)
}

// Serve serves handler on listener until ctx ends. Requests in progress then have
// shutdownTimeout to finish. If config is nil, it serves plain HTTP.
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
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
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
