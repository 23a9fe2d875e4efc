package etcd

import (
	"fmt"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// rollbackDetector detects a store that was restored from an older state.
//
// Calls may overlap, so an answer is compared only with the revision that had
// been seen before its call was sent.
type rollbackDetector struct {
	// revision is the highest revision seen.
	revision atomic.Int64
	// cluster is the cluster ID of the first answer that had one, or zero.
	cluster atomic.Uint64
	// refusal is the error of the first refused answer, or nil.
	refusal atomic.Pointer[errkind.Error]
}

// observe records that the store has reached revision.
func (h *rollbackDetector) observe(revision int64) {
	for {
		seen := h.revision.Load()
		if revision <= seen || h.revision.CompareAndSwap(seen, revision) {
			return
		}
	}
}

// check refuses an answer below minRevision or from another cluster. After the
// first refusal it refuses all answers, because the new revisions of a restored
// store will exceed the revisions seen before, although its content differs.
func (h *rollbackDetector) check(header etcdapi.Header, minRevision int64) error {
	if err := h.refusalError(); err != nil {
		return err
	}
	if int64(header.Revision) < minRevision {
		return h.refuse(fmt.Sprintf("the store answers at revision %d after it had reached %d", header.Revision, minRevision))
	}
	id := uint64(header.ClusterID)
	if id != 0 && !h.cluster.CompareAndSwap(0, id) && h.cluster.Load() != id {
		return h.refuse(fmt.Sprintf("the store answers as cluster %x, not %x", id, h.cluster.Load()))
	}
	h.observe(int64(header.Revision))
	return nil
}

func (h *rollbackDetector) refuse(message string) error {
	err := errkind.New(errkind.Stale, message,
		"the store was restored from an older state: restore its newest state, or restart the processes to accept this one")
	h.refusal.CompareAndSwap(nil, err)
	return err
}

// refusalError returns the error of the first refused answer, or nil.
func (h *rollbackDetector) refusalError() error {
	if err := h.refusal.Load(); err != nil {
		return err
	}
	return nil
}

// ObserveRevision records a revision that another process has seen. Later answers
// from an older state are refused.
func (c *Client) ObserveRevision(revision int64) {
	c.rollback.observe(revision)
}

// AcceptCurrentState resets the detection of older states, so that the client
// accepts the store again after a refusal.
func (c *Client) AcceptCurrentState() {
	c.rollback.revision.Store(0)
	c.rollback.cluster.Store(0)
	c.rollback.refusal.Store(nil)
}
