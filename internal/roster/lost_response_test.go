package roster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// silentStore is a store that loses the response of the first call of one operation: that call ends with its context
// only.
type silentStore struct {
	store.Store
	operation string
	lost      bool
}

func (s *silentStore) lose(ctx context.Context, operation string) error {
	if operation != s.operation || s.lost {
		return nil
	}
	s.lost = true
	<-ctx.Done()
	return errkind.New(errkind.Unavailable, "no response", "none needed")
}

// Range implements store.Store.
func (s *silentStore) Range(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.lose(ctx, "range"); err != nil {
		return store.Snapshot{}, err
	}
	return s.Store.Range(ctx, prefix)
}

// Grant implements store.Store.
func (s *silentStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.lose(ctx, "grant"); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// Commit implements store.Store.
func (s *silentStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := s.lose(ctx, "commit"); err != nil {
		return store.TxnResult{}, err
	}
	return s.Store.Commit(ctx, txn)
}

// KeepAlive implements store.Store.
func (s *silentStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.lose(ctx, "keep alive"); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, id)
}

// Guards against a response of the store that is lost: the balancer waited for it for ever and left the roster for good.
func TestLostResponseDoesNotEndTheRoster(t *testing.T) {
	for _, operation := range []string{"range", "grant", "commit", "keep alive"} {
		t.Run(operation, func(t *testing.T) {
			runDeployment(t, 0, func(t *testing.T, is *is.I, d *deployment) {
				ctx, stop := context.WithCancel(t.Context())
				silent := &silentStore{Store: d.newStore(), operation: operation}
				self := d.start(ctx, 1, silent)
				time.Sleep(4 * CheckInterval)
				is.True(silent.lost)
				places := d.places(t)
				is.Equal(len(places), 1)
				for _, holder := range places {
					is.Equal(holder, self)
				}
				stop()
				d.group.Wait()
			})
		})
	}
}
