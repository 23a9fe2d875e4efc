package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/request"
)

// copyBufferSize is the size of the buffer for forwarding a body, in bytes.
const copyBufferSize = 32 << 10

// answer is the answer of one attempt whose head has arrived.
type answer struct {
	response *http.Response
	body     *attemptBody
	// kept is the part of the body that was forwarded so far. The record of the request stores it.
	kept []byte
	// overflow reports that the body is too large to keep.
	overflow bool
}

// dropAnswer closes the answer of the current attempt, if any.
func (x *exchange) dropAnswer() {
	if x.answer == nil {
		return
	}
	x.answer.response.Body.Close()
	x.body.closeAttempt(x.answer.body)
	x.answer = nil
}

// forwardAnswer sends the answer to the caller.
func (x *exchange) forwardAnswer(a request.Action) request.Event {
	x.writeHead()
	event := x.copyBody()
	event.Attempt = a.Attempt
	switch event.Kind {
	case request.AnswerEnded:
		x.recordAnswer(x.recordedOutcome(true))
		x.copyTrailers()
	case request.AnswerTruncated:
		x.g.counters.truncatedAnswers.Inc()
	}
	return event
}

// writeHead sends the status and the header fields of the answer. If another agent holds the key's
// record, the answer carries the outcome that this agent reported.
func (x *exchange) writeHead() {
	response := x.answer.response
	h := x.w.Header()
	for name, values := range endToEnd(response.Header) {
		if name != KeyField {
			h[name] = values
		}
	}
	outcome := OutcomeRun
	if from := Outcome(response.Header.Get(OutcomeField)); x.forwarded && from != "" {
		outcome = from
	}
	h.Set(OutcomeField, string(outcome))
	for name := range response.Trailer {
		h.Add("Trailer", name)
	}
	x.addFreshKey()
	x.g.counters.outcomes[outcome].Inc()
	x.w.WriteHeader(response.StatusCode)
}

// copyBody forwards the body. An answer of unknown length may be a stream of events, so it is
// flushed after every read.
func (x *exchange) copyBody() request.Event {
	response := x.answer.response
	flush := response.ContentLength < 0
	control := http.NewResponseController(x.w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			x.answer.keep(buffer[:n])
			if _, werr := x.w.Write(buffer[:n]); werr != nil {
				return request.Event{Kind: request.CallerCancelled}
			}
			if flush && control.Flush() != nil {
				return request.Event{Kind: request.CallerCancelled}
			}
		}
		if err == io.EOF {
			return request.Event{Kind: request.AnswerEnded}
		}
		if err != nil {
			return request.Event{Kind: request.AnswerTruncated}
		}
	}
}

func (x *exchange) copyTrailers() {
	for name, values := range x.answer.response.Trailer {
		x.w.Header()[name] = values
	}
}

// keep appends to the kept body, up to the size that may be replayed.
func (a *answer) keep(piece []byte) {
	if a.overflow || len(a.kept)+len(piece) > idempotency.MaxAnswerSize {
		a.overflow = true
		a.kept = nil
		return
	}
	a.kept = append(a.kept, piece...)
}

// recordedOutcome returns the part of the answer that the record of the request keeps.
func (x *exchange) recordedOutcome(ended bool) idempotency.Outcome {
	header := endToEnd(x.answer.response.Header)
	header.Del(KeyField)
	return idempotency.Outcome{
		Status: x.answer.response.StatusCode,
		Header: header,
		Body:   x.answer.kept,
		Whole:  ended && !x.answer.overflow,
	}
}

// abort resets the caller's stream, so that the caller notices that the answer is truncated.
func (x *exchange) abort() {
	if x.answer != nil {
		x.recordAnswer(x.recordedOutcome(false))
	}
	panic(http.ErrAbortHandler)
}

// replay sends the recorded answer of an earlier request with the same key.
func (x *exchange) replay(o idempotency.Outcome) {
	if !o.Whole {
		p := newProblem("answer-not-kept", http.StatusConflict, OutcomeRun, "The request ran before",
			"its answer was not kept; read the result from the service")
		p.OriginalStatus = o.Status
		x.writeProblem(p)
		return
	}
	h := x.w.Header()
	for name, values := range o.Header {
		h[name] = values
	}
	h.Set(OutcomeField, string(OutcomeRun))
	h.Set("Content-Length", strconv.Itoa(len(o.Body)))
	x.addFreshKey()
	x.g.counters.outcomes[OutcomeRun].Inc()
	x.w.WriteHeader(o.Status)
	// The write fails if the caller has disconnected. The record stays.
	_, _ = x.w.Write(o.Body)
}
