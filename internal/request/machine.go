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
	// peersTried is the number of peers tried so far. Peers are tried in order.
	peersTried int
	// relayed reports that the current attempt is at a peer.
	relayed bool
	// resends is the number of times that the current attempt was sent again to the same peer.
	resends int
	retries int
	// mayHaveRun reports that an earlier attempt may have run.
	mayHaveRun bool
	localTried bool
	// peerRefused reports that a peer was reached and refused the request.
	peerRefused bool
	// forwarding reports that the head of an answer was forwarded to the caller.
	forwarding bool
	// lastRefusal is the event of the latest attempt that was refused or failed and certainly did
	// not run.
	lastRefusal Event
}

// New returns the Machine of a request that was just received, and its first action.
func New(route Route, budget *retry.Budget) (*Machine, Action) {
	m := &Machine{route: route, budget: budget, state: Received}
	if m.queriesSlot() {
		query := m.nextTarget()
		query.FreeSlotOnly = true
		return m, query
	}
	if route.Local && (!route.PeersFirst || route.Peers == 0) {
		return m, Action{Kind: Admit}
	}
	return m, m.nextTarget()
}

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// MayHaveRun reports whether any attempt may have run the request.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun || m.state == Dispatched }

// Handle processes one event and returns the next action.
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
		return m.startAttempt(Action{Kind: Dispatch})
	case Refused:
		m.localTried = true
		m.state = Received
		m.lastRefusal = e
		return m.tryNextTarget(now, e)
	case DeadlinePassed:
		return m.cancel(CauseDeadline)
	case CallerCancelled:
		return m.cancel(CauseCancelled)
	}
	if m.state != Dispatched || e.Attempt != m.attempt {
		return Action{Kind: None}
	}
	return m.handleAttempt(now, e)
}

// handleAttempt processes an event of the current attempt.
func (m *Machine) handleAttempt(now time.Time, e Event) Action {
	if m.forwarding {
		return m.handleForwarding(e)
	}
	switch e.Kind {
	case PeerRefused, PeerUnreached, BackendUnreached:
		return m.handleNotRun(now, e)
	case PeerAnswerLost:
		return m.handleNoAnswer(now, e)
	case PeerOutcomeUnknown, BackendFailed:
		m.mayHaveRun = true
		return m.retryOrEnd(now, e)
	case AnswerStarted:
		if next, ok := m.retryShed(now, e); ok {
			return next
		}
		m.forwarding = true
		return Action{Kind: ForwardAnswer, Attempt: m.attempt}
	default:
		return Action{Kind: None}
	}
}

// retryShed retries a request at a peer after the backend server shed it. It returns false if the
// request cannot be repeated, or if no peer or no retry budget is left; the answer is then
// forwarded unchanged.
func (m *Machine) retryShed(now time.Time, e Event) (Action, bool) {
	if !e.Shed || !m.route.Repeatable || e.BodyConsumed || m.peersTried == m.route.Peers || !m.budget.Take(now) {
		return Action{}, false
	}
	m.mayHaveRun = true
	next := m.nextTarget()
	next.Retry = true
	return next, true
}

