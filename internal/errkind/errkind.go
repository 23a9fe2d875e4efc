// Package errkind defines the typed errors of almondledge.
//
// Every error that leaves a package carries a Kind, so that callers can decide
// by type, and a remedy, so that an operator knows what to do next.
package errkind

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what the receiver may conclude from it.
type Kind string

// Kinds of error.
const (
	// Invalid means that input was refused and nothing was changed.
	Invalid Kind = "invalid"
	// Conflict means that a concurrent change won and nothing was changed.
	Conflict Kind = "conflict"
	// NotFound means that the object does not exist.
	NotFound Kind = "not_found"
	// NotApplied means that the operation certainly had no effect.
	NotApplied Kind = "not_applied"
	// Unknown means that the operation may or may not have taken effect.
	Unknown Kind = "unknown"
	// Overloaded means that a limit was reached before any work began.
	Overloaded Kind = "overloaded"
	// Unavailable means that a needed process or service cannot be reached.
	Unavailable Kind = "unavailable"
	// Unauthenticated means that a message failed authentication.
	Unauthenticated Kind = "unauthenticated"
	// Stale means that the input is older than what is already in force.
	Stale Kind = "stale"
	// Expired means that a deadline or a lifetime is over.
	Expired Kind = "expired"
)

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind says what the receiver may conclude.
	Kind Kind
	// Message says what went wrong.
	Message string
	// Remedy says what the operator or the caller can do.
	Remedy string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of kind k with a message and a remedy.
func New(k Kind, message, remedy string) *Error {
	return &Error{Kind: k, Message: message, Remedy: remedy}
}

// Wrap returns an error of kind k that keeps cause for errors.Is and errors.As.
func Wrap(cause error, k Kind, message, remedy string) *Error {
	return &Error{Kind: k, Message: message, Remedy: remedy, Cause: cause}
}

// Error returns message, cause and remedy in one line.
func (e *Error) Error() string {
	text := e.Message
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	if e.Remedy != "" {
		text = fmt.Sprintf("%s (remedy: %s)", text, e.Remedy)
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Of returns the kind of err, or the empty kind when err carries none.
func Of(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	return Of(err) == k
}
