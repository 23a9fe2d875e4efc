// Package errkind defines the typed errors of almondledge.
//
// Every error that a package returns to others has a Kind, by which code decides
// how to handle it, and a remedy, which says what the operator can do.
package errkind

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what its receiver may conclude from it.
type Kind string

// Kinds of error.
const (
	// Invalid means that input was refused and nothing was changed.
	Invalid Kind = "invalid"
	// Conflict means that the input conflicts with the current state and nothing was
	// changed.
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
	// Stale means that the input is older than the state that is already applied.
	Stale Kind = "stale"
	// Expired means that a deadline has passed or a lifetime has ended.
	Expired Kind = "expired"
)

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind classifies the error.
	Kind Kind
	// Message says what failed.
	Message string
	// Remedy says what the operator or the caller can do.
	Remedy string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of kind k without a cause.
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

// Of returns the kind of the first Error in the chain of err, or the empty kind if
// the chain has none.
func Of(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return ""
}

// Is reports whether Of(err) is k.
func Is(err error, k Kind) bool {
	return Of(err) == k
}
