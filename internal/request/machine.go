package request

import (
	"time"

	"github.com/almondledge/almondledge/internal/retry"
)

// maxRetries bounds the retries of one request.
const maxRetries = 3

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	route   Route
	budget  *retry.Budget
	state   State
	attempt int
	// peer is the number of peers tried so far.
	peer int
	// onPeer reports that the current attempt is at a peer.
	onPeer  bool
	reasks  int
	retries int
	// mayHaveRun is set by the first attempt whose outcome is not certain.
	mayHaveRun bool
	localTried bool
	// peerRefused is set once a peer was reached and had no room.
	peerRefused bool
	passing     bool
	last        Event
}

// New returns the machine of a request that was just received and its first action.
func New(route Route, budget *retry.Budget) (*Machine, Action) {
	m := &Machine{route: route, budget: budget, state: Received}
	if m.asks() {
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
	case PeerAnswerLost:
		return m.lost(now, e)
	case PeerOutcomeUnknown, BackendFailed:
		m.mayHaveRun = true
		return m.again(now, e)
	case AnswerStarted:
		if next, ok := m.afterShed(now, e); ok {
			return next
		}
		m.passing = true
		return Action{Kind: ForwardAnswer, Attempt: m.attempt}
	default:
		return Action{Kind: None}
	}
}

// afterShed tries a repeatable request at a peer when the backend server shed
// it. Without a peer or budget the answer is passed on as it is.
func (m *Machine) afterShed(now time.Time, e Event) (Action, bool) {
	if !e.Shed || !m.route.Repeatable || e.BodyConsumed || m.peer == m.route.Peers || !m.budget.Take(now) {
		return Action{}, false
	}
	m.mayHaveRun = true
	next := m.elsewhere()
	next.Retry = true
	return next, true
}

// passingEvent handles an event after the head of the answer was passed on:
// from here on there is no other attempt, so no body is made of two answers.
func (m *Machine) passingEvent(e Event) Action {
	switch e.Kind {
	case AnswerEnded:
		m.state = Answered
		return Action{Kind: Finish}
	case AnswerTruncated, BackendFailed, PeerAnswerLost:
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
	if m.route.PeerHoldsRecord && e.Kind != PeerRefused {
		// The key may have been used before; only its granting agent knows.
		return m.end(ReplyUnknown, CauseUnavailable)
	}
	if m.route.PeerHoldsRecord {
		// The granting agent never runs a key that it refused, earlier asks included.
		m.mayHaveRun = false
		return m.end(ReplyNotRun, causeOf(e))
	}
	if m.reasks > 0 && e.Kind == PeerUnreached {
		// Only this ask was not sent; the one before it may have run.
		return m.lost(now, e)
	}
	if m.reasks > 0 {
		// A peer that refused a grant never runs it, earlier asks included.
		m.mayHaveRun = false
	}
	m.state = Received
	if e.BodyConsumed {
		return m.refuse(causeOf(e))
	}
	if m.asks() && m.attempt == 1 {
		return Action{Kind: Admit} // the peer has no free slot, so the request waits here
	}
	return m.afterRefusal(now, e)
}

// asks reports whether the first attempt asks a peer for a free slot.
func (m *Machine) asks() bool {
	return m.route.SlotQuery && m.route.Peers > 0
}

// lost handles a sent attempt without an answer. A peer that deduplicates may
// be asked again for the same attempt.
func (m *Machine) lost(now time.Time, e Event) Action {
	m.mayHaveRun = true
	if m.onPeer && m.reasks < m.route.MaxResends && !e.BodyConsumed {
		wait, ok := retry.Backoff(m.reasks+1, e.Random, now, m.route.Deadline)
		if ok {
			m.reasks++
			m.attempt++
			return Action{Kind: Relay, Attempt: m.attempt, Peer: m.peer - 1, Resend: true, Delay: wait}
		}
	}
	return m.again(now, e)
}

// again tries a repeatable request once more after an attempt that may have run.
func (m *Machine) again(now time.Time, e Event) Action {
	if !m.route.Repeatable || e.BodyConsumed || m.retries == maxRetries {
		return m.end(ReplyUnknown, CauseLost)
	}
	wait, ok := retry.Backoff(m.retries+1, e.Random, now, m.route.Deadline)
	if !ok || !m.budget.Take(now) {
		return m.end(ReplyUnknown, CauseLost)
	}
	m.retries++
	if m.peer == m.route.Peers {
		// Without another peer the local backend server gets another try.
		m.localTried = false
	}
	next := m.elsewhere()
	next.Delay = wait
	next.Retry = m.state != Answered
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
		return m.send(Action{Kind: Relay, Peer: m.peer - 1})
	}
	// A draining agent serves a request itself only when no peer can be reached.
	local := m.route.Local && !m.localTried && (!m.route.Draining || !m.peerRefused)
	if local {
		m.state = Received
		return Action{Kind: Admit}
	}
	return m.refuse(causeOf(m.last))
}

func (m *Machine) send(a Action) Action {
	m.attempt++
	m.state = Dispatched
	m.onPeer = a.Kind == Relay
	m.reasks = 0
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
	if m.mayHaveRun || m.route.PeerHoldsRecord {
		return m.end(ReplyUnknown, cause)
	}
	return m.end(ReplyNotRun, cause)
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
