package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

// problem is a Problem Details body (RFC 9457) with extension members of this system.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is the outcome of the request.
	Outcome Outcome `json:"outcome"`
	// NotRun is true only if the request was not run and never will be. It repeats Outcome as a
	// flag.
	NotRun bool `json:"notRun"`
	// RetryAfterMillis is the suggested wait before the next try, in milliseconds.
	RetryAfterMillis int64 `json:"retryAfterMs,omitempty"`
	// OriginalStatus is the status of an answer that cannot be replayed.
	OriginalStatus int `json:"originalStatus,omitempty"`

	retryAfter time.Duration
	overloaded bool
}

// typePrefix is the prefix of the problem types.
const typePrefix = "urn:almondledge:problem:"

func newProblem(name string, status int, outcome Outcome, title, detail string) problem {
	return problem{
		Type:    typePrefix + name,
		Title:   title,
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
		NotRun:  outcome == OutcomeNotRun,
	}
}

// after returns p with a suggested wait before the next try.
func (p problem) after(wait time.Duration) problem {
	p.retryAfter = wait
	p.RetryAfterMillis = wait.Milliseconds()
	return p
}

// write sends p. Other header fields that are already set are kept.
func (p problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(OutcomeField, string(p.Outcome))
	if p.retryAfter > 0 {
		h.Set(retryAfterField, formatRetryAfter(p.retryAfter))
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	w.WriteHeader(p.Status)
	// The write fails if the caller has disconnected; there is nothing else to do then.
	_, _ = w.Write(body)
}
