// Package process runs a role as an operating system process: it turns signals
// into a graceful stop, an immediate stop or a reload.
package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// RunFunc is the work of a process. It ends when ctx ends, which cuts what runs,
// or some time after drain ends, when everything under way has finished.
type RunFunc func(ctx, drain context.Context) error

// Run runs role until it returns. The first SIGTERM or SIGINT ends drain, the
// second ends ctx; SIGHUP calls reload.
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
			handle(logger, received, drain, beginDrain, cancel, reload)
		}
	}
}

func handle(logger log.Interface, received os.Signal, drain context.Context, beginDrain, cancel func(), reload func() error) {
	switch {
	case received == syscall.SIGHUP:
		if err := reload(); err != nil {
			logger.WithError(err).Error("new settings refused")
			return
		}
		logger.Info("new settings in force")
	case drain.Err() == nil:
		logger.WithField("signal", received.String()).Info("graceful stop")
		beginDrain()
	default:
		logger.WithField("signal", received.String()).Warn("immediate stop")
		cancel()
	}
}
