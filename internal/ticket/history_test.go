package ticket

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
)

// TestHistoryListAcrossBlocks lists audit records that span several of the blocks
// in which History reads them.
func TestHistoryListAcrossBlocks(t *testing.T) {
	const tickets = 25
	cases := []struct {
		number       int64
		count        int
		first, last  int64
		wantRecorded int
	}{
		{0, 12, 25, 14, 12},
		{20, 5, 20, 16, 5},
		{10, 3, 10, 8, 3},
		{9, 100, 9, 1, 9},
		{999, 1, 25, 25, 1},
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		submitter := newSubmitter(platform.New(nil))
		for slots := 1; slots <= tickets; slots++ {
			_, err := submitter.Submit(t.Context(), ticketOf("t"+strconv.Itoa(slots), specOf(1, slots)))
			is.NoErr(err)
		}
		history := History{Store: submitter.Store}
		for _, c := range cases {
			records, err := history.List(t.Context(), c.number, c.count)
			is.NoErr(err)
			is.Equal(len(records), c.wantRecorded)
			is.Equal(records[0].Number, c.first)
			is.Equal(records[len(records)-1].Number, c.last)
		}
		record, err := history.Show(t.Context(), "t7")
		is.NoErr(err)
		is.Equal(record.Number, int64(7))
		is.Equal(record.Submitter, "ayse")
		is.Equal(record.Outcome, OutcomeAccepted)
		is.Equal(record.Changes[0].Before.Limits.Slots, 6)
		is.Equal(record.Changes[0].After.Limits.Slots, 7)
		is.True(record.Revision > 0 && !record.Time.IsZero())
	})
}

// TestDryRun checks that a dry run lists the changes of a ticket, refuses what
// Submit refuses, and writes nothing.
func TestDryRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(nil)
		submitter := newSubmitter(p)
		created, err := submitter.Submit(t.Context(), ticketOf("create", specOf(1, 5)))
		is.NoErr(err)
		before := p.Counts().Writes
		preview, err := submitter.DryRun(t.Context(), ticketOf("change", specOf(1, 6)))
		is.NoErr(err)
		is.Equal(preview.Differences, []Difference{{Service: "service-1", Field: "limits.slots", Before: "5", After: "6"}})
		is.Equal(preview.Bases, []Base{{Service: "service-1", Revision: created.Revision}})
		_, err = submitter.DryRun(t.Context(), ticketOf("create", specOf(1, 6)))
		is.Equal(errkind.Of(err), errkind.Invalid) // the ID is used
		is.Equal(p.Revision(), created.Revision)
		is.Equal(p.Counts().Writes, before)
	})
}

// BenchmarkReadServices reads all services of a deployment from the stand-in
// platform and decodes them.
func BenchmarkReadServices(b *testing.B) {
	for _, count := range []int{1000, 5000, 15000} {
		b.Run(fmt.Sprintf("services=%d", count), func(b *testing.B) {
			p := platform.New(nil)
			client, err := etcd.New(etcd.Config{
				Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: p},
				CallsPerSecond: 1e6, Burst: 1e6,
			})
			if err != nil {
				b.Fatal(err)
			}
			ctx := context.Background()
			valueBytes := 0
			for id := 1; id <= count; id++ {
				spec := specOf(1, 5)
				spec.ID = service.ID(id)
				spec.Name = fmt.Sprintf("service-%d", id)
				value, err := encode(ServiceRecord{Ticket: int64(id), ID: spec.ID, Name: spec.Name, Spec: &spec})
				if err != nil {
					b.Fatal(err)
				}
				valueBytes += len(value)
				if _, err := client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: ServiceKey(spec.ID), Value: value}}}); err != nil {
					b.Fatal(err)
				}
			}
			before := p.Counts().Reads
			b.ReportAllocs()
			for b.Loop() {
				snapshot, err := client.Range(ctx, ServicePrefix)
				if err != nil {
					b.Fatal(err)
				}
				if states, err := DecodeServices(snapshot.Entries); err != nil || len(states) != count {
					b.Fatal(len(states), err)
				}
			}
			b.ReportMetric(float64(p.Counts().Reads-before)/float64(b.N), "calls/op")
			b.ReportMetric(float64(valueBytes), "value-bytes")
		})
	}
}
