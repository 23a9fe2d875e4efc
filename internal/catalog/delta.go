package catalog

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// Delta is the complete list of changes in the revisions (From, To]. A delta
// from zero is a full snapshot: a service that it does not list does not exist.
type Delta struct {
	From int64 `msgpack:"from"`
	To   int64 `msgpack:"to"`
	// Horizon is the revision up to which removed services may no longer be listed.
	Horizon int64   `msgpack:"horizon,omitempty"`
	Entries []Entry `msgpack:"entries"`
}

// ErrGap is returned for a delta that starts above the catalog's own revision.
var ErrGap = errkind.New(errkind.NotApplied, "the delta starts above the active revision",
	"pull the missing changes from a peer or the store")

// Apply returns the catalog after d, or c itself if d is not newer or is refused.
// The error is ErrGap, or of kind Invalid if d is malformed, or of kind Stale if d
// ends below the active revision or contradicts the active state. A store that was
// restored from an older state causes Stale.
func (c *Catalog) Apply(d Delta) (*Catalog, error) {
	if err := c.check(d); err != nil {
		return c, err
	}
	if d.To == c.revision {
		return c, nil
	}
	next := c.clone()
	next.revision = d.To
	next.horizon = max(c.horizon, d.Horizon)
	if d.From == 0 {
		next.removeUnlisted(d)
	}
	for i := range d.Entries {
		next.put(&d.Entries[i])
	}
	next.expireTombstones()
	next.indexAddresses()
	return next, nil
}

// check refuses deltas that must not replace the active state.
func (c *Catalog) check(d Delta) error {
	if d.To < d.From || d.From < 0 || d.To == 0 {
		return errkind.New(errkind.Invalid, fmt.Sprintf("delta has the invalid range (%d, %d]", d.From, d.To),
			"report this as a defect of the sender")
	}
	if d.To < c.revision {
		return stale(fmt.Sprintf("revision %d is below the active revision %d", d.To, c.revision))
	}
	if d.From > c.revision {
		return ErrGap
	}
	for i := range d.Entries {
		if err := c.checkEntry(&d.Entries[i], d); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) checkEntry(e *Entry, d Delta) error {
	if e.ID == 0 || e.ModRevision <= 0 || e.ModRevision > d.To {
		return errkind.New(errkind.Invalid, fmt.Sprintf("delta to revision %d lists service %d at revision %d", d.To, e.ID, e.ModRevision),
			"report this as a defect of the sender")
	}
	old := c.find(e.ID)
	if old == nil || old.Removed {
		return nil
	}
	if e.ModRevision == old.ModRevision && !equal(e, old) {
		return stale(fmt.Sprintf("service %d has two states at revision %d", e.ID, e.ModRevision))
	}
	if e.ModRevision > old.ModRevision && e.ModRevision <= c.revision {
		return stale(fmt.Sprintf("service %d changed at revision %d, but the active catalog covers that revision without the change", e.ID, e.ModRevision))
	}
	if e.ModRevision < old.ModRevision && d.From == 0 {
		return stale(fmt.Sprintf("service %d is at revision %d in a full snapshot, below its active revision %d", e.ID, e.ModRevision, old.ModRevision))
	}
	return nil
}

func stale(message string) error {
	return errkind.New(errkind.Stale, message,
		"check whether the store was restored from an older state; submit the lost tickets again")
}

// equal compares the encoded entries, in which nil and empty lists are the same.
func equal(a, b *Entry) bool {
	if a == b {
		return true
	}
	left, errLeft := msgpack.Marshal(a)
	right, errRight := msgpack.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

func (c *Catalog) clone() *Catalog {
	return &Catalog{
		horizon: c.horizon,
		byID:    maps.Clone(c.byID),
		removed: maps.Clone(c.removed),
	}
}

// put stores a copy of e unless the catalog holds a later entry of the service.
func (c *Catalog) put(e *Entry) {
	if old := c.find(e.ID); old != nil && old.ModRevision >= e.ModRevision {
		return
	}
	kept := *e
	if kept.Removed {
		kept.Spec = service.Spec{}
		delete(c.byID, kept.ID)
		c.removed[kept.ID] = &kept
		return
	}
	delete(c.removed, kept.ID)
	c.byID[kept.ID] = &kept
}

// removeUnlisted turns services that a full snapshot does not list into tombstones.
func (c *Catalog) removeUnlisted(d Delta) {
	listed := make(map[service.ID]bool, len(d.Entries))
	for i := range d.Entries {
		listed[d.Entries[i].ID] = true
	}
	for id := range c.byID {
		if !listed[id] {
			delete(c.byID, id)
			c.removed[id] = &Entry{ID: id, ModRevision: d.To, Removed: true}
		}
	}
}

// expireTombstones drops the oldest tombstones and raises the horizon to them.
func (c *Catalog) expireTombstones() {
	excess := len(c.removed) - maxTombstones
	if excess <= 0 {
		return
	}
	oldest := slices.SortedFunc(maps.Values(c.removed), byRevision)
	for _, e := range oldest[:excess] {
		delete(c.removed, e.ID)
		c.horizon = max(c.horizon, e.ModRevision)
	}
}

// indexAddresses rebuilds the index by address. If two services have the same
// address, it leads to the service that was changed last, so that all nodes agree.
func (c *Catalog) indexAddresses() {
	c.byAddress = make(map[netip.AddrPort]*Entry, len(c.byID))
	for _, e := range c.byID {
		other := c.byAddress[e.Spec.Address]
		if other == nil || byRevision(other, e) < 0 {
			c.byAddress[e.Spec.Address] = e
		}
	}
}

func byRevision(a, b *Entry) int {
	if order := cmp.Compare(a.ModRevision, b.ModRevision); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

// DeltaSince returns the changes after rev, or a full snapshot when rev is
// below the tombstone horizon. A non-zero id limits the answer to one service.
func (c *Catalog) DeltaSince(rev int64, id service.ID) Delta {
	d := Delta{From: rev, To: c.revision, Horizon: c.horizon}
	if rev > c.revision {
		d.From = c.revision
	}
	if rev < c.horizon {
		d.From = 0
	}
	for _, set := range []map[service.ID]*Entry{c.byID, c.removed} {
		for _, e := range set {
			if e.ModRevision > d.From && (id == 0 || id == e.ID) {
				d.Entries = append(d.Entries, *e)
			}
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return byRevision(&a, &b) })
	return d
}
