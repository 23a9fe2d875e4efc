package demo

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// sent is one request of a booking.
type sent struct {
	name string
	key  string
}

func TestBookingRepeats(t *testing.T) {
	answer := func(v caller.Verdict, key string) caller.Answer { return caller.Answer{Verdict: v, Key: key} }
	tests := []struct {
		name    string
		key     string
		answers []caller.Answer
		want    []sent
	}{
		{"confirmed at once", "k", []caller.Answer{answer(caller.Answered, "x")}, []sent{{"b.1", "k"}}},
		{"key needed", "", []caller.Answer{answer(caller.KeyNeeded, "k"), answer(caller.Answered, "")},
			[]sent{{"b.1", ""}, {"b.2", "k"}}},
		{"not run takes a fresh key", "k", []caller.Answer{answer(caller.NotRun, "l"), answer(caller.Answered, "")},
			[]sent{{"b.1", "k"}, {"b.2", "l"}}},
		{"an unknown outcome keeps name and key", "k", []caller.Answer{answer(caller.Unknown, "l"), answer(caller.Cut, ""), answer(caller.Answered, "")},
			[]sent{{"b.1", "k"}, {"b.1", "k"}, {"b.1", "k"}}},
		{"in progress keeps name and key", "k", []caller.Answer{answer(caller.InProgress, "l"), answer(caller.Answered, "")},
			[]sent{{"b.1", "k"}, {"b.1", "k"}}},
		{"without a key an unknown outcome is not repeated", "", []caller.Answer{answer(caller.Unknown, "l")}, []sent{{"b.1", ""}}},
		{"a request that was not sent is sent again", "", []caller.Answer{answer(caller.NotSent, ""), answer(caller.Answered, "")},
			[]sent{{"b.1", ""}, {"b.1", ""}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b, step := newBooking("b", test.key)
			var got []sent
			for _, a := range test.answers {
				is.True(!step.done)
				got = append(got, sent{step.name, step.key})
				step = b.answer(a)
			}
			is.True(step.done)
			is.Equal(got, test.want)
		})
	}
}

func TestBookingGivesUp(t *testing.T) {
	is := is.New(t)
	b, step := newBooking("b", "k")
	sends := 0
	for ; !step.done; sends++ {
		step = b.answer(caller.Answer{Verdict: caller.Unknown})
	}
	is.Equal(sends, maxBookingSends)
	is.Equal(b.current().last, caller.Unknown)
}

func TestCheckBookings(t *testing.T) {
	is := is.New(t)
	bookings := [][]attempt{
		{{name: "once", last: caller.Answered, inconclusive: true}},
		{{name: "twice", last: caller.Answered}},
		{{name: "said-not", last: caller.NotRun}, {name: "said-not.2", last: caller.Unknown}},
		{{name: "keyless", last: caller.KeyNeeded}, {name: "keyless.2", last: caller.Answered}},
		{{name: "never", last: caller.Answered}},
		{{name: "strayed", last: caller.Unknown}},
	}
	runs := ledger{
		"once": {"r-1"}, "twice": {"r-1", "r-2"}, "said-not": {"r-1"},
		"keyless": {"r-2"}, "keyless.2": {"r-2"}, "strayed": {"d-1"},
	}
	check := checkBookings(bookings, runs, []string{"r-1", "r-2"})
	is.Equal(check.made, 6)
	is.Equal(check.confirmed, 4)
	is.Equal(check.repeated, 1)
	is.Equal(check.twice, []string{"twice", "keyless.2"})
	is.Equal(check.notRunThatRan, []string{"said-not", "keyless"})
	is.Equal(check.confirmedWithoutRun, []string{"never"})
	is.Equal(check.elsewhere, []string{"strayed"})
}
