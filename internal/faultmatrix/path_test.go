package faultmatrix

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

func TestRequestsAreServedEndToEnd(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		is := is.New(t)
		flow := f.flow(bookingAddr)
		answer := flow.Sheet(f.ctx, "tide", 300_000, 0)
		is.Equal(answer.Verdict, caller.Answered)
		answer = flow.Upload(f.ctx, "order", 300_000)
		is.Equal(answer.Verdict, caller.Answered)
		answer = flow.Book(f.ctx, "family-1", answer.Key, 0)
		is.Equal(answer.Verdict, caller.Answered)
		is.Equal(len(f.ended), 0)
	})
}
