// Package roster keeps a few addresses of balancers per data centre in the
// platform's store, so that a process that starts finds its first peers.
//
// The roster of a data centre has a few numbered places, one key each, bound to
// a lease of the balancer that holds the place. A place gives no authority: who
// holds it is only easier to find. A balancer takes a place only if its key does
// not exist, so one that was paused while its lease lapsed can not push out the
// balancer that took its place; it notices the lapse and looks again.
//
// The roster is read at start only, and the addresses in the settings are used
// with it or without it, so nothing depends on the store being there. A
// balancer without a place looks for a free one every CheckInterval, at random
// moments, so reads stay at one call per balancer and interval, and renewals at
// three calls per place and lifetime.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// Prefix holds the rosters of all data centres.
const Prefix = "/almondledge/v1/roster/"

// Sizes and times of a roster.
const (
	// Places is the number of places per data centre.
	Places = 4
	// LeaseTTL is the lifetime of a place that is not renewed.
	LeaseTTL = time.Minute
	// CheckInterval is the mean time between two looks for a free place.
	CheckInterval = 10 * time.Minute

	// maxContacts bounds the addresses taken from the rosters of all data centres.
	maxContacts = 16 * Places

	renewalsPerTTL = 3
	retriesPerTTL  = 10
)

// Entry is the value of a place.
type Entry struct {
	// Address is the UDP address of the balancer for envelopes and control datagrams.
	Address netip.AddrPort `json:"address"`
}

// prefixOf returns the prefix of the roster of a data centre.
func prefixOf(dataCentre string) string { return Prefix + dataCentre + "/" }

// keyOf returns the key of a place.
func keyOf(dataCentre string, place int) string {
	return fmt.Sprintf("%s%d", prefixOf(dataCentre), place)
}

// Store is what a roster needs of the platform's store; store.Store has it all.
type Store interface {
	Range(ctx context.Context, prefix string) (store.Snapshot, error)
	Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, id store.LeaseID) error
	Revoke(ctx context.Context, id store.LeaseID) error
}

// AllDataCentres in place of a data centre names the rosters of all of them.
const AllDataCentres = ""

// Contacts returns addresses for first contact: those of the settings, then
// those of the roster. It returns the former also with an error, when the
// roster cannot be read. The rosters of all data centres are read with EveryDataCentre.
func Contacts(ctx context.Context, st Store, dataCentre string, settings []netip.AddrPort) ([]netip.AddrPort, error) {
	contacts := slices.Clone(settings)
	prefix, limit := prefixOf(dataCentre), len(settings)+Places
	if dataCentre == AllDataCentres {
		prefix, limit = Prefix, len(settings)+maxContacts
	}
	snapshot, err := st.Range(ctx, prefix)
	if err != nil {
		return contacts, err
	}
	for _, entry := range snapshot.Entries {
		var found Entry
		if json.Unmarshal(entry.Value, &found) != nil || !found.Address.IsValid() {
			err = errkind.New(errkind.Invalid, "the value of key "+entry.Key+" is damaged",
				"find out what other than almondledge writes under "+Prefix)
			continue
		}
		if !slices.Contains(contacts, found.Address) && len(contacts) < limit {
			contacts = append(contacts, found.Address)
		}
	}
	return contacts, err
}

// freePlaces returns the places that nobody holds, and none when self already
// holds one.
func freePlaces(dataCentre string, self netip.AddrPort, snapshot store.Snapshot) []int {
	taken := make(map[string]bool)
	for _, entry := range snapshot.Entries {
		taken[strings.TrimPrefix(entry.Key, prefixOf(dataCentre))] = true
		var found Entry
		if json.Unmarshal(entry.Value, &found) == nil && found.Address == self {
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
