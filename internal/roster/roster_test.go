package roster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
)

const testDataCentre = "bodrum"

var settings = []netip.AddrPort{netip.MustParseAddrPort("127.0.1.1:4000")}

// deployment is a set of balancers of one data centre that use one store.
type deployment struct {
	platform *platform.Platform
	store    store.Store
	group    sync.WaitGroup
}

// pausingStore delays a renewal or a claim, to simulate a balancer that is frozen
// just before the call. The store executes the call all the same, also if its caller
// has given it up meanwhile.
type pausingStore struct {
	store.Store
	renewal, claim chan time.Duration
}

func freezeIfSignalled(freeze <-chan time.Duration) {
	select {
	case d := <-freeze:
		time.Sleep(d)
	default:
	}
}

// KeepAlive implements store.Store.
func (p *pausingStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	freezeIfSignalled(p.renewal)
	return p.Store.KeepAlive(context.WithoutCancel(ctx), id)
}

// Commit implements store.Store.
func (p *pausingStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	freezeIfSignalled(p.claim)
	if p.claim != nil {
		for i := range txn.Puts {
			txn.Puts[i].Lease = 0 // the strictest case: the store cannot refuse the claim for its expired lease
		}
	}
	return p.Store.Commit(context.WithoutCancel(ctx), txn)
}

func (d *deployment) newStore() store.Store {
	client, err := etcd.New(etcd.Config{Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: d.platform}})
	if err != nil {
		panic(err)
	}
	return client
}

// Faults of the store, and none.
var (
	down = platform.Faults{Down: true}
	up   = platform.Faults{}
)

// start runs a balancer until ctx ends.
func (d *deployment) start(ctx context.Context, number byte, st store.Store) netip.AddrPort {
	return d.startWithin(ctx, number, st, 0)
}

// startSoon runs a balancer that reads the roster within three seconds.
func (d *deployment) startSoon(ctx context.Context, number byte, st store.Store) netip.AddrPort {
	return d.startWithin(ctx, number, st, 3*time.Second)
}

func (d *deployment) startWithin(ctx context.Context, number byte, st store.Store, firstCheck time.Duration) netip.AddrPort {
	self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, number}), 4000)
	random := rand.New(rand.NewPCG(1, uint64(number)))
	logger := &log.Logger{Handler: discard.New()}
	d.group.Go(func() {
		Run(ctx, Config{
			Store: st, DataCentre: testDataCentre, Self: self, FirstCheck: firstCheck, Random: random.Float64, Log: logger,
		})
	})
	return self
}

// places returns the holder of each place by its key.
func (d *deployment) places(t *testing.T) map[string]netip.AddrPort {
	t.Helper()
	snapshot, err := d.store.Range(t.Context(), Prefix)
	if err != nil {
		t.Fatal(err)
	}
	places := make(map[string]netip.AddrPort)
	for _, entry := range snapshot.Entries {
		var value Entry
		if err := json.Unmarshal(entry.Value, &value); err != nil {
			t.Fatal(err)
		}
		places[entry.Key] = value.Address
	}
	return places
}

// runDeployment runs a test with balancers 1 to count on a fake clock, and checks
// that the roster is empty after they stopped.
func runDeployment(t *testing.T, count byte, test func(t *testing.T, is *is.I, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{platform: platform.New(nil)}
		d.store = d.newStore()
		ctx, stop := context.WithCancel(t.Context())
		for number := range count {
			d.start(ctx, number+1, d.newStore())
		}
		time.Sleep(2 * CheckInterval)
		test(t, is.New(t), d)
		stop()
		d.group.Wait()
		is.New(t).Equal(len(d.places(t)), 0) // balancers give up their places when they stop
	})
}

func TestEveryPlaceHasOneHolder(t *testing.T) {
	runDeployment(t, 10, func(t *testing.T, is *is.I, d *deployment) {
		is.Equal(len(d.places(t)), Places)
		d.platform.ExpireLeases() // the store expires leases early
		time.Sleep(2 * CheckInterval)
		places := d.places(t)
		is.Equal(len(places), Places)
		holders := make(map[netip.AddrPort]bool)
		for _, holder := range places {
			holders[holder] = true
		}
		is.Equal(len(holders), Places) // no balancer holds two places
		contacts, err := Contacts(t.Context(), d.store, testDataCentre, settings)
		is.NoErr(err)
		is.Equal(len(contacts), Places+len(settings))
	})
}

