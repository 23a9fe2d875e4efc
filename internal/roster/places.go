package roster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/store"
)

// rosterPrefix returns the prefix of the roster of a data centre.
func rosterPrefix(dataCentre string) string { return Prefix + dataCentre + "/" }

// placeKey returns the key of a place in the roster of a data centre.
func placeKey(dataCentre string, place int) string {
	return fmt.Sprintf("%s%d", rosterPrefix(dataCentre), place)
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

// holdersOf returns the addresses of the balancers that hold the places of a snapshot. If entries are damaged, it also
// returns an error with the cause ErrDamaged for the last of them.
func holdersOf(snapshot store.Snapshot) (holders []netip.AddrPort, err error) {
	for _, entry := range snapshot.Entries {
		holder, ok := holderOf(entry)
		if !ok {
			err = errkind.Wrap(ErrDamaged, errkind.Invalid, "the entry of key "+entry.Key+" is left out",
				"find out which other program writes under "+Prefix)
			continue
		}
		holders = append(holders, holder)
	}
	return holders, err
}

// isPlaceKey reports whether a key is that of a place in the roster of some data centre.
func isPlaceKey(key string) bool {
	rest, ok := strings.CutPrefix(key, Prefix)
	dataCentre, number, found := strings.Cut(rest, "/")
	place, err := strconv.Atoi(number)
	return ok && found && err == nil && place >= 0 && place < Places && key == placeKey(dataCentre, place)
}

// placeOf returns the place of an entry whose key is that of a place.
func placeOf(entry store.Entry) int {
	place, _ := strconv.Atoi(entry.Key[strings.LastIndex(entry.Key, "/")+1:])
	return place
}

// holdsPlace reports whether a place is held by self.
func holdsPlace(dataCentre string, place int, self netip.AddrPort, snapshot store.Snapshot) bool {
	return slices.ContainsFunc(snapshot.Entries, func(entry store.Entry) bool {
		holder, ok := holderOf(entry)
		return ok && entry.Key == placeKey(dataCentre, place) && holder == self
	})
}

// places describes the roster of a data centre from the view of one balancer.
type places struct {
	// own is the entry with the balancer's own address, or nil.
	own *store.Entry
	// free are the places without an entry.
	free []int
	// holders is the number of other balancers that hold a place, lost are the entries of those that are not alive.
	holders int
	lost    []store.Entry
}

// placesOf sorts the entries of a roster. If alive is nil, all balancers count as alive.
func placesOf(dataCentre string, self netip.AddrPort, snapshot store.Snapshot, alive func(netip.AddrPort) bool) places {
	var p places
	taken := make(map[string]bool)
	for _, entry := range snapshot.Entries {
		taken[entry.Key] = true
		holder, ok := holderOf(entry)
		switch {
		case !ok:
		case holder == self:
			p.own = &entry
		default:
			p.holders++
			if alive != nil && !alive(holder) {
				p.lost = append(p.lost, entry)
			}
		}
	}
	for place := range Places {
		if !taken[placeKey(dataCentre, place)] {
			p.free = append(p.free, place)
		}
	}
	return p
}

// sameEntries reports whether two lists have the same keys at the same revisions.
func sameEntries(a, b []store.Entry) bool {
	return slices.EqualFunc(a, b, func(x, y store.Entry) bool { return x.Key == y.Key && x.ModRevision == y.ModRevision })
}
