// Package store defines the interface of the platform's key-value service:
// compare-and-swap transactions, leases and watches.
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
	// Lease is the lease that the key is attached to, or zero.
	Lease LeaseID
}

// Position is a point in the history of the store.
type Position struct {
	// Epoch identifies the history. The store begins a new one when it is restored from an earlier copy:
	// changes since that copy are lost, also leases, and revisions are given out again. Epochs are compared for
	// equality only. Zero means unknown.
	Epoch    uint64
	Revision int64
}

// Snapshot is the result of a range read at one revision.
type Snapshot struct {
	// Entries are sorted by key.
	Entries []Entry
	// Revision is the store revision at which the entries were read.
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

// Put writes a value. A key with a lease is deleted when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: all writes are applied if every comparison holds, and no
// write otherwise.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// TxnResult is the outcome of a transaction that the store answered.
type TxnResult struct {
	// Succeeded reports whether the comparisons held and the writes were applied.
	Succeeded bool
	// Revision is the store revision after the transaction.
	Revision int64
}

// Event is one change of a key, reported by a watch.
type Event struct {
	// Entry holds the new value; for a deletion only Key and ModRevision are set.
	Entry Entry
	// Deleted reports that the key was deleted.
	Deleted bool
}

// WatchBatch holds the changes of consecutive revisions, in order.
type WatchBatch struct {
	Events []Event
	// Revision is the store revision up to which the watch has delivered all changes.
	Revision int64
}

// Store is the platform's key-value service.
//
// Errors have a kind of package errkind. A failed write returns NotApplied if it
// certainly had no effect, and Unknown if it may have been applied or may still
// be applied later. A failed read returns Unavailable, or Overloaded if the node
// has used up its own call budget. Stale means that a watch starts at a compacted
// revision, or that the store answers from an older state than before.
type Store interface {
	// Get returns the entry of key, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Range returns all entries whose key starts with prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// GetAll returns the entries of the keys that exist, all read at one
	// revision.
	GetAll(ctx context.Context, keys []string) (Snapshot, error)
	// Commit applies txn if its comparisons hold.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once. An error of kind NotFound means that it expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch passes all changes under prefix, starting at revision from, to handle.
	// It returns when ctx ends or the watch fails. It calls handle from one
	// goroutine.
	Watch(ctx context.Context, prefix string, from int64, handle func(WatchBatch)) error
}
