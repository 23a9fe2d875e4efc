package demo

import (
	"context"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/process"
)

// task is a role that runs in the demo's process, as it would in a process of its own.
type task struct {
	name string
	// drain starts a graceful stop, cancel ends the task at once.
	drain, cancel context.CancelFunc
	done          chan struct{}
	err           error // valid once done is closed
	// stopRequested reports that the demo has stopped the task.
	stopRequested atomic.Bool
}

// startTask runs a role in the background.
func startTask(name string, role process.RunFunc) *task {
	ctx, cancel := context.WithCancel(context.Background())
	draining, drain := context.WithCancel(context.Background())
	t := &task{name: name, drain: drain, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		defer cancel()
		defer drain()
		t.err = role(ctx, draining)
	}()
	return t
}

// kill ends the task at once and waits for its end.
func (t *task) kill() {
	t.stopRequested.Store(true)
	t.cancel()
	<-t.done
}

// leave stops the task gracefully and reports whether it ended before ctx.
func (t *task) leave(ctx context.Context) bool {
	t.stopRequested.Store(true)
	t.drain()
	select {
	case <-t.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// running reports whether the task has neither ended nor been stopped.
func (t *task) running() bool {
	return !t.stopRequested.Load() && !t.ended()
}

func (t *task) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// failed reports whether the task ended by itself.
func (t *task) failed() bool { return !t.stopRequested.Load() && t.ended() }

// errorAfterEnd returns the error of a task that has ended, or nil.
func (t *task) errorAfterEnd() error {
	if !t.ended() {
		return nil
	}
	return t.err
}
