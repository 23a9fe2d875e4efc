package etcd

import (
	"fmt"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// history detects a store that was brought back from an older state.
//
// Calls may overlap, so an answer is only compared with what had been seen
// before its call was sent.
type history struct {
	revision atomic.Int64
	cluster  atomic.Uint64
	refused  atomic.Pointer[errkind.Error]
}

// observe records that the store has reached revision.
func (h *history) observe(revision int64) {
	for {
		seen := h.revision.Load()
		if revision <= seen || h.revision.CompareAndSwap(seen, revision) {
			return
		}
	}
}

// check compares an answer with the revision seen before its call. Once it has
// refused an answer it refuses all, because the store's new revisions will
// climb past the old ones with other content.
func (h *history) check(header etcdapi.Header, floor int64) error {
	if err := h.err(); err != nil {
		return err
	}
	if int64(header.Revision) < floor {
		return h.refuse(fmt.Sprintf("the store answers at revision %d after it had reached %d", header.Revision, floor))
	}
	id := uint64(header.ClusterID)
	if id != 0 && !h.cluster.CompareAndSwap(0, id) && h.cluster.Load() != id {
		return h.refuse(fmt.Sprintf("the store answers as cluster %x, not %x", id, h.cluster.Load()))
	}
	h.observe(int64(header.Revision))
	return nil
}

func (h *history) refuse(message string) error {
	err := errkind.New(errkind.Stale, message,
		"the store was brought back from an older state: restore its newest state, or restart the processes to accept this one")
	h.refused.CompareAndSwap(nil, err)
	return err
}

// err returns why the store is refused, or nil.
func (h *history) err() error {
	if err := h.refused.Load(); err != nil {
		return err
	}
	return nil
}

// ObserveRevision tells the client of a revision that a peer has seen.
func (c *Client) ObserveRevision(revision int64) {
	c.history.observe(revision)
}

// AcceptCurrentState accepts the present state of the store after a refusal, on an
// operator's order.
func (c *Client) AcceptCurrentState() {
	c.history.revision.Store(0)
	c.history.cluster.Store(0)
	c.history.refused.Store(nil)
}
