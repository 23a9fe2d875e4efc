package flowproc

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/store"
)

// Outcomes of store calls, in addition to the kinds of package errkind.
const (
	outcomeOK = "ok"
	// outcomeFailed is the outcome of a call that returned an error without a kind.
	outcomeFailed = "failed"
)

// storeCalls counts the calls of the platform's store by operation and outcome, and measures their durations.
// The names of operations and outcomes are fixed, so the number of series is bounded.
type storeCalls struct {
	set *metrics.Set
}

func (s storeCalls) record(op string, begun time.Time, err error) {
	outcome := outcomeOK
	if err != nil {
		outcome = cmp.Or(string(errkind.Of(err)), outcomeFailed)
	}
	s.set.GetOrCreateCounter(fmt.Sprintf("almondledge_store_calls_total{op=%q,outcome=%q}", op, outcome)).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf("almondledge_store_call_seconds{op=%q}", op)).Update(time.Since(begun).Seconds())
}

// readRange reads a range and counts the call under the given operation.
func (s storeCalls) readRange(ctx context.Context, op string, r roster.Reader, prefix string) (store.Snapshot, error) {
	begun := time.Now()
	snapshot, err := r.Range(ctx, prefix)
	s.record(op, begun, err)
	return snapshot, err
}

// countedStates is a StateSource that counts its calls.
type countedStates struct {
	StateSource
	calls storeCalls
}

func (s countedStates) ReadState(ctx context.Context) (route.State, store.Position, error) {
	begun := time.Now()
	state, position, err := s.StateSource.ReadState(ctx)
	s.calls.record("read_state", begun, err)
	return state, position, err
}

func (s countedStates) ReadChange(ctx context.Context, after store.Position) (route.State, store.Position, error) {
	begun := time.Now()
	state, position, err := s.StateSource.ReadChange(ctx, after)
	s.calls.record("read_change", begun, err)
	return state, position, err
}

// countedReader is a reader of rosters that counts its calls.
type countedReader struct {
	roster.Reader
	calls storeCalls
}

func (r countedReader) Range(ctx context.Context, prefix string) (store.Snapshot, error) {
	return r.calls.readRange(ctx, "discover", r.Reader, prefix)
}

// countedRoster is a store of rosters that counts its calls.
type countedRoster struct {
	roster.Store
	calls storeCalls
}

func (s countedRoster) Range(ctx context.Context, prefix string) (store.Snapshot, error) {
	return s.calls.readRange(ctx, "range", s.Store, prefix)
}

func (s countedRoster) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	begun := time.Now()
	result, err := s.Store.Commit(ctx, txn)
	failure := err
	if err == nil && !result.Succeeded {
		failure = errkind.New(errkind.Conflict, "a precondition of the transaction failed", "none needed")
	}
	s.calls.record("commit", begun, failure)
	return result, err
}

func (s countedRoster) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	begun := time.Now()
	id, err := s.Store.Grant(ctx, ttl)
	s.calls.record("grant", begun, err)
	return id, err
}

func (s countedRoster) KeepAlive(ctx context.Context, id store.LeaseID) error {
	begun := time.Now()
	err := s.Store.KeepAlive(ctx, id)
	s.calls.record("keep_alive", begun, err)
	return err
}

func (s countedRoster) Revoke(ctx context.Context, id store.LeaseID) error {
	begun := time.Now()
	err := s.Store.Revoke(ctx, id)
	s.calls.record("revoke", begun, err)
	return err
}
