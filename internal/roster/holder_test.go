package roster

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// listedTime is the time within which a living balancer that can reach the store is in a roster with free places again.
const listedTime = 12 * time.Second

// holders counts the entries of each balancer in the rosters.
func (d *deployment) holders(t *testing.T) map[netip.AddrPort]int {
	t.Helper()
	holders := map[netip.AddrPort]int{}
	for _, holder := range d.places(t) {
		holders[holder]++
	}
	return holders
}

// lostRevoke is a store that does not receive the calls that revoke leases, as if the balancer had been killed.
type lostRevoke struct{ store.Store }

// Revoke implements store.Store.
func (lostRevoke) Revoke(context.Context, store.LeaseID) error {
	return errkind.New(errkind.Unavailable, "the call was lost", "none needed")
}

// Guards against a balancer that takes the entry of its earlier process for its own (review/11): when the lease of that
// process ended, the balancer left the roster and did not look again for up to 15 minutes.
func TestRestartedBalancerStaysInTheRoster(t *testing.T) {
	runDeployment(t, 0, func(t *testing.T, is *is.I, d *deployment) {
		ctx, kill := context.WithCancel(t.Context())
		self := d.start(ctx, 1, lostRevoke{d.newStore()})
		time.Sleep(2 * CheckInterval)
		kill()
		d.group.Wait()
		is.Equal(d.holders(t), map[netip.AddrPort]int{self: 1}) // the lease of the killed process has not expired
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		d.startSoon(ctx, 1, d.newStore())
		for range 4 * int(LeaseTTL/time.Second) {
			time.Sleep(time.Second)
			is.Equal(d.holders(t), map[netip.AddrPort]int{self: 1})
		}
		stop()
		d.group.Wait()
	})
}

// Guards against a pause of up to 15 minutes after a failed first read: the store was away when the balancer started.
func TestBalancerEntersTheRosterAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 10 * time.Second, 10 * time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			runDeployment(t, 0, func(t *testing.T, is *is.I, d *deployment) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				d.platform.SetFaults(down)
				self := d.startSoon(ctx, 1, d.newStore())
				time.Sleep(outage)
				d.platform.SetFaults(up)
				time.Sleep(listedTime)
				is.Equal(d.holders(t), map[netip.AddrPort]int{self: 1})
				stop()
				d.group.Wait()
			})
		})
	}
}

// Guards against the same pause for the balancers that are in the roster: their leases expire during a long outage, and the
// read after it was the next one in up to 15 minutes.
func TestHoldersReturnSoonAfterALongOutage(t *testing.T) {
	runDeployment(t, Places, func(t *testing.T, is *is.I, d *deployment) {
		is.Equal(len(d.holders(t)), Places)
		d.platform.SetFaults(down)
		time.Sleep(10 * time.Minute)
		d.platform.SetFaults(up)
		time.Sleep(listedTime)
		is.Equal(len(d.holders(t)), Places)
	})
}

// Guards against an entry that is gone while its lease is renewed: the balancer never looked at the entry again.
func TestHolderNoticesThatItsEntryIsGone(t *testing.T) {
	runDeployment(t, 1, func(t *testing.T, is *is.I, d *deployment) {
		before := d.holders(t)
		is.Equal(len(before), 1)
		for key := range d.places(t) {
			_, err := d.store.Commit(t.Context(), store.Txn{Deletes: []string{key}})
			is.NoErr(err)
		}
		is.Equal(len(d.holders(t)), 0)
		time.Sleep(LeaseTTL + listedTime)
		is.Equal(d.holders(t), before)
	})
}

// Guards against a balancer that loses a place to another one and looks for the next one only after minutes. Balancers that
// start together often choose the same place.
func TestLoserOfAClaimLooksAgainSoon(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	h := NewHolder(testDataCentre, restoreSelf, start, 0)
	h.HandleRead(start, store.Snapshot{}, nil, 0.9)
	h.HandleClaim(start, start, 0, false, 0.9)
	step, until := h.Next(start)
	is.Equal(step, Wait)
	is.True(until.Sub(start) <= listedTime)
	step, _ = h.Next(until)
	is.Equal(step, Read)
}

