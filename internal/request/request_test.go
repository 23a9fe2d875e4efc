package request

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/retry"
)

// TestMachineDecides walks one request through events; each step gives the
// action that must follow. The attempts are numbered as the machine does it.
func TestMachineDecides(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	type step struct {
		event EventKind
		try   int
		want  ActionKind
	}
	local := Route{Local: true, Deadline: now.Add(time.Second)}
	with := func(change func(*Route)) Route { r := local; change(&r); return r }
	repeatable := with(func(r *Route) { r.Repeatable, r.Peers = true, 1 })
	asking := with(func(r *Route) { r.Repeatable, r.AskPeer, r.Peers = true, true, 2 })
	cases := []struct {
		name  string
		route Route
		first ActionKind
		steps []step
	}{
		{"served here", local, Admit, []step{{Admitted, 0, Dispatch}, {AnswerStarted, 1, PassAnswer}, {AnswerEnded, 1, Finish}}},
		{"no room here or there", with(func(r *Route) { r.Peers = 1 }), Admit,
			[]step{{Refused, 0, Relay}, {PeerRefused, 1, RefuseNotRun}}},
		{"backend server not reached", with(func(r *Route) { r.Peers = 1 }), Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendUnreached, 1, Relay}, {AnswerStarted, 2, PassAnswer}}},
		{"single failed after dispatch", with(func(r *Route) { r.Peers = 1 }), Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendFailed, 1, AnswerUnknown}}},
		{"repeatable failed after dispatch", repeatable, Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendFailed, 1, Relay}, {PeerUnknown, 2, Admit}, {Refused, 0, AnswerUnknown}}},
		{"late answer of an earlier attempt", repeatable, Admit,
			[]step{{Admitted, 0, Dispatch}, {BackendFailed, 1, Relay}, {AnswerStarted, 1, None}, {AnswerStarted, 2, PassAnswer}}},
		{"cut", repeatable, Admit, []step{{Admitted, 0, Dispatch}, {AnswerStarted, 1, PassAnswer}, {AnswerCut, 1, Abort}}},
		{"deadline while queued", local, Admit, []step{{Enqueued, 0, None}, {DeadlinePassed, 0, RefuseNotRun}, {Admitted, 0, None}}},
		{"deadline after dispatch", local, Admit, []step{{Admitted, 0, Dispatch}, {DeadlinePassed, 0, AnswerUnknown}}},
		{"cancelled while queued", local, Admit, []step{{Enqueued, 0, None}, {CallerCancelled, 0, RefuseNotRun}}},
		{"cancelled while answering", local, Admit,
			[]step{{Admitted, 0, Dispatch}, {AnswerStarted, 1, PassAnswer}, {CallerCancelled, 0, Abort}}},
		{"lost relay asked again", with(func(r *Route) { r.PeersFirst, r.Peers, r.Reasks = true, 1, 1 }), Relay,
			[]step{{PeerLost, 1, Relay}, {PeerUnreached, 2, AnswerUnknown}}},
		{"refused when asked again", with(func(r *Route) { r.PeersFirst, r.Peers, r.Reasks = true, 1, 1 }), Relay,
			[]step{{PeerLost, 1, Relay}, {PeerRefused, 2, Admit}}},
		{"draining, peers full", with(func(r *Route) { r.PeersFirst, r.Draining, r.Peers = true, true, 1 }), Relay,
			[]step{{PeerRefused, 1, RefuseNotRun}}},
		{"draining, no peer reached", with(func(r *Route) { r.PeersFirst, r.Draining, r.Peers = true, true, 1 }), Relay,
			[]step{{PeerUnreached, 1, Admit}}},
		{"draining, no peer", with(func(r *Route) { r.PeersFirst, r.Draining = true, true }), Admit, nil},
		{"granter not reached", Route{PeerDecides: true, Peers: 1, Deadline: local.Deadline}, Relay,
			[]step{{PeerUnreached, 1, AnswerUnknown}}},
		{"granter refused", Route{PeerDecides: true, Peers: 1, Deadline: local.Deadline}, Relay,
			[]step{{PeerRefused, 1, RefuseNotRun}}},
		{"asked peer runs it", asking, Relay, []step{{AnswerStarted, 1, PassAnswer}, {AnswerEnded, 1, Finish}}},
		{"asked peer has no free slot", asking, Relay,
			[]step{{PeerRefused, 1, Admit}, {Enqueued, 0, None}, {Admitted, 0, Dispatch}, {AnswerStarted, 2, PassAnswer}}},
		{"asked peer has no free slot, no room here", asking, Relay,
			[]step{{PeerRefused, 1, Admit}, {Refused, 0, Relay}, {PeerRefused, 2, RefuseNotRun}}},
		{"asked peer not reached", asking, Relay, []step{{PeerUnreached, 1, Admit}}},
		{"asked peer lost", asking, Relay, []step{{PeerLost, 1, Relay}, {PeerRefused, 2, Admit}, {Refused, 0, AnswerUnknown}}},
		{"granter not known", Route{PeerDecides: true, Deadline: local.Deadline}, AnswerUnknown, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, action := New(c.route, retry.NewBudget(0.1))
			is.Equal(action.Kind, c.first)
			for _, s := range c.steps {
				is.Equal(m.Handle(now, Event{Kind: s.event, Attempt: s.try}).Kind, s.want)
			}
		})
	}
}

// TestRetriesAreBounded: by the budget, by a body that is gone, and by the deadline.
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
	is.Equal(failed(Event{BodySpent: true}, now, retry.NewBudget(0)), AnswerUnknown)
	is.Equal(failed(Event{Random: 0.9}, now.Add(990*time.Millisecond), retry.NewBudget(0)), AnswerUnknown)
	shed := Event{Kind: AnswerStarted, Attempt: 1, Shed: true}
	for route, want := range map[Route]ActionKind{
		{Repeatable: true, Local: true, Peers: 1}: Relay,
		{Repeatable: true, Local: true}:           PassAnswer,
		{Local: true, Peers: 1}:                   PassAnswer,
	} {
		m, _ := New(route, retry.NewBudget(0))
		m.Handle(now, Event{Kind: Admitted})
		is.Equal(m.Handle(now, shed).Kind, want)
	}
	spent := retry.NewBudget(0)
	for spent.Take(now) {
		continue
	}
	is.Equal(failed(Event{}, now, spent), AnswerUnknown)
	m, _ := New(Route{Local: true, Peers: 1, Deadline: now.Add(time.Second)}, spent)
	is.Equal(m.Handle(now, Event{Kind: Refused, Overloaded: true, RetryAfter: time.Minute}),
		Action{Kind: RefuseNotRun, Cause: CauseOverloaded, RetryAfter: time.Minute})
}
