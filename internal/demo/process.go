package demo

import (
	"context"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/process"
)

// task is a role that runs in the demo's own process, as it would in a process
// of its own.
type task struct {
	name string
	// drain begins a graceful stop, cancel ends the task at once.
	drain, cancel context.CancelFunc
	done          chan struct{}
	err           error // valid after done
	// told reports that the demo stopped the task.
	told atomic.Bool
}

// begin runs a role in the background.
func begin(name string, role process.RunFunc) *task {
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
	t.told.Store(true)
	t.cancel()
	<-t.done
}

// leave stops the task gracefully and reports whether it ended before ctx.
func (t *task) leave(ctx context.Context) bool {
	t.told.Store(true)
	t.drain()
	select {
	case <-t.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// running reports whether the task has neither ended nor been told to.
func (t *task) running() bool {
	return !t.told.Load() && !t.ended()
}

func (t *task) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// failed reports that the task ended although nothing told it to.
func (t *task) failed() bool { return !t.told.Load() && t.ended() }

// errorAfterEnd returns the error of a task that has ended, or nil.
func (t *task) errorAfterEnd() error {
	if !t.ended() {
		return nil
	}
	return t.err
}