// fullRoster returns a roster whose places are all held, at revisions from first on.
func fullRoster(t *testing.T, first int64) store.Snapshot {
	t.Helper()
	var snapshot store.Snapshot
	for place := range Places {
		entry := entryAt(t, place, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(place)}), 7000))
		entry.ModRevision = first + int64(place)
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}

// Guards against a roster that is full of lost balancers: a new one could not enter it before their leases expired. It may
// remove an entry only if all holders stay away.
func TestEntryOfALostBalancerIsRemoved(t *testing.T) {
	away := func(netip.AddrPort) bool { return false }
	oneAlive := func(a netip.AddrPort) bool { return a.Addr() == netip.MustParseAddr("10.0.1.3") }
	for _, test := range []struct {
		name          string
		alive         func(netip.AddrPort) bool
		pause         time.Duration
		firstRevision int64
		want          Step
	}{
		{"all stay away", away, lostHolderDelay, 5, Remove},
		{"too early", away, lostHolderDelay - 1, 5, Wait},
		{"an entry has changed", away, lostHolderDelay, 6, Wait},
		{"one holder is alive", oneAlive, lostHolderDelay, 5, Wait},
		{"no evidence", nil, lostHolderDelay, 5, Wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			h := NewHolder(testDataCentre, restoreSelf, start, 0)
			h.Alive = test.alive
			h.HandleRead(start, fullRoster(t, 5), nil, 0)
			step, _ := h.Next(start)
			is.Equal(step, Wait)
			now := start.Add(test.pause)
			h.HandleRead(now, fullRoster(t, test.firstRevision), nil, 0.5)
			step, _ = h.Next(now)
			is.Equal(step, test.want)
			if test.want == Remove {
				is.Equal(h.Place, Places/2)
				is.Equal(h.Revision, int64(5+Places/2))
			}
		})
	}
}

// Guards against a balancer that is taken for lost because nobody has contacted it: one that entered the roster after the
// last read of a discovery had its entry removed by the next balancer.
func TestHoldersThatAreReadAreContacted(t *testing.T) {
	runDeployment(t, 1, func(t *testing.T, is *is.I, d *deployment) {
		var found atomic.Pointer[[]netip.AddrPort]
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var listed []netip.AddrPort
		for holder := range d.holders(t) {
			listed = append(listed, holder)
		}
		d.group.Go(func() {
			Run(ctx, Config{
				Store: d.newStore(), DataCentre: testDataCentre, Self: restoreSelf, FirstCheck: time.Second,
				Found: func(holders []netip.AddrPort) { found.Store(&holders) }, Log: &log.Logger{Handler: discard.New()},
			})
		})
		time.Sleep(2 * time.Second)
		is.True(found.Load() != nil)
		is.Equal(*found.Load(), listed)
		stop()
		time.Sleep(time.Second)
	})
}

// The wait of a balancer without a place depends on the holders: a place of one that is away becomes free within the time
// of a lease.
func TestPauseOfABalancerWithoutAPlace(t *testing.T) {
	oneAway := func(a netip.AddrPort) bool { return a.Addr() != netip.MustParseAddr("10.0.1.3") }
	for _, test := range []struct {
		name  string
		alive func(netip.AddrPort) bool
		want  time.Duration
	}{
		{"all alive", nil, CheckInterval},
		{"one away", oneAway, LeaseTTL},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			h := NewHolder(testDataCentre, restoreSelf, start, 0)
			h.Alive = test.alive
			h.HandleRead(start, fullRoster(t, 5), nil, 0.5)
			_, until := h.Next(start)
			is.Equal(until, start.Add(test.want))
		})
	}
}
