// Package roster stores the addresses of a few balancers per data centre in the
// platform's store, so that a process finds its first peers when it starts.
//
// The roster of a data centre has a fixed number of places. Each place is a key
// attached to a lease of the balancer that holds it. A place gives no authority;
// it only makes the balancer discoverable. A balancer takes a place only if its
// key does not exist. So a balancer that was paused until its lease expired cannot
// replace the balancer that has taken its place: it detects the expiry and searches
// for a free place again.
//
// Processes use the addresses in the settings in any case, so they can start while
// the store is unavailable. They read the rosters as long as they run (Discover):
// those that know each other share one read per restPeriod, a process that knows
// none reads more often. A balancer without a place reads the roster every CheckInterval, at random times.
// This limits the load to one read per balancer and CheckInterval, and twelve
// renewals per place and LeaseTTL.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/store"
)

// Prefix is the prefix of the rosters of all data centres.
const Prefix = "/almondledge/v1/roster/"

// Sizes and times of a roster.
const (
	// Places is the number of places per data centre.
	Places = 4
	// LeaseTTL is how long a place is held without a renewal.
	LeaseTTL = time.Minute
	// CheckInterval is the mean time between two reads of the roster by a balancer
	// without a place.
	CheckInterval = 10 * time.Minute

	// maxContacts bounds the addresses taken from the rosters of all data centres.
	maxContacts = 16 * Places

	// renewalsPerTTL also bounds how long a balancer does not notice that the store has
	// lost its place.
	renewalsPerTTL = 12
	retriesPerTTL  = 10
)

// Entry is the JSON value of a place's key.
type Entry struct {
	// Address is the UDP address of the balancer for envelopes and control datagrams.
	Address netip.AddrPort `json:"address"`
}

// rosterPrefix returns the prefix of the roster of a data centre.
func rosterPrefix(dataCentre string) string { return Prefix + dataCentre + "/" }

// placeKey returns the key of a place in the roster of a data centre.
func placeKey(dataCentre string, place int) string {
	return fmt.Sprintf("%s%d", rosterPrefix(dataCentre), place)
}

// Reader reads rosters to find balancers. The result may be some seconds old.
type Reader interface {
	Range(ctx context.Context, prefix string) (store.Snapshot, error)
}

// Store is the part of store.Store that a roster uses. Its reads return the newest state.
type Store interface {
	Reader
	Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) error
	Revoke(ctx context.Context, id store.LeaseID) error
}

// AllDataCentres makes Contacts read the rosters of all data centres.
const AllDataCentres = ""

// ErrDamaged is the cause of the error for an entry that no balancer has written.
var ErrDamaged = errors.New("not the address of a balancer at a place of a roster")

// Contacts returns the addresses to contact first: the addresses in the settings,
// followed by the addresses in the roster of dataCentre or of AllDataCentres. If
// the roster cannot be read, it returns an error together with the addresses in
// the settings; if an entry is damaged, an error with the cause ErrDamaged together
// with all other addresses.
func Contacts(ctx context.Context, st Reader, dataCentre string, settings []netip.AddrPort) ([]netip.AddrPort, error) {
	contacts := slices.Clone(settings)
	prefix, limit := rosterPrefix(dataCentre), len(settings)+Places
	if dataCentre == AllDataCentres {
		prefix, limit = Prefix, len(settings)+maxContacts
	}
	snapshot, err := st.Range(ctx, prefix)
	if err != nil {
		return contacts, err
	}
	for _, entry := range snapshot.Entries {
		address, ok := holderOf(entry)
		if !ok {
			err = errkind.Wrap(ErrDamaged, errkind.Invalid, "the entry of key "+entry.Key+" is left out",
				"find out which other program writes under "+Prefix)
			continue
		}
		if !slices.Contains(contacts, address) && len(contacts) < limit {
			contacts = append(contacts, address)
		}
	}
	return contacts, err
}

// holderOf returns the address of the balancer that holds the place of an entry. It returns false for an entry that no
// balancer has written: one whose key is not that of a place, or whose value is damaged.
func holderOf(entry store.Entry) (netip.AddrPort, bool) {
	var value Entry
	if !isPlaceKey(entry.Key) || json.Unmarshal(entry.Value, &value) != nil {
		return netip.AddrPort{}, false
	}
	return value.Address, network.IsInstanceAddr(value.Address)
}

// isPlaceKey reports whether a key is that of a place in the roster of some data centre.
func isPlaceKey(key string) bool {
	rest, ok := strings.CutPrefix(key, Prefix)
	dataCentre, number, found := strings.Cut(rest, "/")
	place, err := strconv.Atoi(number)
	return ok && found && err == nil && place >= 0 && place < Places && key == placeKey(dataCentre, place)
}

// holdsPlace reports whether a place is held by self.
func holdsPlace(dataCentre string, place int, self netip.AddrPort, snapshot store.Snapshot) bool {
	return slices.ContainsFunc(snapshot.Entries, func(entry store.Entry) bool {
		holder, ok := holderOf(entry)
		return ok && entry.Key == placeKey(dataCentre, place) && holder == self
	})
}

// freePlaces returns the places that no balancer holds. It returns an empty list
// if self already holds a place.
func freePlaces(dataCentre string, self netip.AddrPort, snapshot store.Snapshot) []int {
	taken := make(map[string]bool)
	for _, entry := range snapshot.Entries {
		taken[strings.TrimPrefix(entry.Key, rosterPrefix(dataCentre))] = true
		if holder, ok := holderOf(entry); ok && holder == self {
			return nil
		}
	}
	var free []int
	for place := range Places {
		if !taken[fmt.Sprint(place)] {
			free = append(free, place)
		}
	}
	return free
}
