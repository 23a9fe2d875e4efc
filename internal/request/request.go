// Package request holds the state machine of one request at one agent.
//
// The machine decides where a request is dispatched, when it may be tried
// again, and what its caller is told. It keeps two promises: a request that
// must not be repeated is never sent again once it may have been dispatched,
// and "not run" is said only when that is certain. It is pure: time and
// randomness come in with the events.
package request

import (
	"time"

	"github.com/almondledge/almondledge/internal/retry"
)

// maxRetries bounds the retries of one request.
const maxRetries = 3

// State is the state of a request at this agent.
type State uint8

// States of a request.
const (
	Received State = iota + 1
	Queued
	Dispatched
	Answered
)

// EventKind names what happened to a request.
type EventKind uint8

// Events. Those from PeerRefused on belong to one attempt; events of another
// than the current attempt are late or doubled and are ignored.
const (
	// Enqueued means that the request waits for a local slot.
	Enqueued EventKind = iota + 1
	// Admitted means that the request holds a local slot.
	Admitted
	// Refused means that the local agent does not take the request.
	Refused
	// DeadlinePassed means that the answer did not start in time.
	DeadlinePassed
	// CallerCancelled means that the caller no longer wants the answer.
	CallerCancelled
	// PeerRefused means that the peer certainly did not run and will not run this attempt.
	PeerRefused
	// PeerUnreached means that nothing of this attempt was sent.
	PeerUnreached
	// PeerLost means that the attempt was sent and no answer came.
	PeerLost
	// PeerUnknown means that the peer does not know the outcome.
	PeerUnknown
	// BackendUnreached means that no byte was sent to the backend server.
	BackendUnreached
	// BackendFailed means that the backend server got at least a part of the request and gave no answer.
	BackendFailed
	// AnswerStarted means that the head of the answer arrived.
	AnswerStarted
	// AnswerEnded means that the answer was passed on as a whole.
	AnswerEnded
	// AnswerCut means that the body of the answer broke off.
	AnswerCut
)

// Event is one thing that happened to a request.
type Event struct {
	// Kind says what happened.
	Kind EventKind
	// Attempt is the attempt that the event belongs to, if any.
	Attempt int
	// RetryAfter is when a refusal suggests to come back.
	RetryAfter time.Duration
	// Overloaded marks a refusal for lack of room, in contrast to draining.
	Overloaded bool
	// BodySpent reports that a part of the request body is gone, so that no
	// further attempt can send it.
	BodySpent bool
	// Random is a random number in [0, 1).
	Random float64
}

// ActionKind names what the agent must do next.
type ActionKind uint8

// Actions.
const (
	// None means that there is nothing to do.
	None ActionKind = iota
	// Admit means: ask the local admission control for a slot.
	Admit
	// Dispatch means: send the request to the local backend server.
	Dispatch
	// Relay means: send the request to peer Peer.
	Relay
	// RefuseNotRun means: tell the caller that the request was not run.
	RefuseNotRun
	// AnswerUnknown means: tell the caller that the outcome is unknown.
	AnswerUnknown
	// PassAnswer means: pass the answer on to the caller.
	PassAnswer
	// Finish means: the request is complete.
	Finish
	// Abort means: abort the caller's stream, so that the cut is seen.
	Abort
)

// Cause says why a request was refused or its outcome is unknown.
type Cause string

// Causes.
const (
	CauseOverloaded  Cause = "overloaded"
	CauseUnavailable Cause = "unavailable"
	CauseDeadline    Cause = "deadline"
	CauseCancelled   Cause = "cancelled"
	CauseLost        Cause = "lost"
)

// Action is what the agent must do next.
type Action struct {
	// Kind says what to do.
	Kind ActionKind
	// Attempt numbers the attempt of a Dispatch or Relay.
	Attempt int
	// Peer is the index of the peer of a Relay.
	Peer int
	// FreeSlotOnly marks a Relay that the peer must refuse at once if the request
	// would wait there.
	FreeSlotOnly bool
	// Reask marks a Relay that asks the same peer again for an attempt that it deduplicates.
	Reask bool
	// Delay is the time to wait before an Admit, Dispatch or Relay.
	Delay time.Duration
	// Cause explains RefuseNotRun and AnswerUnknown.
	Cause Cause
	// RetryAfter belongs to RefuseNotRun.
	RetryAfter time.Duration
}

