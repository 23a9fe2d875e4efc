package etcd

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// budgetInterval is how often an open watch takes a token from the call budget.
const budgetInterval = time.Second

// watchBufferBytes is the initial size of the buffer for one message.
const watchBufferBytes = 4096

// watcher is one open watch.
type watcher struct {
	client *Client
	prefix string
	// delivered is the revision up to which all changes were passed to handle.
	delivered int64
	handle    func(store.WatchBatch)
}

// Watch implements store.Store.
//
// A watch that delivers nothing for Config.WatchIdle may be idle or broken. The
// client then reads whether a key under prefix has changed after the last
// delivered revision. If so, and the watch does not deliver that change within
// Config.WatchGrace, Watch returns an error, and the calling code must read the
// range again. This read does not show deleted keys, so watched data should mark
// a removal in the value instead of deleting the key.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, handle func(store.WatchBatch)) error {
	if err := c.rollback.refusalError(); err != nil {
		return err
	}
	w := &watcher{client: c, prefix: prefix, delivered: from - 1, handle: handle}
	err := w.run(ctx)
	c.count(opWatch, watchOutcome(err))
	return err
}

func watchOutcome(err error) string {
	switch errkind.Of(err) {
	case errkind.Stale:
		return outcomeStale
	case errkind.Overloaded:
		return outcomeBudget
	default:
		return outcomeLost
	}
}

