package ticket

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
)

var faultNames = map[platform.Fault]string{
	platform.Refuse: "refuse", platform.LoseRequest: "lose request", platform.LoseAnswer: "lose answer",
	platform.Reject: "reject", platform.FailBefore: "fail before", platform.FailAfter: "fail after",
	platform.Late: "late", platform.Stall: "stall",
}

// String returns a description of the burst for the name of a subtest.
func (b faultBurst) String() string {
	return fmt.Sprintf("%s at call %d times %d", faultNames[b.fault], b.first, b.count)
}

// faultCases returns every fault at each of the first calls (two reads,
// transaction, two reads back, transaction again), once, twice and endlessly; and
// every pair of faults.
func faultCases() [][]faultBurst {
	const calls = 6
	var cases [][]faultBurst
	for fault := platform.Refuse; fault <= platform.Stall; fault++ {
		for first := 1; first <= calls; first++ {
			for _, count := range []int{1, 2, forever} {
				cases = append(cases, []faultBurst{{fault, first, count}})
			}
			for second := platform.Refuse; second <= platform.Stall; second++ {
				for next := first + 1; next <= calls; next++ {
					cases = append(cases, []faultBurst{{fault, first, 1}, {second, next, 1}})
					cases = append(cases, []faultBurst{{fault, first, 1}, {second, next, forever}})
				}
			}
		}
	}
	return cases
}

// TestSubmitUnderEveryFault checks that the outcome reported by Submit agrees
// with the store, also after the store has applied delayed writes, and that the
// same ticket can always be submitted again.
func TestSubmitUnderEveryFault(t *testing.T) {
	const lateWithinTimeout = 120 * time.Millisecond
	const shards = 3
	for shard := range shards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for i, bursts := range faultCases() {
				if i%shards != shard {
					continue
				}
				runFaultCase(t, bursts, time.Minute)
				if hasLateWrite(bursts) {
					runFaultCase(t, bursts, lateWithinTimeout)
				}
			}
		})
	}
}

func runFaultCase(t *testing.T, bursts []faultBurst, lateBy time.Duration) {
	t.Run(fmt.Sprint(lateBy, bursts), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { submitUnderFaults(t, bursts, lateBy) })
	})
}

func hasLateWrite(bursts []faultBurst) bool {
	return slices.ContainsFunc(bursts, func(b faultBurst) bool { return b.fault == platform.Late || b.fault == platform.Stall })
}

func submitUnderFaults(t *testing.T, bursts []faultBurst, lateBy time.Duration) {
	is := is.New(t)
	p := platform.New(nil)
	submitter := newSubmitter(p)
	_, err := submitter.Submit(t.Context(), ticketOf("create", specOf(1, 5), specOf(3, 5)))
	is.NoErr(err)

	change := ticketOf("change", specOf(1, 7), specOf(2, 7))
	change.Removed = []string{"service-3"}
	faults := &faultScript{bursts: bursts}
	p.SetFaults(platform.Faults{LateBy: lateBy, Script: faults.decide})
	outcome, err := submitter.Submit(t.Context(), change)
	p.SetFaults(platform.Faults{LateBy: lateBy})
	time.Sleep(settleTime)

	_, missing := History{Store: submitter.Store}.Show(t.Context(), change.ID)
	endless := bursts[len(bursts)-1].count == forever
	switch kind := errkind.Of(err); {
	case err == nil:
		is.NoErr(missing) // an accepted ticket is in the store
		is.Equal(outcome.Number, int64(2))
	case kind == errkind.NotApplied:
		is.True(endless)                               // a temporary fault does not refuse a ticket
		is.True(errkind.Is(missing, errkind.NotFound)) // the store never contains a ticket that was not applied
	default:
		is.Equal(kind, errkind.Unknown)
		is.True(endless) // after a temporary fault, Submit finds out the outcome by reading the store
	}
	again, err := submitter.Submit(t.Context(), change)
	is.NoErr(err)
	is.Equal(again.Number, int64(2))
	is.Equal(checkStore(submitter), nil)
}

// hookedStore runs a function before the first transaction.
type hookedStore struct {
	store.Store
	before func()
}

// Commit runs the function once, then commits.
func (h *hookedStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if run := h.before; run != nil {
		h.before = nil
		run()
	}
	return h.Store.Commit(ctx, txn)
}

