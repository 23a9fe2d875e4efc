package flowproc

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/store"
)

// refusingStore is a store whose preconditions always fail and whose leases have expired.
type refusingStore struct{ roster.Store }

func (refusingStore) Range(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{}, nil
}

func (refusingStore) Commit(context.Context, store.Txn) (store.TxnResult, error) {
	return store.TxnResult{}, nil
}

func (refusingStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, errkind.New(errkind.Overloaded, "too many calls", "wait")
}

func (refusingStore) KeepAlive(context.Context, store.LeaseID) error {
	return errkind.New(errkind.NotFound, "no such lease", "none")
}

func (refusingStore) Revoke(context.Context, store.LeaseID) error { return context.DeadlineExceeded }

func TestRosterCallsAreCountedByOutcome(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	s := countedRoster{Store: refusingStore{}, calls: storeCalls{set: set}}
	ctx := t.Context()
	_, err := s.Range(ctx, "")
	is.NoErr(err)
	_, err = s.Commit(ctx, store.Txn{})
	is.NoErr(err) // a failed precondition is no error for the caller
	_, err = s.Grant(ctx, time.Second)
	is.True(errkind.Is(err, errkind.Overloaded))
	is.True(errkind.Is(s.KeepAlive(ctx, 1), errkind.NotFound))
	is.Equal(s.Revoke(ctx, 1), context.DeadlineExceeded)
	var text strings.Builder
	set.WritePrometheus(&text)
	for _, want := range []string{
		`{op="range",outcome="ok"} 1`, `{op="commit",outcome="conflict"} 1`, `{op="grant",outcome="overloaded"} 1`,
		`{op="keep_alive",outcome="not_found"} 1`, `{op="revoke",outcome="failed"} 1`,
	} {
		is.True(strings.Contains(text.String(), "almondledge_store_calls_total"+want))
	}
}