// Route says where a request may go.
type Route struct {
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	// Local reports that the local backend server may run the request.
	Local bool
	// PeersFirst sends the request to a peer when there is one: the agent is draining.
	PeersFirst bool
	// AskPeer asks the first peer for a free slot before the request waits here.
	AskPeer bool
	// Peers is the number of peers that may be tried, in order.
	Peers int
	// PeerDecides reports that the only peer is the granting agent of the
	// request's key: only its word can be "not run".
	PeerDecides bool
	// Reasks is how often a peer that deduplicates is asked again after a lost answer.
	Reasks int
	// Deadline is when the answer must have started.
	Deadline time.Time
}

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	route   Route
	budget  *retry.Budget
	state   State
	attempt int
	// peer is the number of peers tried so far.
	peer    int
	reasks  int
	retries int
	// mayHaveRun is set by the first attempt whose outcome is not certain.
	mayHaveRun bool
	localTried bool
	// asking is set while the only attempt so far asks a peer for a free slot.
	asking bool
	// peerRefused is set once a peer was reached and had no room.
	peerRefused bool
	passing     bool
	last        Event
}

// New returns the machine of a request that was just received and its first action.
func New(route Route, budget *retry.Budget) (*Machine, Action) {
	m := &Machine{route: route, budget: budget, state: Received}
	if route.AskPeer && route.Peers > 0 {
		m.asking = true
		ask := m.elsewhere()
		ask.FreeSlotOnly = true
		return m, ask
	}
	if route.Local && (!route.PeersFirst || route.Peers == 0) {
		return m, Action{Kind: Admit}
	}
	return m, m.elsewhere()
}

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// MayHaveRun reports whether the request may have been run by any attempt.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun || m.state == Dispatched }

// Handle takes one event and returns what to do.
func (m *Machine) Handle(now time.Time, e Event) Action {
	if m.state == Answered {
		return Action{Kind: None}
	}
	switch e.Kind {
	case Enqueued:
		m.state = Queued
		return Action{Kind: None}
	case Admitted:
		m.localTried = true
		return m.send(Action{Kind: Dispatch})
	case Refused:
		m.localTried = true
		m.state = Received
		m.last = e
		return m.afterRefusal(now, e)
	case DeadlinePassed:
		return m.stop(CauseDeadline)
	case CallerCancelled:
		return m.stop(CauseCancelled)
	}
	if m.state != Dispatched || e.Attempt != m.attempt {
		return Action{Kind: None}
	}
	return m.attemptEvent(now, e)
}

// attemptEvent handles an event of the current attempt.
func (m *Machine) attemptEvent(now time.Time, e Event) Action {
	if m.passing {
		return m.passingEvent(e)
	}
	switch e.Kind {
	case PeerRefused, PeerUnreached, BackendUnreached:
		return m.notRun(now, e)
	case PeerLost:
		return m.lost(now, e)
	case PeerUnknown, BackendFailed:
		m.mayHaveRun = true
		m.asking = false
		return m.again(now, e)
	case AnswerStarted:
		m.passing = true
		return Action{Kind: PassAnswer, Attempt: m.attempt}
	default:
		return Action{Kind: None}
	}
}

// passingEvent handles an event after the head of the answer was passed on:
// from here on there is no other attempt, so no body is made of two answers.
func (m *Machine) passingEvent(e Event) Action {
	switch e.Kind {
	case AnswerEnded:
		m.state = Answered
		return Action{Kind: Finish}
	case AnswerCut, BackendFailed, PeerLost:
		m.state = Answered
		return Action{Kind: Abort}
	default:
		return Action{Kind: None}
	}
}

