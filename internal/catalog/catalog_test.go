package catalog

import (
	"flag"
	"net/netip"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// entry returns the service with the given ID at a revision. Its content depends only on the ID and
// the revision.
func entry(id service.ID, rev int64) Entry {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 443)
	return Entry{ID: id, ModRevision: rev, Spec: service.Spec{ID: id, Address: addr, Limits: service.Limits{Slots: int(rev)}}}
}

func mustApply(t *testing.T, c *Catalog, d Delta) *Catalog {
	t.Helper()
	next, err := c.Apply(d)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestApplyRefuses(t *testing.T) {
	base := mustApply(t, New(), Delta{To: 10, Entries: []Entry{entry(1, 4), entry(2, 10)}})
	otherState := entry(2, 10)
	otherState.Spec.Limits.Slots = 99
	cases := []struct {
		name  string
		delta Delta
		kind  errkind.Kind
	}{
		{"lower revision", Delta{To: 9, Entries: []Entry{entry(1, 4)}}, errkind.Stale},
		{"gap", Delta{From: 11, To: 12}, errkind.NotApplied},
		{"two states of one revision", Delta{From: 9, To: 12, Entries: []Entry{otherState}}, errkind.Stale},
		{"change that the active catalog lacks", Delta{From: 4, To: 12, Entries: []Entry{entry(1, 8)}}, errkind.Stale},
		{"restored store with later changes", Delta{To: 12, Entries: []Entry{entry(1, 4), entry(2, 7), entry(3, 12)}}, errkind.Stale},
		{"entry above the range", Delta{From: 10, To: 11, Entries: []Entry{entry(1, 12)}}, errkind.Invalid},
		{"reversed range", Delta{From: 12, To: 11}, errkind.Invalid},
		{"no service", Delta{From: 10, To: 11, Entries: []Entry{entry(0, 11)}}, errkind.Invalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next, err := base.Apply(c.delta)
			is.Equal(errkind.Of(err), c.kind)
			is.True(next == base) // the active catalog stays
		})
	}
}

func TestRemovedServiceStaysRemoved(t *testing.T) {
	is := is.New(t)
	c := mustApply(t, New(), Delta{To: 5, Entries: []Entry{entry(1, 3), entry(2, 5)}})
	c = mustApply(t, c, Delta{From: 5, To: 6, Entries: []Entry{{ID: 1, ModRevision: 6, Removed: true}}})
	_, found := c.ByID(1)
	is.True(!found)
	_, found = c.ByAddress(entry(1, 3).Spec.Address)
	is.True(!found)
	c = mustApply(t, c, Delta{From: 2, To: 7, Entries: []Entry{entry(1, 3)}}) // an old state arrives late
	is.Equal(c.Len(), 1)
	d := c.DeltaSince(5, 0)
	is.Equal(len(d.Entries), 1)
	is.True(d.Entries[0].Removed)

	full := mustApply(t, c, Delta{To: 9, Entries: []Entry{entry(3, 9)}}) // service 2 is not listed
	is.Equal(full.All()[0].ID, service.ID(3))
	is.Equal(full.ServiceRevision(2), int64(9))
}

func TestDeltaBelowTheHorizonIsAFullSnapshot(t *testing.T) {
	is := is.New(t)
	d := Delta{To: maxTombstones + 10}
	for i := range maxTombstones + 2 {
		d.Entries = append(d.Entries, Entry{ID: service.ID(i + 1), ModRevision: int64(i + 1), Removed: true})
	}
	d.Entries = append(d.Entries, entry(9000, 1))
	c := mustApply(t, New(), d)
	behind := mustApply(t, New(), Delta{To: 1, Entries: []Entry{entry(2, 1), entry(9000, 1)}})
	is.Equal(c.DeltaSince(1, 0).From, int64(0))
	is.Equal(c.DeltaSince(2, 0).From, int64(2))
	behind = mustApply(t, behind, c.DeltaSince(1, 0))
	is.Equal(behind.Digest(), c.Digest())
	is.Equal(c.DeltaSince(2, 9000).Entries, nil)
	is.Equal(len(c.DeltaSince(0, 9000).Entries), 1)
}

// TestRevisionsNeverFallAndNodesAgree lets nodes exchange deltas in random order,
// with losses, repeats, restarts and late store reads. No node's revision may
// decrease, and at each revision a node's catalog must equal the state of the store
// at that revision.
func TestRevisionsNeverFallAndNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		nodes := make([]*Catalog, 3)
		for i := range nodes {
			nodes[i] = New()
		}
		var inFlight []Delta
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				nodes[at] = New()
			case 1, 2, 3:
				rev := rapid.Int64Range(1, int64(len(history)-1)).Draw(t, "read")
				inFlight = append(inFlight, history[rev].DeltaSince(0, 0))
			case 4, 5, 6:
				peer := rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")
				if nodes[peer].Revision() > 0 {
					inFlight = append(inFlight, nodes[peer].DeltaSince(nodes[at].Revision(), 0))
				}
			default:
				if len(inFlight) > 0 {
					d := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "delta")]
					nodes[at] = deliver(t, nodes[at], d)
				}
			}
			if rev := nodes[at].Revision(); nodes[at].Digest() != history[rev].Digest() {
				t.Fatalf("node at revision %d differs from the history", rev)
			}
		}
	})
}

func deliver(t *rapid.T, c *Catalog, d Delta) *Catalog {
	next, err := c.Apply(d)
	if err != nil && !errkind.Is(err, errkind.Stale) && !errkind.Is(err, errkind.NotApplied) {
		t.Fatal(err)
	}
	if errkind.Is(err, errkind.Stale) && d.To >= c.Revision() {
		t.Fatalf("a delta of the same history was refused as contradictory: %v", err)
	}
	if next.Revision() < c.Revision() {
		t.Fatalf("revision fell from %d to %d", c.Revision(), next.Revision())
	}
	return next
}

// drawHistory returns the state of a store at each revision.
func drawHistory(t *rapid.T) []*Catalog {
	history := []*Catalog{New()}
	for range rapid.IntRange(1, 12).Draw(t, "revisions") {
		last := history[len(history)-1]
		rev := last.Revision() + 1
		e := entry(service.ID(rapid.IntRange(1, 4).Draw(t, "service")), rev)
		if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
			e = Entry{ID: e.ID, ModRevision: rev, Removed: true}
		}
		next, err := last.Apply(Delta{From: last.Revision(), To: rev, Entries: []Entry{e}})
		if err != nil {
			t.Fatal(err)
		}
		history = append(history, next)
	}
	return history
}
