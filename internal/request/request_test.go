package request

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/retry"
)

// TestMachineDecides feeds events to the machine of one request and compares the resulting actions.
// The attempt of an event is the number that the machine gives the attempt, or 0 for none.
func TestMachineDecides(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	type step struct {
		event   EventKind
		attempt int
		want    ActionKind
	}
	local := Route{Local: true, Deadline: now.Add(time.Second)}
	with := func(change func(*Route)) Route { r := local; change(&r); return r }
	repeatable := with(func(r *Route) { r.Repeatable, r.Peers = true, 1 })
	querying := with(func(r *Route) { r.Repeatable, r.SlotQuery, r.Peers = true, true, 2 })
	cases := []struct {
		name  string
		route Route
		first ActionKind
		steps []step
	}{
		{"served locally", local, Admit, []step{{Admitted, 0, Dispatch}, {AnswerStarted, 1, ForwardAnswer}, {AnswerEnded, 1, Finish}}},
		{"no room locally or at the peer", with(func(r *Route) { r.Peers = 1 }), Admit,
			[]step{{Refused, 0, Relay}, {PeerRefused, 1, ReplyNotRun}}},
		{"backend server not reached", with(func(r *Route) { r.Peers = 1 }), Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendUnreached, 1, Relay}, {AnswerStarted, 2, ForwardAnswer}}},
		{"non-repeatable failed after dispatch", with(func(r *Route) { r.Peers = 1 }), Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendFailed, 1, ReplyUnknown}}},
		{"repeatable failed after dispatch", repeatable, Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendFailed, 1, Relay}, {PeerOutcomeUnknown, 2, Admit}, {Refused, 0, ReplyUnknown}}},
		{"late answer of an earlier attempt", repeatable, Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendFailed, 1, Relay}, {AnswerStarted, 1, None}, {AnswerStarted, 2, ForwardAnswer}}},
		{"truncated answer", repeatable, Admit, []step{{Admitted, 0, Dispatch}, {AnswerStarted, 1, ForwardAnswer}, {AnswerTruncated, 1, Abort}}},
		{"deadline while queued", local, Admit, []step{{Enqueued, 0, None}, {DeadlinePassed, 0, ReplyNotRun}, {Admitted, 0, None}}},
		{"deadline after dispatch", local, Admit, []step{{Admitted, 0, Dispatch}, {DeadlinePassed, 0, ReplyUnknown}}},
		{"cancelled while queued", local, Admit, []step{{Enqueued, 0, None}, {CallerCancelled, 0, ReplyNotRun}}},
		{"cancelled while answering", local, Admit,
			[]step{{Admitted, 0, Dispatch}, {AnswerStarted, 1, ForwardAnswer}, {CallerCancelled, 0, Abort}}},
		{"lost relay resent", with(func(r *Route) { r.PeersFirst, r.Peers, r.MaxResends = true, 1, 1 }), Relay,
			[]step{{PeerAnswerLost, 1, Relay}, {PeerUnreached, 2, ReplyUnknown}}},
		{"refused after a resend", with(func(r *Route) { r.PeersFirst, r.Peers, r.MaxResends = true, 1, 1 }), Relay,
			[]step{{PeerAnswerLost, 1, Relay}, {PeerRefused, 2, Admit}}},
		{"draining, peers full", with(func(r *Route) { r.PeersFirst, r.Draining, r.Peers = true, true, 1 }), Relay,
			[]step{{PeerRefused, 1, ReplyNotRun}}},
		{"draining, no peer reached", with(func(r *Route) { r.PeersFirst, r.Draining, r.Peers = true, true, 1 }), Relay,
			[]step{{PeerUnreached, 1, Admit}}},
		{"draining, no peer", with(func(r *Route) { r.PeersFirst, r.Draining = true, true }), Admit, nil},
		{"granter not reached", Route{PeerHoldsRecord: true, Peers: 1, Deadline: local.Deadline}, Relay,
			[]step{{PeerUnreached, 1, ReplyUnknown}}},
		{"granter refused", Route{PeerHoldsRecord: true, Peers: 1, Deadline: local.Deadline}, Relay,
			[]step{{PeerRefused, 1, ReplyNotRun}}},
		{"slot query, peer runs it", querying, Relay, []step{{AnswerStarted, 1, ForwardAnswer}, {AnswerEnded, 1, Finish}}},
		{"slot query, no free slot", querying, Relay,
			[]step{{PeerRefused, 1, Admit}, {Enqueued, 0, None}, {Admitted, 0, Dispatch}, {AnswerStarted, 2, ForwardAnswer}}},
		{"slot query, no free slot, no room locally", querying, Relay,
			[]step{{PeerRefused, 1, Admit}, {Refused, 0, Relay}, {PeerRefused, 2, ReplyNotRun}}},
		{"slot query, peer not reached", querying, Relay, []step{{PeerUnreached, 1, Admit}}},
		{"slot query, answer lost", querying, Relay, []step{{PeerAnswerLost, 1, Relay}, {PeerRefused, 2, Admit}, {Refused, 0, ReplyUnknown}}},
		{"granter not known", Route{PeerHoldsRecord: true, Deadline: local.Deadline}, ReplyUnknown, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, action := New(c.route, retry.NewBudget(0.1))
			is.Equal(action.Kind, c.first)
			for _, s := range c.steps {
				is.Equal(m.Handle(now, Event{Kind: s.event, Attempt: s.attempt}).Kind, s.want)
			}
		})
	}
}

// TestRetriesAreBounded checks that retries are bounded by the retry budget, by a consumed body and
// by the deadline.
func TestRetriesAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	failed := func(e Event, at time.Time, budget *retry.Budget) ActionKind {
		m, _ := New(Route{Repeatable: true, Local: true, Peers: 1, Deadline: now.Add(time.Second)}, budget)
		m.Handle(now, Event{Kind: Admitted})
		e.Kind, e.Attempt = BackendFailed, 1
		return m.Handle(at, e).Kind
	}
	is := is.New(t)
	is.Equal(failed(Event{}, now, retry.NewBudget(0)), Relay)
	is.Equal(failed(Event{BodyConsumed: true}, now, retry.NewBudget(0)), ReplyUnknown)
	is.Equal(failed(Event{Random: 0.9}, now.Add(990*time.Millisecond), retry.NewBudget(0)), ReplyUnknown)
	shed := Event{Kind: AnswerStarted, Attempt: 1, Shed: true}
	for route, want := range map[Route]ActionKind{
		{Repeatable: true, Local: true, Peers: 1}: Relay,
		{Repeatable: true, Local: true}:           ForwardAnswer,
		{Local: true, Peers: 1}:                   ForwardAnswer,
	} {
		m, _ := New(route, retry.NewBudget(0))
		m.Handle(now, Event{Kind: Admitted})
		is.Equal(m.Handle(now, shed).Kind, want)
	}
	exhausted := retry.NewBudget(0)
	for exhausted.Take(now) {
		continue
	}
	is.Equal(failed(Event{}, now, exhausted), ReplyUnknown)
	m, _ := New(Route{Local: true, Peers: 1, Deadline: now.Add(time.Second)}, exhausted)
	is.Equal(m.Handle(now, Event{Kind: Refused, Overloaded: true, RetryAfter: time.Minute}),
		Action{Kind: ReplyNotRun, Cause: CauseOverloaded, RetryAfter: time.Minute})
}
