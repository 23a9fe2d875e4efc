package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/standin/backend"
	"github.com/almondledge/almondledge/internal/standin/fabric"
)

const controlHeaderTimeout = 5 * time.Second

// standinCmd groups the stand-ins for external systems; each runs as a process of its own.
type standinCmd struct {
	Platform platformCmd `cmd:"" help:"Run the platform store stand-in."`
	Fabric   fabricCmd   `cmd:"" help:"Run the fabric stand-in."`
	Backend  backendCmd  `cmd:"" help:"Run a backend server stand-in."`
}

// fabricCmd runs the fabric stand-in.
type fabricCmd struct {
	Listen   netip.AddrPort   `required:"" placeholder:"IP:PORT" help:"UDP address that balancers send replies to."`
	Control  string           `placeholder:"IP:PORT" help:"TCP address of the HTTP control endpoint."`
	Service  []netip.AddrPort `placeholder:"IP:PORT" help:"UDP address of a service, to which callers connect; may be repeated."`
	Balancer []netip.AddrPort `placeholder:"IP:PORT" help:"UDP address of a balancer; may be repeated."`
	Seed     uint64           `default:"1" help:"Seed of the random choices."`
}

// Run serves until SIGTERM or SIGINT.
func (c *fabricCmd) Run() error {
	f, err := fabric.New(c.Listen, c.Seed)
	if err != nil {
		return err
	}
	for _, addr := range c.Service {
		if _, err := f.AddService(addr); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	var balancers []fabric.Balancer
	for _, addr := range c.Balancer {
		balancers = append(balancers, fabric.Balancer{Addr: addr})
	}
	if err := f.SetBalancers(balancers); err != nil {
		return errors.Join(err, f.Close())
	}
	log.WithFields(log.Fields{"address": f.Addr(), "services": len(c.Service)}).Info("fabric started")
	return serveUntilSignal(c.Control, f.Handler(), f.Serve)
}

// backendCmd runs a backend server stand-in.
type backendCmd struct {
	Listen       netip.AddrPort `required:"" placeholder:"IP:PORT" help:"TCP address that requests are served on."`
	Control      string         `placeholder:"IP:PORT" help:"TCP address of the HTTP control endpoint."`
	Service      string         `required:"" help:"Name of the service."`
	Name         string         `required:"" help:"Name of this backend server."`
	Capacity     int            `default:"5" help:"Number of slots to announce."`
	Agent        string         `placeholder:"URL" help:"Base URL of the agent of this backend server; if empty, nothing is announced."`
	Ledger       string         `placeholder:"FILE" help:"File that records each execution of a booking."`
	Seed         uint64         `default:"1" help:"Seed of the random choices."`
	DrainTimeout time.Duration  `default:"1m" help:"Longest time between SIGTERM and the exit."`
}

// Run serves until SIGTERM or SIGINT, and then drains.
func (c *backendCmd) Run() error {
	s, err := backend.New(backend.Config{
		Listen:       c.Listen,
		Service:      c.Service,
		Name:         c.Name,
		Capacity:     c.Capacity,
		Agent:        c.Agent,
		Ledger:       c.Ledger,
		Seed:         c.Seed,
		DrainTimeout: c.DrainTimeout,
	})
	if err != nil {
		return err
	}
	log.WithFields(log.Fields{"address": s.Addr(), "service": c.Service}).Info("backend server started")
	return serveUntilSignal(c.Control, s.ControlHandler(), s.Run)
}

// serveUntilSignal runs a stand-in and its control endpoint until SIGTERM or SIGINT. A
// second signal ends the process at once.
func serveUntilSignal(control string, handler http.Handler, run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	if control != "" {
		listener, err := net.Listen("tcp", control)
		if err != nil {
			return err
		}
		group.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	}
	group.Go(func() error {
		defer func() { _ = server.Close() }()
		return run(ctx)
	})
	return group.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