// TestRacingTickets submits one ticket between the read and the transaction of
// another ticket. The delayed transaction must not overwrite the changes of the
// ticket submitted in between.
func TestRacingTickets(t *testing.T) {
	withAddress := specOf(9, 5)
	withAddress.Address = specOf(2, 5).Address
	based := ticketOf("winner", specOf(1, 8))
	based.Bases = []Base{{Service: "service-1", Revision: 2}}
	removal := Ticket{ID: "removal", Submitter: "mehmet", Removed: []string{"service-1"}}
	cases := []struct {
		name          string
		winner, loser Ticket
		kind          errkind.Kind
	}{
		{"same service", ticketOf("winner", specOf(1, 8)), ticketOf("loser", specOf(1, 9)), errkind.Conflict},
		{"winner with a base", based, ticketOf("loser", specOf(1, 9)), errkind.Conflict},
		{"one service of several", ticketOf("winner", specOf(1, 8)), ticketOf("loser", specOf(2, 5), specOf(1, 9)), errkind.Conflict},
		{"both create", ticketOf("winner", specOf(2, 5)), ticketOf("loser", specOf(2, 9)), errkind.Conflict},
		{"both take an address", ticketOf("winner", specOf(2, 5)), ticketOf("loser", withAddress), errkind.Conflict},
		{"change after removal", removal, ticketOf("loser", specOf(1, 9)), errkind.Conflict},
		{"removal after change", ticketOf("winner", specOf(1, 8)), removal, errkind.Conflict},
		{"both remove", removal, Ticket{ID: "loser", Submitter: "ayse", Removed: []string{"service-1"}}, errkind.Conflict},
		{"same ID, other content", ticketOf("same", specOf(2, 5)), ticketOf("same", specOf(1, 9)), errkind.Invalid},
		{"same ticket", ticketOf("same", specOf(2, 5)), ticketOf("same", specOf(2, 5)), ""},
		{"other services", ticketOf("winner", specOf(2, 5)), ticketOf("other", specOf(1, 9)), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := platform.New(nil)
				winner, loser := newSubmitter(p), newSubmitter(p)
				_, err := winner.Submit(t.Context(), ticketOf("create", specOf(1, 5)))
				is.NoErr(err)
				loser.Store = &hookedStore{Store: loser.Store, before: func() {
					_, err := winner.Submit(t.Context(), c.winner)
					is.NoErr(err)
				}}
				_, err = loser.Submit(t.Context(), c.loser)
				is.Equal(errkind.Of(err), c.kind)
				var conflict *ConflictError
				if c.kind == errkind.Conflict {
					is.True(errors.As(err, &conflict))
					is.True(len(conflict.Current) > 0) // the conflict shows the current state
				}
				is.Equal(checkStore(winner), nil)
			})
		})
	}
}

// TestLateWriteAfterAnotherTicketHasNoEffect delays the transaction of one ticket
// until another was accepted. The late transaction must not be applied.
func TestLateWriteAfterAnotherTicketHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(nil)
		slow, fast := newSubmitter(p), newSubmitter(p)
		_, err := fast.Submit(t.Context(), ticketOf("create", specOf(1, 5)))
		is.NoErr(err)
		faults := &faultScript{bursts: []faultBurst{{platform.Late, 2, forever}}}
		p.SetFaults(platform.Faults{LateBy: time.Minute, Script: faults.decide})
		_, err = slow.Submit(t.Context(), ticketOf("slow", specOf(1, 8)))
		is.Equal(errkind.Of(err), errkind.Unknown)
		p.SetFaults(platform.Faults{})
		_, err = fast.Submit(t.Context(), ticketOf("fast", specOf(1, 9)))
		is.NoErr(err)
		time.Sleep(settleTime)
		_, err = History{Store: fast.Store}.Show(t.Context(), "slow")
		is.Equal(errkind.Of(err), errkind.NotFound)
		is.Equal(checkStore(fast), nil)
	})
}

// TestRestoredStoreIsRefused checks that a store that was restored from an older
// state is refused, even after its new revisions exceed the revisions seen before
// the restore.
func TestRestoredStoreIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(nil)
		submitter := newSubmitter(p)
		_, err := submitter.Submit(t.Context(), ticketOf("create", specOf(1, 5)))
		is.NoErr(err)
		before := p.Revision()
		_, err = submitter.Submit(t.Context(), ticketOf("change", specOf(1, 8)))
		is.NoErr(err)
		p.Restore(before)
		_, err = submitter.Submit(t.Context(), ticketOf("next", specOf(1, 9)))
		is.Equal(errkind.Of(err), errkind.Stale)
		other := newSubmitter(p)
		for _, id := range []string{"other-1", "other-2", "other-3"} {
			_, err = other.Submit(t.Context(), ticketOf(id, specOf(2, 5)))
			is.NoErr(err)
		}
		_, err = submitter.Submit(t.Context(), ticketOf("next", specOf(1, 9)))
		is.Equal(errkind.Of(err), errkind.Stale)
	})
}

// TestNameIsFreeAfterRemoval checks that the name of a removed service can be
// given to a new service with another ID and address, and that the old ID cannot
// be used again.
func TestNameIsFreeAfterRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		submitter := newSubmitter(platform.New(nil))
		successor := specOf(9, 5)
		successor.Name = "service-1"
		for _, next := range []Ticket{
			ticketOf("create", specOf(1, 5)),
			{ID: "remove", Submitter: "ayse", Removed: []string{"service-1"}},
			ticketOf("successor", successor),
		} {
			_, err := submitter.Submit(t.Context(), next)
			is.NoErr(err)
		}
		_, err := submitter.Submit(t.Context(), ticketOf("back", specOf(1, 5)))
		is.Equal(errkind.Of(err), errkind.Invalid)
		is.Equal(checkStore(submitter), nil)
	})
}
