// Package catalog holds the active configuration of one node: an immutable set of
// services at one store revision. Deltas update it to later revisions.
package catalog

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/service"
)

// maxTombstones bounds the removed services that a catalog remembers.
const maxTombstones = 4096

// Entry is one service, or the tombstone of a removed one.
type Entry struct {
	// ID identifies the service; it equals Spec.ID unless the service is removed.
	ID service.ID `msgpack:"id"`
	// ModRevision is the store revision that last changed the service.
	ModRevision int64 `msgpack:"rev"`
	// Removed marks a tombstone; Spec is then zero.
	Removed bool `msgpack:"removed,omitempty"`
	// Spec is the whole state of the service.
	Spec service.Spec `msgpack:"spec"`
}

// Catalog is an immutable set of services. The zero value is not usable; start with New.
type Catalog struct {
	revision int64
	// horizon is the revision up to which tombstones may have been dropped.
	horizon   int64
	byID      map[service.ID]*Entry
	byAddress map[netip.AddrPort]*Entry
	removed   map[service.ID]*Entry
}

// New returns an empty catalog at revision zero.
func New() *Catalog {
	return &Catalog{
		byID:      map[service.ID]*Entry{},
		byAddress: map[netip.AddrPort]*Entry{},
		removed:   map[service.ID]*Entry{},
	}
}

// Revision returns the store revision up to which the catalog is complete.
// Zero means that no configuration has been received.
func (c *Catalog) Revision() int64 { return c.revision }

// Len returns the number of services.
func (c *Catalog) Len() int { return len(c.byID) }

// ByID returns the service with the given ID. Callers must not change the entry.
func (c *Catalog) ByID(id service.ID) (*Entry, bool) {
	e, ok := c.byID[id]
	return e, ok
}

// ByAddress returns the service that callers reach at addr. Callers must not change the entry.
func (c *Catalog) ByAddress(addr netip.AddrPort) (*Entry, bool) {
	e, ok := c.byAddress[addr]
	return e, ok
}

// All returns the services sorted by ID. Callers must not change the entries.
func (c *Catalog) All() []*Entry {
	all := make([]*Entry, 0, len(c.byID))
	for _, e := range c.byID {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ServiceRevision returns the revision that last changed or removed a service, or
// zero if the catalog contains neither the service nor its tombstone.
func (c *Catalog) ServiceRevision(id service.ID) int64 {
	if e := c.find(id); e != nil {
		return e.ModRevision
	}
	return 0
}

// Digest returns a hash of the IDs and revisions of the services. Two catalogs at
// the same revision with different digests come from different histories.
func (c *Catalog) Digest() uint64 {
	var sum uint64
	var buf [10]byte
	for id, e := range c.byID {
		binary.LittleEndian.PutUint16(buf[:2], uint16(id))
		binary.LittleEndian.PutUint64(buf[2:], uint64(e.ModRevision))
		sum ^= xxhash.Sum64(buf[:])
	}
	return sum
}

// find returns the entry or tombstone of a service, or nil.
func (c *Catalog) find(id service.ID) *Entry {
	if e, ok := c.byID[id]; ok {
		return e
	}
	return c.removed[id]
}
