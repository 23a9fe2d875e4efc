// Package request holds the state machine of one request at one agent.
//
// The machine decides where a request is dispatched, when it may be tried
// again, and what its caller is told. It keeps two promises: a request that
// must not be repeated is never sent again once it may have been dispatched,
// and "not run" is said only when that is certain. It is pure: time and
// randomness come in with the events.
package request

import "time"

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
	// PeerAnswerLost means that the attempt was sent and no answer came.
	PeerAnswerLost
	// PeerOutcomeUnknown means that the peer does not know the outcome.
	PeerOutcomeUnknown
	// BackendUnreached means that no byte was sent to the backend server.
	BackendUnreached
	// BackendFailed means that the backend server got at least a part of the request and gave no answer.
	BackendFailed
	// AnswerStarted means that the head of the answer arrived.
	AnswerStarted
	// AnswerEnded means that the answer was passed on as a whole.
	AnswerEnded
	// AnswerTruncated means that the body of the answer broke off.
	AnswerTruncated
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
	// Shed marks an answer by which the backend server sheds load.
	Shed bool
	// BodyConsumed reports that a part of the request body is gone, so that no
	// further attempt can send it.
	BodyConsumed bool
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
	// ReplyNotRun means: tell the caller that the request was not run.
	ReplyNotRun
	// ReplyUnknown means: tell the caller that the outcome is unknown.
	ReplyUnknown
	// ForwardAnswer means: pass the answer on to the caller.
	ForwardAnswer
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
	// Retry marks another attempt after one that may have run.
	Retry bool
	// Resend marks a Relay that asks the same peer again for an attempt that it deduplicates.
	Resend bool
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
	// PeersFirst sends the request to a peer when there is one, because the agent
	// is draining or its backend server is broken.
	PeersFirst bool
	// SlotQuery asks the first peer for a free slot before the request waits here.
	SlotQuery bool
	// Draining keeps the request from the local backend server once a peer was reached.
	Draining bool
	// Peers is the number of peers that may be tried, in order.
	Peers int
	// PeerHoldsRecord reports that the only peer is the granting agent of the
	// request's key: only its word can be "not run".
	PeerHoldsRecord bool
	// MaxResends is how often a peer that deduplicates is asked again after a lost answer.
	MaxResends int
	// Deadline is when the answer must have started.
	Deadline time.Time
}