func (w *watcher) run(ctx context.Context) error {
	c := w.client
	if err := c.limiter.Wait(ctx); err != nil {
		return errkind.Wrap(err, errkind.Overloaded, "the watch was not opened",
			"this node has used up its budget of store calls: try again later, or raise the budget in the settings")
	}
	request, err := newCall(opWatch, etcdapi.PathWatch, etcdapi.WatchRequest{Create: etcdapi.WatchCreateRequest{
		Key: []byte(w.prefix), RangeEnd: etcdapi.PrefixEnd(w.prefix),
		StartRevision: etcdapi.Int64(w.delivered + 1), ProgressNotify: true,
	}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	openTimer := time.AfterFunc(c.cfg.CallTimeout, cancel)
	response, err := c.send(ctx, request)
	if err != nil {
		return watchLost(err)
	}
	defer response.Body.Close()
	stream := make(chan streamItem)
	go readStream(ctx, response.Body, c.cfg.MaxResponseBytes, stream)
	first, open := <-stream
	openTimer.Stop()
	if !open {
		return watchLost(ctx.Err())
	}
	if err := w.confirm(ctx, first); err != nil {
		return err
	}
	return w.receive(ctx, stream)
}

// confirm checks the first message, which must confirm the watch.
func (w *watcher) confirm(ctx context.Context, first streamItem) error {
	result, err := first.result()
	if err != nil {
		return err
	}
	if err := w.endError(result); err != nil {
		return err
	}
	if !result.Created {
		return watchLost(errors.New("the store did not confirm the watch"))
	}
	if int64(result.Header.Revision) >= w.delivered {
		return nil
	}
	// Either the store member that serves the watch lags behind, or the store was
	// restored from an older state. A read is answered from the newest state, so it
	// fails in the second case.
	_, err = w.undeliveredRevision(ctx)
	return err
}

// receive delivers changes until the watch ends.
func (w *watcher) receive(ctx context.Context, stream <-chan streamItem) error {
	idle := time.NewTimer(w.client.cfg.WatchIdle)
	defer idle.Stop()
	tick := time.NewTicker(budgetInterval)
	defer tick.Stop()
	// awaited is the revision of a change that an idle watch has not delivered yet.
	var awaited int64
	for {
		select {
		case <-ctx.Done():
			return watchLost(ctx.Err())
		case <-tick.C:
			w.client.limiter.AllowN(time.Now(), watchTokensPerInterval)
			continue
		case item, open := <-stream:
			if !open {
				return watchLost(ctx.Err())
			}
			if err := w.deliver(item); err != nil {
				return err
			}
		case <-idle.C:
			if w.delivered < awaited {
				return watchLost(fmt.Errorf("the watch is silent since revision %d although the store has a change at revision %d", w.delivered, awaited))
			}
			undelivered, err := w.undeliveredRevision(ctx)
			if err != nil {
				return err
			}
			awaited = undelivered
		}
		if w.delivered < awaited {
			idle.Reset(w.client.cfg.WatchGrace)
		} else {
			idle.Reset(w.client.cfg.WatchIdle)
		}
	}
}

// deliver passes the changes of one message to handle.
func (w *watcher) deliver(item streamItem) error {
	result, err := item.result()
	if err != nil {
		return err
	}
	if err := w.endError(result); err != nil {
		return err
	}
	batch := store.WatchBatch{Revision: int64(result.Header.Revision)}
	for _, event := range result.Events {
		batch.Events = append(batch.Events, store.Event{Entry: entryOf(event.KV), Deleted: event.Type == etcdapi.EventDelete})
		batch.Revision = int64(event.KV.ModRevision)
	}
	if batch.Revision < w.delivered {
		return watchLost(fmt.Errorf("the watch went back from revision %d to %d", w.delivered, batch.Revision))
	}
	w.client.rollback.observe(batch.Revision)
	w.delivered = batch.Revision
	w.handle(batch)
	return nil
}

// endError returns an error if the store ended the watch, else nil.
func (w *watcher) endError(result *etcdapi.WatchResult) error {
	if result.CompactRevision > 0 {
		return errkind.New(errkind.Stale,
			fmt.Sprintf("the changes since revision %d are no longer available: the store was compacted at revision %d", w.delivered+1, result.CompactRevision),
			"read the whole range again and watch from its revision")
	}
	if result.Canceled {
		return watchLost(errors.New("the store ended the watch: " + result.CancelReason))
	}
	return nil
}

// undeliveredRevision reads the revision of a change under the prefix that the
// watch has not delivered. It returns zero if the watch has delivered all
// changes.
func (w *watcher) undeliveredRevision(ctx context.Context) (int64, error) {
	found, err := w.client.rangePage(ctx, etcdapi.RangeRequest{
		Key: []byte(w.prefix), RangeEnd: etcdapi.PrefixEnd(w.prefix),
		MinModRevision: etcdapi.Int64(w.delivered + 1), KeysOnly: true, Limit: 1,
	})
	if err != nil {
		return 0, err
	}
	if len(found.entries) == 0 {
		return 0, nil
	}
	return found.entries[0].ModRevision, nil
}

func watchLost(cause error) error {
	return errkind.Wrap(cause, errkind.Unavailable, "the watch was lost", "read the range again and watch from its revision")
}

// streamItem is one message of the watch stream, or the error that ended it.
type streamItem struct {
	message etcdapi.WatchMessage
	err     error
}

// result returns the content of the message, or an error if the message has no
// content.
func (s streamItem) result() (*etcdapi.WatchResult, error) {
	if s.err != nil {
		return nil, watchLost(s.err)
	}
	if s.message.Error != nil {
		return nil, watchLost(errors.New(s.message.Error.Message))
	}
	if s.message.Result == nil {
		return nil, watchLost(errors.New("the store sent an empty message"))
	}
	return s.message.Result, nil
}

// readStream decodes the messages of body and sends them to out. It closes out
// when body or ctx ends.
func readStream(ctx context.Context, body io.Reader, limit int64, out chan<- streamItem) {
	defer close(out)
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, watchBufferBytes), int(limit))
	for lines.Scan() {
		var item streamItem
		item.err = json.Unmarshal(lines.Bytes(), &item.message)
		select {
		case out <- item:
		case <-ctx.Done():
			return
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.EOF
	}
	select {
	case out <- streamItem{err: err}:
	case <-ctx.Done():
	}
}
