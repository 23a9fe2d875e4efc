package roster

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

var (
	restoreStart = time.Unix(2_000_000_000, 0)
	restoreSelf  = netip.MustParseAddrPort("10.0.0.1:7000")
)

// entryAt returns the entry of a place that is held by address.
func entryAt(t *testing.T, place int, address netip.AddrPort) store.Entry {
	t.Helper()
	value, err := json.Marshal(Entry{Address: address})
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: placeKey(testDataCentre, place), Value: value}
}

// newPlaceHolder returns a holder of place 1 under lease 7.
func newPlaceHolder() *Holder {
	h := NewHolder(testDataCentre, restoreSelf, restoreStart, 0)
	h.HandleRead(restoreStart, store.Snapshot{}, nil, 0.3)
	h.HandleClaim(restoreStart, restoreStart, 7, true, 0)
	return h
}

func TestRestoredStore(t *testing.T) {
	other := netip.MustParseAddrPort("10.0.0.2:7000")
	for _, test := range []struct {
		name     string
		entries  []store.Entry
		want     Step
		wantWait time.Duration
	}{
		{"place is still there", []store.Entry{entryAt(t, 1, restoreSelf)}, Renew, 0},
		{"place is lost", nil, Claim, 0},
		{"place has another holder", []store.Entry{entryAt(t, 1, other)}, Claim, 0},
		{"an earlier place is there", []store.Entry{entryAt(t, 2, restoreSelf)}, Remove, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newPlaceHolder()
			now := restoreStart.Add(time.Second)
			step, _ := h.Next(now)
			is.Equal(step, Wait)
			h.HandleRestore(now)
			step, _ = h.Next(now)
			is.Equal(step, Read)
			h.HandleRead(now, store.Snapshot{Entries: test.entries}, nil, 0)
			step, until := h.Next(now)
			is.Equal(step, test.want)
			is.Equal(until, now.Add(test.wantWait))
		})
	}
}

func TestRestoredStoreThatDoesNotRespond(t *testing.T) {
	is := is.New(t)
	h := newPlaceHolder()
	h.HandleRestore(restoreStart)
	h.HandleRead(restoreStart, store.Snapshot{}, errkind.New(errkind.Unavailable, "store is down", "wait"), 0)
	step, until := h.Next(restoreStart)
	is.Equal(step, Wait)
	step, _ = h.Next(until)
	is.Equal(step, Read) // the place is read before its lease is renewed
}

// Guards against a claim that was decided before the store was restored: the roster may be full since.
func TestPendingClaimIsDecidedAnewAfterARestoration(t *testing.T) {
	is := is.New(t)
	h := NewHolder(testDataCentre, restoreSelf, restoreStart, 0)
	h.HandleRead(restoreStart, store.Snapshot{}, nil, 0)
	step, _ := h.Next(restoreStart)
	is.Equal(step, Claim)
	h.HandleRestore(restoreStart)
	step, _ = h.Next(restoreStart)
	is.Equal(step, Read)
	h.HandleRead(restoreStart, fullRoster(t, 1), nil, 0)
	step, _ = h.Next(restoreStart)
	is.Equal(step, Wait)
}
