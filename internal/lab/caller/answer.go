package caller

import (
	"errors"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Verdict is the outcome of a request as the caller sees it.
type Verdict string

// Verdicts.
const (
	// Answered means that the complete answer to this request arrived.
	Answered Verdict = "answered"
	// NotSent means that the request certainly was not processed: no connection could be
	// opened, or no connection accepted the request.
	NotSent Verdict = "not-sent"
	// NotRun means that the response reports that the request was not run.
	NotRun Verdict = "not-run"
	// KeyNeeded means that the request was not run because it carried no idempotency key.
	KeyNeeded Verdict = "key-needed"
	// InProgress means that a request with the same idempotency key is still running.
	InProgress Verdict = "in-progress"
	// Unknown means that the response reports an unknown outcome.
	Unknown Verdict = "unknown"
	// Cut means that the request or its answer was interrupted.
	Cut Verdict = "cut"
	// TimedOut means that the context ended before the answer was complete.
	TimedOut Verdict = "timed-out"
	// Failed means that the response was unsuccessful and reported none of the outcomes
	// above.
	Failed Verdict = "failed"
	// Wrong means that the answer belongs to another request or has the wrong content.
	Wrong Verdict = "wrong"
)

// Verdicts lists all verdicts in the order in which reports show them.
var Verdicts = []Verdict{
	Answered, NotSent, NotRun, KeyNeeded, InProgress, Unknown, Cut, TimedOut, Failed, Wrong,
}

// Answer is the outcome of one request.
type Answer struct {
	// Verdict classifies the outcome.
	Verdict Verdict
	// Status is the HTTP status, or zero without a response.
	Status int
	// Bytes is the number of body bytes received.
	Bytes int64
	// Server is the backend server that answered, if known.
	Server string
	// Agent is the agent that answered, if known.
	Agent string
	// Key is an idempotency key for a later request, if the response carried one.
	Key string
	// RetryAfter is the delay from the Retry-After header, or zero.
	RetryAfter time.Duration
	// Err is the reason for a verdict other than Answered, if known.
	Err error
}

// notSentError is the error of a request that certainly was not processed.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return "request not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// isNotSent reports whether the server certainly did not process a request, so that the
// request may be sent on another connection. Either the HTTP/3 client could not open a
// stream for the request, or the server rejected the request, as servers do with requests
// that arrive after GOAWAY (RFC 9114, sections 4.1.1 and 5.2). quic-go does not export the
// error type of the first case, so the error is recognised by its text.
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
