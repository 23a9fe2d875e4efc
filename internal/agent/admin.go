package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/administration"
	"github.com/almondledge/almondledge/internal/announce"
	"github.com/almondledge/almondledge/internal/errkind"
)

// serveAdmin serves the administration API until ctx ends.
func (a *Agent) serveAdmin(ctx context.Context) error {
	listener, err := a.network.ListenTCP(a.settings.Admin)
	if err != nil {
		return err
	}
	handler := adminapi.NewHandler(adminapi.Options{
		Instance:      administration.Instance(a.settings.Common),
		Token:         string(a.settings.AdminToken),
		Ready:         a.Ready,
		Configuration: administration.Configuration{Driver: a.driver},
		Members:       a.driver,
		Drainer:       a,
		Telemetry:     a.process,
		Logger:        a.log,
	})
	return adminapi.Serve(ctx, listener, adminapi.TLSConfig(listener.Addr(), a.identity), handler, a.log)
}

// serveHealth serves metrics, health and readiness on the administration address, so
// that an agent can report that it still waits for its backend server or its service.
// The returned function stops the server and returns when the address is free.
func (a *Agent) serveHealth(ctx context.Context) (func(), error) {
	listener, err := a.network.ListenTCP(a.settings.Admin)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	a.process.Register(mux, func(http.Handler) http.Handler { return http.NotFoundHandler() })
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := adminapi.Serve(ctx, listener, adminapi.TLSConfig(listener.Addr(), a.identity), mux, a.log); err != nil {
			a.log.WithError(err).Error("health server failed")
		}
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

// Drain takes the backend server out of service until the process ends. A drain that
// must outlast the process needs a change ticket.
func (a *Agent) Drain(submitter string) error {
	if !a.drained.Swap(true) {
		a.log.WithField("submitter", submitter).Info("drain requested")
	}
	return nil
}

// Ready returns nil when the agent accepts new flows, or the reason why not.
func (a *Agent) Ready() error {
	if !a.serving.Load() {
		return errkind.New(errkind.Unavailable, "the agent accepts no new flows",
			"see the log: it waits for its backend server or its service, or it is draining")
	}
	return nil
}

// Revision returns the store revision of the active configuration, or zero while the
// agent waits for its backend server or its service.
func (a *Agent) Revision() int64 {
	if !a.assembled.Load() {
		return 0
	}
	return a.driver.Catalog().Revision()
}

// startAnnounceServer serves the endpoint to which the backend server posts its
// announcements, if the settings name an address for it.
func (a *Agent) startAnnounceServer() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(announce.Path, a.registry)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: time.Second}
	if !a.settings.Announce.IsValid() {
		return server, nil
	}
	listener, err := a.network.ListenTCP(a.settings.Announce)
	if err != nil {
		return nil, err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.log.WithError(err).Error("announce server failed")
		}
	}()
	return server, nil
}
