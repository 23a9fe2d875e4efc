// Package request implements the state machine of one request at one agent.
//
// The machine decides where a request is dispatched, whether it is retried and what its caller
// receives. It guarantees two things: once a non-repeatable request may have been dispatched, it is
// never given to another backend server, and "not run" is reported only if it is certain. The
// machine does no I/O and reads no clock: the time and random numbers are arguments.
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

// EventKind is the kind of an Event.
type EventKind uint8

// Events. PeerRefused and the events listed after it belong to one attempt. If that attempt is not
// the current one, the event is ignored.
const (
	// Enqueued means that the request waits for a local slot.
	Enqueued EventKind = iota + 1
	// Admitted means that the request holds a local slot.
	Admitted
	// Refused means that the local admission control refused the request.
	Refused
	// DeadlinePassed means that the answer did not start before the deadline.
	DeadlinePassed
	// CallerCancelled means that the caller cancelled the request.
	CallerCancelled
	// PeerRefused means that the peer did not run the attempt and never will.
	PeerRefused
	// PeerUnreached means that no part of the attempt was sent, or that a peer without a record of
	// the request refused this attempt.
	PeerUnreached
	// PeerAnswerLost means that the attempt was sent and no usable answer arrived.
	PeerAnswerLost
	// PeerOutcomeUnknown means that the peer answered that the outcome is unknown.
	PeerOutcomeUnknown
	// BackendUnreached means that no part of the request was sent to the backend server.
	BackendUnreached
	// BackendFailed means that the backend server may have received part of the request and gave no
	// answer.
	BackendFailed
	// AnswerStarted means that the head of the answer arrived.
	AnswerStarted
	// AnswerEnded means that the answer was forwarded completely.
	AnswerEnded
	// AnswerTruncated means that the body of the answer ended early.
	AnswerTruncated
)

// Event is the input of a Machine.
type Event struct {
	Kind EventKind
	// Attempt is the attempt that the event belongs to, if any.
	Attempt int
	// RetryAfter is the wait before the next try that a refusal suggests.
	RetryAfter time.Duration
	// Overloaded marks a refusal because of load, in contrast to draining.
	Overloaded bool
	// Shed marks an answer by which the backend server sheds load.
	Shed bool
	// BodyConsumed reports that part of the request body was consumed and cannot be sent again.
	BodyConsumed bool
	// Random is a random number in [0, 1).
	Random float64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Actions.
const (
	// None means that no action is needed.
	None ActionKind = iota
	// Admit requests a slot from the local admission control.
	Admit
	// Dispatch sends the request to the local backend server.
	Dispatch
	// Relay sends the request to a peer.
	Relay
	// ReplyNotRun tells the caller that the request was not run.
	ReplyNotRun
	// ReplyUnknown tells the caller that the outcome is unknown.
	ReplyUnknown
	// ForwardAnswer forwards the answer to the caller.
	ForwardAnswer
	// Finish means that the request is complete.
	Finish
	// Abort aborts the caller's stream, so that the caller notices a truncated answer.
	Abort
)

// Cause is the reason why a request was refused or its outcome is unknown.
type Cause string

// Causes.
const (
	CauseOverloaded  Cause = "overloaded"
	CauseUnavailable Cause = "unavailable"
	CauseDeadline    Cause = "deadline"
	CauseCancelled   Cause = "cancelled"
	CauseLost        Cause = "lost"
)

// Action is the next step that the Machine's driver must perform.
type Action struct {
	Kind ActionKind
	// Attempt numbers the attempt of a Dispatch or Relay.
	Attempt int
	// Peer is the index of the peer, for a Relay.
	Peer int
	// FreeSlotOnly marks a Relay as a slot query: the peer refuses the request at once if it would
	// have to wait there.
	FreeSlotOnly bool
	// Retry marks an attempt that follows an attempt that may have run.
	Retry bool
	// Resend marks a Relay that repeats an attempt at the same peer, which deduplicates it.
	Resend bool
	// Delay is the time to wait before an Admit, Dispatch or Relay.
	Delay time.Duration
	// Cause is the reason of a ReplyNotRun or ReplyUnknown.
	Cause Cause
	// RetryAfter is the suggested wait before the next try, for a ReplyNotRun.
	RetryAfter time.Duration
}

// Route describes where a request may be sent.
type Route struct {
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	// Local reports that the local backend server may run the request.
	Local bool
	// PeersFirst tries peers before the local backend server, because the agent is draining or its
	// backend server is an outlier.
	PeersFirst bool
	// SlotQuery asks the first peer for a free slot before the request waits in the local queue.
	SlotQuery bool
	// Draining bars the local backend server once a peer has refused the request.
	Draining bool
	// Peers is the number of peers that may be tried, in order.
	Peers int
	// PeerHoldsRecord reports that the only peer holds the record of the request's key, so that
	// only that peer can say "not run".
	PeerHoldsRecord bool
	// MaxResends bounds how often an attempt whose answer was lost is sent again to the same peer,
	// which deduplicates it.
	MaxResends int
	// Deadline is the latest time at which the answer may start.
	Deadline time.Time
}
