// Package store defines what almondledge needs of the platform's key-value
// service: compare-and-swap transactions, leases and watches.
package store

import (
	"context"
	"time"
)

// Entry is one key with its value.
type Entry struct {
	// Key is the full key.
	Key string
	// Value is the stored value.
	Value []byte
	// CreateRevision is the store revision that created the key.
	CreateRevision int64
	// ModRevision is the store revision that last changed the key.
	ModRevision int64
	// Lease is the lease that the key is bound to, or zero.
	Lease LeaseID
}

// Snapshot is the result of a range read at one revision.
type Snapshot struct {
	// Entries are sorted by key.
	Entries []Entry
	// Revision is the store revision that the entries belong to.
	Revision int64
}

// LeaseID identifies a lease.
type LeaseID int64

// Compare is a condition on the modification revision of a key. A revision of
// zero requires that the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a value, optionally bound to a lease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is applied as a whole if every comparison holds, and not at all otherwise.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// TxnResult is the certain outcome of a transaction.
type TxnResult struct {
	// Succeeded reports whether the comparisons held and the writes were applied.
	Succeeded bool
	// Revision is the store revision after the transaction.
	Revision int64
}

// Event is one change that a watch reports.
type Event struct {
	// Entry holds the new value; for a deletion only Key and ModRevision are set.
	Entry Entry
	// Deleted reports that the key was removed.
	Deleted bool
}

// WatchBatch holds the changes of consecutive revisions, in order.
type WatchBatch struct {
	Events []Event
	// Revision is the store revision up to which the watch is complete.
	Revision int64
}

// Store is the platform's key-value service.
//
// Errors carry a kind of package errkind. A write that failed is NotApplied when
// it certainly had no effect, and Unknown when it may have taken effect, now or
// later. A read that failed is Unavailable, or Overloaded when the node's own
// call budget is spent. Stale means that a watch asks for compacted revisions,
// or that the store answers from an older state than it did before.
type Store interface {
	// Get returns the entry of key, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Range returns all entries whose key starts with prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// GetAll returns those of the keys that exist, all read at one revision.
	GetAll(ctx context.Context, keys []string) (Snapshot, error)
	// Commit applies txn.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once; an error of kind NotFound means that it lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes the keys bound to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch sends the changes under prefix from revision from on, until ctx ends
	// or the watch fails; then it returns. It calls handle from one goroutine.
	Watch(ctx context.Context, prefix string, from int64, handle func(WatchBatch)) error
}
