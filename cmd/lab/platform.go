package main

import (
	"context"
	"net/netip"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/standin/platform"
)

// platformCmd runs the stand-in for the platform's store.
type platformCmd struct {
	Listen netip.AddrPort `required:"" placeholder:"IP:PORT" help:"TCP address of the store's HTTP gateway."`
}

// Run serves until SIGTERM or SIGINT. The control endpoint is served at the same address.
func (c platformCmd) Run() error {
	server, err := platform.Listen(c.Listen.String())
	if err != nil {
		return err
	}
	log.WithField("url", server.URL()).Info("platform store started")
	return serveUntilSignal("", nil, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return ignoreServerClosed(server.Serve())
	})
}
