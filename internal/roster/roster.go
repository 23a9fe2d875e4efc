// Package roster stores the addresses of a few balancers per data centre in the
// platform's store, so that a process finds its first peers when it starts.
//
// The roster of a data centre has a fixed number of places. Each place is a key
// attached to a lease of the balancer that holds it. A place gives no authority;
// it only makes the balancer discoverable. A balancer takes a place only if its
// key does not exist. So a balancer that was paused until its lease expired cannot
// replace the balancer that has taken its place: it detects the expiry and searches
// for a free place again. An entry is removed before its lease expires in two cases:
// a balancer that has restarted removes the entry of its earlier process and claims
// the place again, and a balancer that finds all holders of the roster away removes
// one of them.
//
// Processes use the addresses in the settings in any case, so they can start while
// the store is unavailable. They read the rosters as long as they run (Discover):
// those that know each other share one read per restPeriod, a process that knows
// none reads more often. A balancer without a place reads the roster of its data
// centre every CheckInterval, and sooner if a holder is away or a call has failed. A
// place costs one read and twelve renewals per LeaseTTL.
package roster

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

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
	// FirstCheck is the time within which a balancer that starts should first read the roster.
	FirstCheck = 3 * time.Second

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
	holders, err := holdersOf(snapshot)
	for _, address := range holders {
		if !slices.Contains(contacts, address) && len(contacts) < limit {
			contacts = append(contacts, address)
		}
	}
	return contacts, err
}
