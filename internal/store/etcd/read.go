package etcd

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// maxRangeAttempts bounds how often Range starts from the first page. It starts again
// if the revision that it reads is compacted between two pages.
const maxRangeAttempts = 3

// maxRangeEntries bounds the entries that Range returns. It is twice the number of
// service IDs, which have 16 bits.
const maxRangeEntries = 1 << 17

// read sends a call that is safe to repeat, and retries it until it succeeds,
// fails for good or Config.ReadTimeout is over.
func (c *Client) read(ctx context.Context, request call, handle func(answer) error) error {
	if err := c.rollback.refusalError(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReadTimeout)
	defer cancel()
	var last error
	attempt := func() (struct{}, error) {
		err := c.attempt(ctx, request, handle)
		if err == nil {
			last = nil
			return struct{}{}, nil
		}
		last = err
		var failure *callError
		if errors.As(err, &failure) && isFinalForRead(failure) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, _ = backoff.Retry(ctx, attempt, backoff.WithBackOff(c.cfg.NewBackOff()), backoff.WithMaxElapsedTime(0))
	return readError(request, last)
}

// isFinalForRead reports whether a read must not be retried after failure.
func isFinalForRead(failure *callError) bool {
	return failure.isPermanent() || failure.outcome == outcomeStale || errors.Is(failure, errTooLarge)
}

// readError converts the failure of the last attempt into an errkind.Error.
func readError(request call, last error) error {
	if last == nil {
		return nil
	}
	var failure *callError
	if !errors.As(last, &failure) {
		return last
	}
	if failure.outcome == outcomeStale {
		return failure.cause
	}
	message := fmt.Sprintf("the store did not answer a %s call", request.op)
	if failure.outcome == outcomeBudget && !errors.Is(failure, context.Canceled) {
		return errkind.Wrap(failure, errkind.Overloaded, message,
			"this node has used up its budget of store calls: try again later, or raise the budget in the settings")
	}
	if failure.isPermanent() {
		return errkind.Wrap(failure, errkind.Unavailable, "the store refused a "+request.op+" call",
			"check that the endpoints in the settings belong to the platform's store")
	}
	return errkind.Wrap(failure, errkind.Unavailable, message, "check the store and the endpoints in the settings, then try again")
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	snapshot, err := c.rangePage(ctx, etcdapi.RangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Entry{}, err
	}
	if len(snapshot.entries) == 0 {
		return store.Entry{}, errkind.New(errkind.NotFound, "the store has no key "+key, "check the key")
	}
	return snapshot.entries[0], nil
}

// page is one answer to a range call.
type page struct {
	entries  []store.Entry
	revision int64
	more     bool
}

// errUnexpectedKeys is the cause of a callError for an answer with keys that were
// not requested or are out of order.
var errUnexpectedKeys = errors.New("the answer has keys outside the requested range or out of order")

// isWithin reports whether the keys of the page ascend and lie within the range
// of the request. The check ensures that every page of Range makes progress.
func (p page) isWithin(request etcdapi.RangeRequest) bool {
	if len(request.RangeEnd) == 0 {
		return len(p.entries) == 0 || (len(p.entries) == 1 && p.entries[0].Key == string(request.Key))
	}
	previous := ""
	for i, entry := range p.entries {
		if entry.Key < string(request.Key) || entry.Key >= string(request.RangeEnd) {
			return false
		}
		if i > 0 && entry.Key <= previous {
			return false
		}
		previous = entry.Key
	}
	return true
}

func (c *Client) rangePage(ctx context.Context, body etcdapi.RangeRequest) (page, error) {
	request, err := newCall(opRange, etcdapi.PathRange, body)
	if err != nil {
		return page{}, err
	}
	var result page
	err = c.read(ctx, request, func(a answer) error {
		var response etcdapi.RangeResponse
		if err := a.decode(&response); err != nil {
			return err
		}
		result = page{entries: entriesOf(response.KVs), revision: int64(response.Header.Revision), more: response.More}
		if !result.isWithin(body) {
			return &callError{outcome: outcomeBad, cause: errUnexpectedKeys}
		}
		return c.checkHeader(response.Header, a.minRevision)
	})
	return result, err
}

// Range implements store.Store. It reads in pages, all at the revision of the
// first page.
func (c *Client) Range(ctx context.Context, prefix string) (store.Snapshot, error) {
	var err error
	for range maxRangeAttempts {
		var snapshot store.Snapshot
		snapshot, err = c.rangeOnce(ctx, prefix)
		if !isCompacted(err) {
			return snapshot, err
		}
	}
	return store.Snapshot{}, err
}

func (c *Client) rangeOnce(ctx context.Context, prefix string) (store.Snapshot, error) {
	var snapshot store.Snapshot
	request := etcdapi.RangeRequest{
		Key: []byte(prefix), RangeEnd: etcdapi.PrefixEnd(prefix), Limit: etcdapi.Int64(c.cfg.PageSize),
	}
	for {
		next, err := c.rangePage(ctx, request)
		if errors.Is(err, errTooLarge) && request.Limit > 1 {
			request.Limit /= 2
			continue
		}
		if err != nil {
			return store.Snapshot{}, err
		}
		if snapshot.Revision == 0 {
			snapshot.Revision = next.revision
			request.Revision = etcdapi.Int64(next.revision)
		}
		snapshot.Entries = append(snapshot.Entries, next.entries...)
		if len(snapshot.Entries) > maxRangeEntries {
			return store.Snapshot{}, errkind.New(errkind.Unavailable,
				fmt.Sprintf("the store has more than %d keys under %s", maxRangeEntries, prefix),
				"find out which other program writes there")
		}
		if !next.more || len(next.entries) == 0 {
			return snapshot, nil
		}
		request.Key = append([]byte(next.entries[len(next.entries)-1].Key), 0)
	}
}

// isCompacted reports whether a read failed because its revision was compacted.
func isCompacted(err error) bool {
	var failure *callError
	return errors.As(err, &failure) && failure.code == etcdapi.CodeOutOfRange
}

// GetAll implements store.Store. It reads all keys in one read-only transaction.
func (c *Client) GetAll(ctx context.Context, keys []string) (store.Snapshot, error) {
	if len(keys) > etcdapi.MaxTxnOps {
		return store.Snapshot{}, errkind.New(errkind.Invalid, fmt.Sprintf("%d keys are too many for one read", len(keys)),
			fmt.Sprintf("read at most %d keys at a time", etcdapi.MaxTxnOps))
	}
	var body etcdapi.TxnRequest
	for _, key := range keys {
		body.Success = append(body.Success, etcdapi.RequestOp{Range: &etcdapi.RangeRequest{Key: []byte(key)}})
	}
	request, err := newCall(opRange, etcdapi.PathTxn, body)
	if err != nil {
		return store.Snapshot{}, err
	}
	var snapshot store.Snapshot
	err = c.read(ctx, request, func(a answer) error {
		var response etcdapi.TxnResponse
		if err := a.decode(&response); err != nil {
			return err
		}
		if !response.Succeeded || len(response.Responses) != len(keys) {
			return &callError{outcome: outcomeBad, cause: errIncomplete}
		}
		if !matchesKeys(response, keys) {
			return &callError{outcome: outcomeBad, cause: errUnexpectedKeys}
		}
		snapshot = snapshotOf(response)
		return c.checkHeader(response.Header, a.minRevision)
	})
	return snapshot, err
}

// errIncomplete is the cause of a callError for an answer to a transaction that
// lacks the results of some operations.
var errIncomplete = errors.New("the answer does not cover every operation")

// matchesKeys reports whether every part of the answer belongs to the key at the
// same position.
func matchesKeys(response etcdapi.TxnResponse, keys []string) bool {
	for i, part := range response.Responses {
		if part.Range == nil {
			return false
		}
		single := page{entries: entriesOf(part.Range.KVs)}
		if !single.isWithin(etcdapi.RangeRequest{Key: []byte(keys[i])}) {
			return false
		}
	}
	return true
}

func snapshotOf(response etcdapi.TxnResponse) store.Snapshot {
	snapshot := store.Snapshot{Revision: int64(response.Header.Revision)}
	for _, part := range response.Responses {
		if part.Range != nil {
			snapshot.Entries = append(snapshot.Entries, entriesOf(part.Range.KVs)...)
		}
	}
	slices.SortFunc(snapshot.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return snapshot
}

func entriesOf(kvs []etcdapi.KeyValue) []store.Entry {
	entries := make([]store.Entry, 0, len(kvs))
	for _, kv := range kvs {
		entries = append(entries, entryOf(kv))
	}
	return entries
}

func entryOf(kv etcdapi.KeyValue) store.Entry {
	return store.Entry{
		Key: string(kv.Key), Value: kv.Value,
		CreateRevision: int64(kv.CreateRevision), ModRevision: int64(kv.ModRevision),
		Lease: store.LeaseID(kv.Lease),
	}
}
