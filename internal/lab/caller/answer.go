package caller

import (
	"errors"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Verdict says what a request came to, from the caller's view.
type Verdict string

// Verdicts.
const (
	// Answered means that the whole, own answer came.
	Answered Verdict = "answered"
	// NotSent means that no connection could be opened; the request never left the caller.
	NotSent Verdict = "not-sent"
	// NotRun means that the system said that the request was not run.
	NotRun Verdict = "not-run"
	// KeyNeeded means that the request was not run since it carried no key.
	KeyNeeded Verdict = "key-needed"
	// InProgress means that a request with the same key is running.
	InProgress Verdict = "in-progress"
	// Unknown means that the system said that the outcome is unknown.
	Unknown Verdict = "unknown"
	// Cut means that the request or its answer broke off.
	Cut Verdict = "cut"
	// TimedOut means that the caller gave up waiting.
	TimedOut Verdict = "timed-out"
	// Failed means that an answer came that is no success and says nothing else.
	Failed Verdict = "failed"
	// Wrong means that the answer was not the caller's own or not what was asked for.
	Wrong Verdict = "wrong"
)

// Verdicts lists all verdicts in the order of reports.
var Verdicts = []Verdict{
	Answered, NotSent, NotRun, KeyNeeded, InProgress, Unknown, Cut, TimedOut, Failed, Wrong,
}

// Answer is the outcome of one request.
type Answer struct {
	// Verdict says what the request came to.
	Verdict Verdict
	// Status is the HTTP status, or zero without an answer.
	Status int
	// Bytes is the size of the answer's body as far as it came.
	Bytes int64
	// Server is the backend server that answered, if known.
	Server string
	// Agent is the agent that answered, if known.
	Agent string
	// Key is an idempotency key for a later request, if the answer gave one.
	Key string
	// RetryAfter is when the system suggests to come back, or zero.
	RetryAfter time.Duration
	// Err is the reason of a verdict other than Answered, if there is one.
	Err error
}

// notSentError is the error of a request that never left the caller.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "request not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// isNotSent reports whether a request was certainly not processed, so that it
// may go out on another connection: the HTTP/3 client had no stream for it, or
// the server rejected it, as it does with requests that cross with its GOAWAY
// (RFC 9114, sections 4.1.1 and 5.2). The client's own type for the former is
// not exported; its text is all there is.
func isNotSent(err error) bool {
	if strings.HasPrefix(err.Error(), "http3: conn unusable") {
		return true
	}
	if rejected, ok := errors.AsType[*http3.Error](err); ok {
		return rejected.ErrorCode == http3.ErrCodeRequestRejected
	}
	if reset, ok := errors.AsType[*quic.StreamError](err); ok {
		return reset.ErrorCode == quic.StreamErrorCode(http3.ErrCodeRequestRejected)
	}
	return false
}
