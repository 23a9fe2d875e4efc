// Package process runs a role, such as a balancer, as an operating system process
// and handles its signals: graceful stop, immediate stop and reload.
package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// RunFunc is the main function of a role. When drain ends, it finishes the work in
// progress and returns. When ctx ends, it aborts the work in progress and returns.
type RunFunc func(ctx, drain context.Context) error

// Run calls role and returns its error. The first SIGTERM or SIGINT ends the context
// drain of role, the second SIGTERM or SIGINT ends ctx. SIGHUP calls reload.
func Run(logger log.Interface, role RunFunc, reload func() error) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drain, beginDrain := context.WithCancel(context.Background())
	defer beginDrain()
	done := make(chan error, 1)
	go func() { done <- role(ctx, drain) }()
	for {
		select {
		case err := <-done:
			return err
		case received := <-signals:
			handleSignal(logger, received, drain, beginDrain, cancel, reload)
		}
	}
}

// handleSignal handles one signal. An error of reload is only logged.
func handleSignal(logger log.Interface, received os.Signal, drain context.Context, beginDrain, cancel func(), reload func() error) {
	switch {
	case received == syscall.SIGHUP:
		if err := reload(); err != nil {
			logger.WithError(err).Error("new settings refused")
			return
		}
		logger.Info("new settings applied")
	case drain.Err() == nil:
		logger.WithField("signal", received.String()).Info("graceful stop")
		beginDrain()
	default:
		logger.WithField("signal", received.String()).Warn("immediate stop")
		cancel()
	}
}
