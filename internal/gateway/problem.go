package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

// problem is a Problem Details body (RFC 9457) with the members of this system.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome says what became of the request.
	Outcome Outcome `json:"outcome"`
	// NotRun repeats the outcome as a flag: true only when the request certainly
	// was not run and will not be.
	NotRun bool `json:"notRun"`
	// RetryAfterMillis is the suggested wait before the next try, in milliseconds.
	RetryAfterMillis int64 `json:"retryAfterMs,omitempty"`
	// OriginalStatus is the status of the answer that can't be replayed.
	OriginalStatus int `json:"originalStatus,omitempty"`

	retryAfter time.Duration
	overloaded bool
}

// typePrefix precedes the names of problem types.
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

// after returns p with a suggested wait.
func (p problem) after(wait time.Duration) problem {
	p.retryAfter = wait
	p.RetryAfterMillis = wait.Milliseconds()
	return p
}

// write sends p. Fields that the handler has set already are kept.
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
	// A failed write means that the caller is gone; there is no one left to tell.
	_, _ = w.Write(body)
}