// handleForwarding processes an event after the head of an answer was forwarded. No other attempt
// may follow, because a body must not be composed of two answers.
func (m *Machine) handleForwarding(e Event) Action {
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

// handleNotRun processes the end of an attempt that certainly did not run.
func (m *Machine) handleNotRun(now time.Time, e Event) Action {
	m.lastRefusal = e
	m.peerRefused = m.peerRefused || e.Kind == PeerRefused
	if m.route.PeerHoldsRecord && e.Kind != PeerRefused {
		// An earlier request with this key may have run. Only the agent that holds the key's record
		// can rule that out.
		return m.end(ReplyUnknown, CauseUnavailable)
	}
	if m.route.PeerHoldsRecord {
		// The refusal covers earlier attempts too: a refused key never runs.
		m.mayHaveRun = false
		return m.end(ReplyNotRun, refusalCause(e))
	}
	if m.resends > 0 && e.Kind == PeerUnreached {
		// Only this resend was not sent; the attempt before it may have run.
		return m.handleNoAnswer(now, e)
	}
	if m.resends > 0 {
		// The refusal covers earlier sends too: the peer never runs a grant that it refused.
		m.mayHaveRun = false
	}
	m.state = Received
	if e.BodyConsumed {
		return m.endWithoutAnswer(refusalCause(e))
	}
	if m.queriesSlot() && m.attempt == 1 {
		return Action{Kind: Admit} // the peer has no free slot: wait in the local queue
	}
	return m.tryNextTarget(now, e)
}

// queriesSlot reports whether the first attempt is a slot query to a peer.
func (m *Machine) queriesSlot() bool {
	return m.route.SlotQuery && m.route.Peers > 0
}

// handleNoAnswer processes an attempt that was sent and got no answer. It resends the attempt if it
// went to a peer, because peers deduplicate resends.
func (m *Machine) handleNoAnswer(now time.Time, e Event) Action {
	m.mayHaveRun = true
	if m.relayed && m.resends < m.route.MaxResends && !e.BodyConsumed {
		wait, ok := retry.Backoff(m.resends+1, e.Random, now, m.route.Deadline)
		if ok {
			m.resends++
			m.attempt++
			return Action{Kind: Relay, Attempt: m.attempt, Peer: m.peersTried - 1, Resend: true, Delay: wait}
		}
	}
	return m.retryOrEnd(now, e)
}

// retryOrEnd runs after an attempt that may have run. It retries a repeatable request, and replies
// "unknown" if the request cannot be retried.
func (m *Machine) retryOrEnd(now time.Time, e Event) Action {
	if !m.route.Repeatable || e.BodyConsumed || m.retries == maxRetries {
		return m.end(ReplyUnknown, CauseLost)
	}
	wait, ok := retry.Backoff(m.retries+1, e.Random, now, m.route.Deadline)
	if !ok || !m.budget.Take(now) {
		return m.end(ReplyUnknown, CauseLost)
	}
	m.retries++
	if m.peersTried == m.route.Peers {
		// All peers were tried: allow the local backend server again.
		m.localTried = false
	}
	next := m.nextTarget()
	next.Delay = wait
	next.Retry = m.state != Answered
	return next
}

// tryNextTarget continues after a refusal or an attempt that certainly did not run.
func (m *Machine) tryNextTarget(now time.Time, e Event) Action {
	if !now.Before(m.route.Deadline) {
		return m.cancel(CauseDeadline)
	}
	// Trying peers while all of them are overloaded adds load, so it counts against the budget.
	if e.Overloaded && m.peersTried < m.route.Peers && !m.budget.Take(now) {
		return m.endWithoutAnswer(refusalCause(e))
	}
	return m.nextTarget()
}

// nextTarget selects the next untried peer, or else the local backend server if it is still
// allowed.
func (m *Machine) nextTarget() Action {
	if m.peersTried < m.route.Peers {
		m.peersTried++
		return m.startAttempt(Action{Kind: Relay, Peer: m.peersTried - 1})
	}
	// A draining agent runs a request locally only if no peer refused it.
	local := m.route.Local && !m.localTried && (!m.route.Draining || !m.peerRefused)
	if local {
		m.state = Received
		return Action{Kind: Admit}
	}
	return m.endWithoutAnswer(refusalCause(m.lastRefusal))
}

// startAttempt assigns a number to a new attempt and marks the request as dispatched.
func (m *Machine) startAttempt(a Action) Action {
	m.attempt++
	m.state = Dispatched
	m.relayed = a.Kind == Relay
	m.resends = 0
	a.Attempt = m.attempt
	return a
}

// cancel ends the request at its deadline or when the caller cancels it.
func (m *Machine) cancel(cause Cause) Action {
	if m.forwarding {
		m.state = Answered
		return Action{Kind: Abort, Cause: cause}
	}
	if m.state == Dispatched {
		m.mayHaveRun = true
	}
	return m.endWithoutAnswer(cause)
}

// endWithoutAnswer replies "not run" if that is certain, and "unknown" otherwise.
func (m *Machine) endWithoutAnswer(cause Cause) Action {
	if m.mayHaveRun || m.route.PeerHoldsRecord {
		return m.end(ReplyUnknown, cause)
	}
	return m.end(ReplyNotRun, cause)
}

func (m *Machine) end(kind ActionKind, cause Cause) Action {
	m.state = Answered
	return Action{Kind: kind, Cause: cause, RetryAfter: m.lastRefusal.RetryAfter}
}

func refusalCause(e Event) Cause {
	if e.Overloaded {
		return CauseOverloaded
	}
	return CauseUnavailable
}
