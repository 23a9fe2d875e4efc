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

// budgetTick is how often a waiting watch takes a token from the call budget.
const budgetTick = time.Second

// watchBufferBytes is the first size of the buffer for one message.
const watchBufferBytes = 4096

// watcher is one open watch.
type watcher struct {
	client *Client
	prefix string
	// complete is the revision up to which all changes were handed over.
	complete int64
	handle   func(store.WatchBatch)
}

// Watch implements store.Store.
//
// A watch that says nothing for Config.WatchIdle may be quiet or broken. The
// client then asks the store for keys under prefix that are newer than what the
// watch delivered. If there are any and the watch does not deliver them within
// Config.WatchGrace, Watch ends with an error and the caller reads the range
// again. Removed keys do not show up in that question, so what is watched
// should keep a record of a removal rather than remove the key.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, handle func(store.WatchBatch)) error {
	if err := c.history.err(); err != nil {
		return err
	}
	w := &watcher{client: c, prefix: prefix, complete: from - 1, handle: handle}
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
		return errkind.Wrap(err, errkind.Overloaded, "a watch was not begun",
			"this node's budget of store calls is spent: try again later, or raise the budget in the settings")
	}
	request, err := newCall(opWatch, etcdapi.PathWatch, etcdapi.WatchRequest{Create: etcdapi.WatchCreateRequest{
		Key: []byte(w.prefix), RangeEnd: etcdapi.PrefixEnd(w.prefix),
		StartRevision: etcdapi.Int64(w.complete + 1), ProgressNotify: true,
	}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := time.AfterFunc(c.cfg.CallTimeout, cancel)
	response, err := c.send(ctx, request)
	if err != nil {
		return watchLost(err)
	}
	defer response.Body.Close()
	stream := make(chan streamItem)
	go readStream(ctx, response.Body, c.cfg.MaxResponseBytes, stream)
	first, open := <-stream
	overdue.Stop()
	if !open {
		return watchLost(ctx.Err())
	}
	if err := w.begin(ctx, first); err != nil {
		return err
	}
	return w.follow(ctx, stream)
}

// begin checks the message that confirms the watch.
func (w *watcher) begin(ctx context.Context, first streamItem) error {
	result, err := first.result()
	if err != nil {
		return err
	}
	if err := w.ended(result); err != nil {
		return err
	}
	if !result.Created {
		return watchLost(errors.New("the store did not confirm the watch"))
	}
	if int64(result.Header.Revision) >= w.complete {
		return nil
	}
	// The member that serves the watch lags, or the store went back. A read is
	// answered from the newest state and tells which.
	_, err = w.newer(ctx)
	return err
}

// follow hands over changes until the watch ends.
func (w *watcher) follow(ctx context.Context, stream <-chan streamItem) error {
	idle := time.NewTimer(w.client.cfg.WatchIdle)
	defer idle.Stop()
	tick := time.NewTicker(budgetTick)
	defer tick.Stop()
	// missed is the revision that a silent watch has yet to deliver.
	var missed int64
	for {
		select {
		case <-ctx.Done():
			return watchLost(ctx.Err())
		case <-tick.C:
			w.client.limiter.AllowN(time.Now(), tokensOfWaitingRead)
			continue
		case item, open := <-stream:
			if !open {
				return watchLost(ctx.Err())
			}
			if err := w.deliver(item); err != nil {
				return err
			}
		case <-idle.C:
			if w.complete < missed {
				return watchLost(fmt.Errorf("the watch is silent since revision %d although revision %d is there", w.complete, missed))
			}
			newer, err := w.newer(ctx)
			if err != nil {
				return err
			}
			missed = newer
		}
		if w.complete < missed {
			idle.Reset(w.client.cfg.WatchGrace)
		} else {
			idle.Reset(w.client.cfg.WatchIdle)
		}
	}
}

// deliver hands over the changes of one message.
func (w *watcher) deliver(item streamItem) error {
	result, err := item.result()
	if err != nil {
		return err
	}
	if err := w.ended(result); err != nil {
		return err
	}
	batch := store.WatchBatch{Revision: int64(result.Header.Revision)}
	for _, event := range result.Events {
		batch.Events = append(batch.Events, store.Event{Entry: entryOf(event.KV), Deleted: event.Type == etcdapi.EventDelete})
		batch.Revision = int64(event.KV.ModRevision)
	}
	if batch.Revision < w.complete {
		return watchLost(fmt.Errorf("the watch went back from revision %d to %d", w.complete, batch.Revision))
	}
	w.client.history.observe(batch.Revision)
	w.complete = batch.Revision
	w.handle(batch)
	return nil
}

// ended returns why the store ended the watch, or nil.
func (w *watcher) ended(result *etcdapi.WatchResult) error {
	if result.CompactRevision > 0 {
		return errkind.New(errkind.Stale,
			fmt.Sprintf("the changes since revision %d are gone: the store was compacted at revision %d", w.complete+1, result.CompactRevision),
			"read the whole range again and watch from its revision")
	}
	if result.Canceled {
		return watchLost(errors.New("the store ended the watch: " + result.CancelReason))
	}
	return nil
}

// newer returns the revision of a key under the prefix that the watch has not
// delivered, or zero.
func (w *watcher) newer(ctx context.Context) (int64, error) {
	found, err := w.client.rangePage(ctx, etcdapi.RangeRequest{
		Key: []byte(w.prefix), RangeEnd: etcdapi.PrefixEnd(w.prefix),
		MinModRevision: etcdapi.Int64(w.complete + 1), KeysOnly: true, Limit: 1,
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

// streamItem is one message of the stream, or the error that ended it.
type streamItem struct {
	message etcdapi.WatchMessage
	err     error
}

// result returns the content of a message.
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

// readStream sends the messages of body until it ends or ctx ends, then closes out.
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
