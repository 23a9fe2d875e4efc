package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

const (
	// callTimeout bounds one call of the store, which does not return if the response is lost.
	callTimeout = 5 * time.Second
	// revokeTimeout bounds the call that revokes the lease of a place, also when the process stops.
	revokeTimeout = 2 * time.Second
)

// Config configures Run.
type Config struct {
	Store      Store
	DataCentre string
	// Self is the address that the balancer writes to its place in the roster.
	Self netip.AddrPort
	// FirstCheck is the time within which the balancer first reads the roster. Zero
	// means CheckInterval.
	FirstCheck time.Duration
	// Alive reports whether a balancer is alive as far as this one knows. Nil means that all are.
	Alive func(netip.AddrPort) bool
	// Found receives the addresses in the roster of the data centre after each read. They must be contacted, or Alive
	// has no evidence. It may be nil.
	Found func([]netip.AddrPort)
	// Restored receives a value when the store was restored from an earlier copy. Nil
	// means never.
	Restored <-chan struct{}
	// Random returns numbers in [0, 1). Nil means math/rand.
	Random func() float64
	// Log receives one event for each change of the place. Nil means the default logger.
	Log log.Interface
}

// runner performs the steps of a Holder.
type runner struct {
	Config
	holder *Holder
}

// Run claims a place in the roster when a place is free, and holds it until ctx
// ends. Then it gives up the place.
func Run(ctx context.Context, cfg Config) {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.FirstCheck == 0 {
		cfg.FirstCheck = CheckInterval
	}
	now := time.Now()
	r := &runner{Config: cfg, holder: NewHolder(cfg.DataCentre, cfg.Self, now, cfg.Random())}
	r.holder.Alive = cfg.Alive
	r.holder.nextAt = now.Add(fraction(cfg.FirstCheck, cfg.Random()))
	for ctx.Err() == nil {
		r.step(ctx)
	}
	if r.holder.Lease != 0 {
		r.revoke(ctx, r.holder.Lease)
	}
}

func (r *runner) step(ctx context.Context) {
	step, until := r.holder.Next(time.Now())
	switch step {
	case Wait:
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.Restored:
			r.holder.HandleRestore(time.Now())
		}
	case Read:
		r.read(ctx)
	case Remove:
		r.remove(ctx)
	case Claim:
		r.claim(ctx)
	case Renew:
		r.renew(ctx)
	}
}

func (r *runner) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := r.Store.Range(ctx, rosterPrefix(r.DataCentre))
	if holders, _ := holdersOf(snapshot); r.Found != nil && len(holders) > 0 {
		r.Found(holders) // Discover reports damaged entries
	}
	lease := r.holder.Lease
	r.holder.HandleRead(time.Now(), snapshot, err, r.Random())
	if lease != 0 && r.holder.Lease == 0 {
		r.logChange("roster place lost", lease)
	}
}

// remove deletes the entry of the holder's place, unless it has changed since it was read. If the outcome is unknown, the
// next read shows it.
func (r *runner) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := placeKey(r.DataCentre, r.holder.Place)
	result, err := r.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, ModRevision: r.holder.Revision}},
		Deletes:  []string{key},
	})
	removed := err == nil && result.Succeeded
	if removed {
		r.logChange("roster entry of an ended process removed", 0)
	}
	r.holder.HandleRemove(time.Now(), removed, r.Random())
}

func (r *runner) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	err := r.Store.KeepAlive(ctx, r.holder.Lease)
	if errkind.Is(err, errkind.NotFound) {
		r.logChange("roster place lost", r.holder.Lease)
	}
	r.holder.HandleRenewal(time.Now(), sent, err)
}

func (r *runner) claim(ctx context.Context) {
	sent := time.Now()
	lease, won := r.enterPlace(ctx)
	r.holder.HandleClaim(time.Now(), sent, lease, won, r.Random())
	if won {
		r.logChange("roster place taken", lease)
		return
	}
	if lease != 0 {
		// If the outcome of the claim is unknown, this also deletes the entry that it
		// may have written.
		r.revoke(ctx, lease)
	}
}

// enterPlace writes the balancer's address to the place under a new lease if the
// place is still free.
func (r *runner) enterPlace(ctx context.Context) (lease store.LeaseID, won bool) {
	value, err := json.Marshal(Entry{Address: r.Self})
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout) // for two calls
	defer cancel()
	lease, err = r.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return 0, false
	}
	key := placeKey(r.DataCentre, r.holder.Place)
	result, err := r.Store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: value, Lease: lease}},
	})
	return lease, err == nil && result.Succeeded
}

// revoke revokes a lease. If that fails, the lease expires.
func (r *runner) revoke(ctx context.Context, lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = r.Store.Revoke(ctx, lease)
}

func (r *runner) logChange(message string, lease store.LeaseID) {
	r.Log.WithFields(log.Fields{
		"data_centre": r.DataCentre, "address": r.Self.String(), "place": r.holder.Place, "lease": int64(lease),
	}).Info(message)
}
