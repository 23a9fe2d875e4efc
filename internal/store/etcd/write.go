package etcd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// errNoLease is the cause of a callError for a grant without a lease ID.
var errNoLease = errors.New("the answer has no lease ID")

// write sends a call that changes the store. It sends it at most once.
func (c *Client) write(ctx context.Context, request call, handle func(answer) error) error {
	if err := c.rollback.refusalError(); err != nil {
		return err
	}
	err := c.attempt(ctx, request, handle)
	var failure *callError
	if !errors.As(err, &failure) {
		return err
	}
	if failure.hadNoEffect() {
		return errkind.Wrap(failure, errkind.NotApplied, "the store did not accept a "+request.op+" call",
			"nothing was changed: check the store, then try again")
	}
	return errkind.Wrap(failure, errkind.Unknown, "the outcome of a "+request.op+" call is unknown",
		"read the stored state before trying again")
}

// Commit implements store.Store.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	body := txnRequest(txn)
	if operations := max(len(body.Compare), len(body.Success)); operations > etcdapi.MaxTxnOps {
		return store.TxnResult{}, errkind.New(errkind.NotApplied, fmt.Sprintf("a transaction of %d operations is too large", operations),
			fmt.Sprintf("split it: the store accepts at most %d", etcdapi.MaxTxnOps))
	}
	request, err := newCall(opTxn, etcdapi.PathTxn, body)
	if err != nil {
		return store.TxnResult{}, errkind.Wrap(err, errkind.NotApplied, "the transaction cannot be encoded", "report this error")
	}
	var result store.TxnResult
	err = c.write(ctx, request, func(a answer) error {
		var response etcdapi.TxnResponse
		if err := a.decode(&response); err != nil {
			return err
		}
		if response.Succeeded && len(response.Responses) != len(body.Success) {
			return &callError{outcome: outcomeBad, cause: errIncomplete}
		}
		result = store.TxnResult{Succeeded: response.Succeeded, Revision: int64(response.Header.Revision)}
		return c.checkHeader(response.Header, a.minRevision)
	})
	if err != nil {
		return store.TxnResult{}, err
	}
	return result, nil
}

func txnRequest(txn store.Txn) etcdapi.TxnRequest {
	var body etcdapi.TxnRequest
	for _, compare := range txn.Compares {
		body.Compare = append(body.Compare, etcdapi.Compare{
			Result: etcdapi.ResultEqual, Target: etcdapi.TargetMod,
			Key: []byte(compare.Key), ModRevision: etcdapi.Int64(compare.ModRevision),
		})
	}
	for _, put := range txn.Puts {
		op := &etcdapi.PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: etcdapi.Int64(put.Lease)}
		body.Success = append(body.Success, etcdapi.RequestOp{Put: op})
	}
	for _, key := range txn.Deletes {
		body.Success = append(body.Success, etcdapi.RequestOp{DeleteRange: &etcdapi.DeleteRangeRequest{Key: []byte(key)}})
	}
	return body
}

// Grant implements store.Store. It rounds ttl up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := (ttl + time.Second - 1) / time.Second
	request, err := newCall(opGrant, etcdapi.PathGrant, etcdapi.LeaseGrantRequest{TTL: etcdapi.Int64(seconds)})
	if err != nil {
		return 0, err
	}
	var id store.LeaseID
	err = c.write(ctx, request, func(a answer) error {
		var response etcdapi.LeaseGrantResponse
		if err := a.decode(&response); err != nil {
			return err
		}
		if response.ID == 0 {
			return &callError{outcome: outcomeBad, cause: errNoLease}
		}
		id = store.LeaseID(response.ID)
		return c.checkHeader(response.Header, a.minRevision)
	})
	return id, err
}

// KeepAlive implements store.Store. It is idempotent and therefore retried like a
// read.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	request, err := newCall(opKeepAlive, etcdapi.PathKeepAlive, etcdapi.LeaseRequest{ID: etcdapi.Int64(id)})
	if err != nil {
		return err
	}
	expired := false
	err = c.read(ctx, request, func(a answer) error {
		var response etcdapi.LeaseKeepAliveResponse
		if err := a.decode(&response); err != nil {
			return err
		}
		expired = response.Result.TTL <= 0
		return c.checkHeader(response.Result.Header, a.minRevision)
	})
	if err == nil && expired {
		return leaseNotFound(id)
	}
	return err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	request, err := newCall(opRevoke, etcdapi.PathRevoke, etcdapi.LeaseRequest{ID: etcdapi.Int64(id)})
	if err != nil {
		return err
	}
	err = c.write(ctx, request, func(a answer) error {
		var response etcdapi.LeaseRevokeResponse
		if err := a.decode(&response); err != nil {
			return err
		}
		return c.checkHeader(response.Header, a.minRevision)
	})
	var failure *callError
	if errors.As(err, &failure) && failure.status == http.StatusNotFound {
		return leaseNotFound(id)
	}
	return err
}

func leaseNotFound(id store.LeaseID) error {
	return errkind.New(errkind.NotFound, fmt.Sprintf("lease %d does not exist or expired", id), "request a new lease")
}