func TestUnreachableStore(t *testing.T) {
	runDeployment(t, 10, func(t *testing.T, is *is.I, d *deployment) {
		d.platform.SetFaults(platform.Faults{Down: true})
		contacts, err := Contacts(t.Context(), d.store, testDataCentre, settings)
		is.True(err != nil)
		is.Equal(contacts, settings) // the addresses of the settings remain
		time.Sleep(time.Hour)
		d.platform.SetFaults(platform.Faults{})
		is.Equal(len(d.places(t)), 0)
		time.Sleep(2 * CheckInterval)
		is.Equal(len(d.places(t)), Places)
	})
}

// TestPausedHolderLosesItsPlace freezes a holder until its lease has expired and
// another balancer holds its place. It must not replace the new holder.
func TestPausedHolderLosesItsPlace(t *testing.T) {
	runDeployment(t, 0, func(t *testing.T, is *is.I, d *deployment) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		frozen := &pausingStore{Store: d.newStore(), renewal: make(chan time.Duration, 1)}
		first := d.start(ctx, 99, frozen)
		time.Sleep(2 * CheckInterval)
		var place string
		for key, holder := range d.places(t) {
			is.Equal(holder, first)
			place = key
		}
		frozen.renewal <- time.Hour
		for number := range byte(Places) {
			d.start(ctx, number+1, d.newStore())
		}
		time.Sleep(50 * time.Minute)
		before := d.places(t)
		is.Equal(len(before), Places)
		is.True(before[place] != first) // the lease expired and another balancer took the place
		time.Sleep(2 * time.Hour)
		is.Equal(d.places(t), before) // the resumed balancer has replaced no other balancer
		d.platform.ExpireLeases()
		time.Sleep(3 * CheckInterval)
		is.Equal(len(d.places(t)), Places)
	})
}

// TestPausedClaimTakesNoOccupiedPlace freezes a balancer between reading the roster
// and claiming a place, until other balancers hold all places.
func TestPausedClaimTakesNoOccupiedPlace(t *testing.T) {
	runDeployment(t, 0, func(t *testing.T, is *is.I, d *deployment) {
		ctx, stop := context.WithCancel(t.Context())
		frozen := &pausingStore{Store: d.newStore(), claim: make(chan time.Duration, 1)}
		frozen.claim <- time.Hour
		d.start(ctx, 99, frozen)
		for number := range byte(Places) {
			d.start(ctx, number+1, d.newStore())
		}
		time.Sleep(50 * time.Minute)
		before := d.places(t)
		is.Equal(len(before), Places)
		time.Sleep(time.Hour)
		is.Equal(d.places(t), before)
		stop()
		d.group.Wait()
	})
}

// TestRestartedBalancerTakesNoSecondPlace checks that a balancer that finds the entry of its previous run takes that
// place again and no other one.
func TestRestartedBalancerTakesNoSecondPlace(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(Entry{Address: settings[0]})
	is.NoErr(err)
	start := time.Unix(0, 0)
	h := NewHolder(testDataCentre, settings[0], start, 0)
	former := store.Entry{Key: placeKey(testDataCentre, 2), Value: value, ModRevision: 9}
	h.HandleRead(start, store.Snapshot{Entries: []store.Entry{former}}, nil, 0)
	step, _ := h.Next(start)
	is.Equal(step, Remove)
	is.Equal(h.Place, 2)
	is.Equal(h.Revision, int64(9))
	h.HandleRemove(start, true, 0)
	step, _ = h.Next(start)
	is.Equal(step, Claim)
	is.Equal(h.Place, 2)
}

// TestHolderExpiresLeaseWithoutTheStore checks that a holder gives up its place
// LeaseTTL after it sent the last successful renewal, also without an answer from
// the store.
func TestHolderExpiresLeaseWithoutTheStore(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	h := NewHolder(testDataCentre, settings[0], start, 0)
	h.HandleRead(start, store.Snapshot{}, nil, 0.9)
	is.Equal(h.Place, Places-1)
	h.HandleClaim(start.Add(time.Second), start, 7, true, 0)
	step, until := h.Next(start.Add(time.Second))
	is.Equal(step, Wait)
	is.Equal(until, start.Add(LeaseTTL/renewalsPerTTL))
	step, _ = h.Next(start.Add(LeaseTTL - time.Nanosecond))
	is.Equal(step, Renew)
	step, _ = h.Next(start.Add(LeaseTTL))
	is.Equal(step, Read)
	is.Equal(h.Lease, store.LeaseID(0))
}