// notRun handles an attempt that certainly did not run.
func (m *Machine) notRun(now time.Time, e Event) Action {
	m.last = e
	m.peerRefused = m.peerRefused || e.Kind == PeerRefused
	if m.route.PeerDecides && e.Kind != PeerRefused {
		// The key may have been used before; only its granting agent knows.
		return m.end(AnswerUnknown, CauseUnavailable)
	}
	if m.route.PeerDecides {
		// The granting agent never runs a key that it refused, earlier asks included.
		m.mayHaveRun = false
		return m.end(RefuseNotRun, causeOf(e))
	}
	m.state = Received
	if e.BodySpent {
		return m.end(RefuseNotRun, causeOf(e))
	}
	if m.asking {
		m.asking = false
		return Action{Kind: Admit}
	}
	return m.afterRefusal(now, e)
}

// lost handles a sent attempt without an answer. A peer that deduplicates may
// be asked again for the same attempt.
func (m *Machine) lost(now time.Time, e Event) Action {
	m.mayHaveRun = true
	m.asking = false
	if m.reasks < m.route.Reasks && !e.BodySpent {
		wait, ok := retry.Backoff(m.reasks+1, e.Random, now, m.route.Deadline)
		if ok {
			m.reasks++
			m.attempt++
			return Action{Kind: Relay, Attempt: m.attempt, Peer: m.peer - 1, Reask: true, Delay: wait}
		}
	}
	return m.again(now, e)
}

// again tries a repeatable request once more after an attempt that may have run.
func (m *Machine) again(now time.Time, e Event) Action {
	if !m.route.Repeatable || e.BodySpent || m.retries == maxRetries {
		return m.end(AnswerUnknown, CauseLost)
	}
	wait, ok := retry.Backoff(m.retries+1, e.Random, now, m.route.Deadline)
	if !ok || !m.budget.Take(now) {
		return m.end(AnswerUnknown, CauseLost)
	}
	m.retries++
	if m.peer == m.route.Peers {
		// Without another peer the local backend server gets another try.
		m.localTried = false
	}
	next := m.elsewhere()
	next.Delay = wait
	return next
}

// afterRefusal moves a request on that no attempt has run since.
func (m *Machine) afterRefusal(now time.Time, e Event) Action {
	if !now.Before(m.route.Deadline) {
		return m.stop(CauseDeadline)
	}
	// Looking for room elsewhere costs work while all are busy, so it is budgeted.
	if e.Overloaded && m.peer < m.route.Peers && !m.budget.Take(now) {
		return m.refuse(causeOf(e))
	}
	return m.elsewhere()
}

// elsewhere picks the next place: an untried peer, else the local backend
// server if it was not tried.
func (m *Machine) elsewhere() Action {
	if m.peer < m.route.Peers {
		m.peer++
		m.reasks = 0
		return m.send(Action{Kind: Relay, Peer: m.peer - 1})
	}
	// A draining agent serves a request itself only when no peer can be reached.
	local := m.route.Local && !m.localTried && (!m.route.PeersFirst || !m.peerRefused)
	if local {
		m.state = Received
		return Action{Kind: Admit}
	}
	return m.refuse(causeOf(m.last))
}

func (m *Machine) send(a Action) Action {
	m.attempt++
	m.state = Dispatched
	a.Attempt = m.attempt
	return a
}

// stop ends a request at its deadline or when its caller cancels.
func (m *Machine) stop(cause Cause) Action {
	if m.passing {
		m.state = Answered
		return Action{Kind: Abort, Cause: cause}
	}
	if m.state == Dispatched {
		m.mayHaveRun = true
	}
	return m.refuse(cause)
}

// refuse says "not run" if that is certain, else that the outcome is unknown.
func (m *Machine) refuse(cause Cause) Action {
	if m.mayHaveRun || m.route.PeerDecides {
		return m.end(AnswerUnknown, cause)
	}
	return m.end(RefuseNotRun, cause)
}

func (m *Machine) end(kind ActionKind, cause Cause) Action {
	m.state = Answered
	return Action{Kind: kind, Cause: cause, RetryAfter: m.last.RetryAfter}
}

func causeOf(e Event) Cause {
	if e.Overloaded {
		return CauseOverloaded
	}
	return CauseUnavailable
}
