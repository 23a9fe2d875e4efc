package roster

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// fixedStore is a Store whose rosters never change.
type fixedStore struct {
	Store
	entries []store.Entry
}

// Range implements Store.
func (s fixedStore) Range(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{Entries: s.entries}, nil
}

// oddEntries are entries that no balancer writes.
func oddEntries() map[string]store.Entry {
	key := placeKey(testDataCentre, 0)
	entry := func(value string) store.Entry { return store.Entry{Key: key, Value: []byte(value)} }
	return map[string]store.Entry{
		"no value":                 {Key: key},
		"no JSON":                  entry(`{"address"`),
		"no UTF-8":                 entry("\xff\xfe"),
		"a list":                   entry(`["10.0.0.9:7000"]`),
		"deep nesting":             entry(strings.Repeat(`{"address":`, 100_000)),
		"a nested address":         entry(`{"address":{"address":"10.0.0.9:7000"}}`),
		"a number as address":      entry(`{"address":1e999}`),
		"no address":               entry(`{}`),
		"an empty address":         entry(`{"address":""}`),
		"a port out of range":      entry(`{"address":"10.0.0.9:65536"}`),
		"a negative port":          entry(`{"address":"10.0.0.9:-1"}`),
		"port zero":                entry(`{"address":"10.0.0.9:0"}`),
		"an IPv6 address":          entry(`{"address":"[2001:db8::1]:7000"}`),
		"any address":              entry(`{"address":"0.0.0.0:7000"}`),
		"a group's address":        entry(`{"address":"224.0.0.1:7000"}`),
		"a place out of range":     {Key: placeKey(testDataCentre, Places), Value: []byte(`{"address":"10.0.0.9:7000"}`)},
		"a place that is no digit": {Key: rosterPrefix(testDataCentre) + "x", Value: []byte(`{"address":"10.0.0.9:7000"}`)},
		"a place spelled oddly":    {Key: rosterPrefix(testDataCentre) + "+1", Value: []byte(`{"address":"10.0.0.9:7000"}`)},
		"a key below a place":      {Key: placeKey(testDataCentre, 1) + "/0", Value: []byte(`{"address":"10.0.0.9:7000"}`)},
	}
}

// Guards against entries of other programs: addresses at which no process can be were contacted for ever, and took the
// room of others.
func TestDamagedEntriesAreLeftOut(t *testing.T) {
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			good := entryAt(t, 3, restoreSelf)
			st := fixedStore{entries: []store.Entry{odd, good}}
			for _, dataCentre := range []string{testDataCentre, AllDataCentres} {
				contacts, err := Contacts(t.Context(), st, dataCentre, settings)
				is.True(errkind.Is(err, errkind.Invalid)) // the entry is reported
				is.Equal(contacts, []netip.AddrPort{settings[0], restoreSelf})
			}
		})
	}
}

// Guards against an entry of another program with the address of a balancer, which kept the balancer out of the roster.
func TestDamagedEntriesLeaveTheOtherPlaces(t *testing.T) {
	self := netip.MustParseAddrPort("10.0.0.9:7000")
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			h := NewHolder(testDataCentre, self, start, 0)
			h.HandleRead(start, store.Snapshot{Entries: []store.Entry{odd}}, nil, 0)
			step, _ := h.Next(start)
			is.Equal(step, Claim)
			is.True(placeKey(testDataCentre, h.Place) != odd.Key) // the claim of an existing key would fail
		})
	}

}
