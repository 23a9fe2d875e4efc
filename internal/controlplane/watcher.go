package controlplane

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/store"
)

// Watcher reads the configuration from the platform store while this node is
// one of the watchers of its data centre.
type Watcher struct {
	Driver *Driver
	Store  store.Store
	// Prefix is the key prefix of the services.
	Prefix string
	// Decode turns an event into an entry. It returns false for a key that holds
	// no service. With an error, the entry must still have the service's ID if the
	// key contains it.
	Decode func(store.Event) (catalog.Entry, bool, error)
}

// Pauses between attempts to reach the store.
const (
	minStorePause = 200 * time.Millisecond
	maxStorePause = 10 * time.Second
)

// Run watches the store whenever the node is a watcher of its data centre, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.watching() {
			w.waitForChange(ctx)
			continue
		}
		w.watchWhileChosen(ctx)
	}
	return nil
}

func (w *Watcher) watching() bool {
	w.Driver.mu.Lock()
	defer w.Driver.mu.Unlock()
	return w.Driver.node.Watching()
}

func (w *Watcher) waitForChange(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.Driver.watchChanged:
	}
}

// watchWhileChosen follows the store until the node is no longer a watcher.
func (w *Watcher) watchWhileChosen(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.follow(ctx)
	}()
	for ctx.Err() == nil && w.watching() {
		w.waitForChange(ctx)
	}
	cancel()
	<-done
}

// follow reads all services and then their changes. After a failure it starts
// again, after a pause that grows.
func (w *Watcher) follow(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minStorePause
	pause.MaxInterval = maxStorePause
	for ctx.Err() == nil {
		started := time.Now()
		err := w.readAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.Driver.opts.Log.WithError(err).WithField("prefix", w.Prefix).Warn("watch of the store ended")
		if time.Since(started) > maxStorePause {
			pause.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// readAndWatch applies a full read and then the changes after it. The full read
// also shows whether the store was restored from an older state.
func (w *Watcher) readAndWatch(ctx context.Context) error {
	before := w.Driver.Catalog().Revision()
	snapshot, err := w.Store.Range(ctx, w.Prefix)
	if err != nil {
		return err
	}
	full := catalog.Delta{To: snapshot.Revision}
	for _, e := range snapshot.Entries {
		full.Entries = w.appendEntry(full.Entries, store.Event{Entry: e})
	}
	if err := w.apply(before, full); err != nil {
		return err
	}
	lastRead := snapshot.Revision
	var failed error
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = w.Store.Watch(ctx, w.Prefix, lastRead+1, func(batch store.WatchBatch) {
		if failed != nil || batch.Revision <= lastRead {
			return
		}
		if failed = w.applyBatch(lastRead, batch); failed != nil {
			cancel()
			return
		}
		lastRead = batch.Revision
	})
	if failed != nil {
		return failed
	}
	return err
}

func (w *Watcher) applyBatch(lastRead int64, batch store.WatchBatch) error {
	d := catalog.Delta{From: lastRead, To: batch.Revision}
	for _, event := range batch.Events {
		d.Entries = w.appendEntry(d.Entries, event)
	}
	return w.apply(lastRead, d)
}

// apply applies a delta. known is the active revision at the time of the read. A
// delta that reaches known but not the revision that is active now is ignored: it
// is only late, because a peer sent a newer revision first. A delta below known
// comes from a store that was restored from an older state; ApplyDelta refuses it.
func (w *Watcher) apply(known int64, d catalog.Delta) error {
	if d.To >= known && d.To < w.Driver.Catalog().Revision() {
		return nil
	}
	return w.Driver.ApplyDelta(d)
}

// appendEntry decodes one event and appends its entry. If the value cannot be
// decoded, it appends the active entry of the service, so that the service stays
// unchanged.
func (w *Watcher) appendEntry(entries []catalog.Entry, event store.Event) []catalog.Entry {
	e, ok, err := w.Decode(event)
	if err != nil {
		w.Driver.opts.Log.WithError(err).WithField("key", event.Entry.Key).Error("cannot decode a service; its last state stays active")
		if old, known := w.Driver.Catalog().ByID(e.ID); known {
			return append(entries, *old)
		}
		return entries
	}
	if !ok {
		return entries
	}
	return append(entries, e)
}
