package adminapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/ticket"
)

// Media types of the API.
const (
	typeJSON    = "application/json"
	typeProblem = "application/problem+json"
)

// problemURN is the prefix of problem types.
const problemURN = "urn:almondledge:problem:"

// Problem is the body of every error answer (RFC 9457). It is also the error
// that Client returns; errkind.Of gives its kind.
type Problem struct {
	// Type is "urn:almondledge:problem:" followed by the kind.
	Type string `json:"type"`
	// Title is the standard text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is the error message with its cause.
	Detail string `json:"detail"`
	// Kind is the kind of package errkind.
	Kind errkind.Kind `json:"kind"`
	// Remedy says what the operator can do.
	Remedy string `json:"remedy,omitempty"`
	// Current are the stored states of the services of a ticket, for kind "conflict".
	Current []ticket.ServiceState `json:"current,omitempty"`
}

// Error returns the detail and the remedy in one line.
func (p *Problem) Error() string {
	return p.asError().Error()
}

// Unwrap returns the problem as an errkind.Error.
func (p *Problem) Unwrap() error {
	return p.asError()
}

func (p *Problem) asError() *errkind.Error {
	return errkind.New(p.Kind, p.Detail, p.Remedy)
}

// statusOf maps error kinds to HTTP statuses. Only the kind "unknown" means that
// a change may have been applied.
var statusOf = map[errkind.Kind]int{
	errkind.Invalid:         http.StatusBadRequest,
	errkind.Unauthenticated: http.StatusUnauthorized,
	errkind.NotFound:        http.StatusNotFound,
	errkind.Conflict:        http.StatusConflict,
	errkind.Stale:           http.StatusConflict,
	errkind.Overloaded:      http.StatusTooManyRequests,
	errkind.NotApplied:      http.StatusServiceUnavailable,
	errkind.Unavailable:     http.StatusServiceUnavailable,
	errkind.Unknown:         http.StatusGatewayTimeout,
	errkind.Expired:         http.StatusGatewayTimeout,
}

// problemOf returns the Problem for err. An error without a kind comes from a
// defect or an unexpected failure, so its outcome is Unknown.
func problemOf(err error) *Problem {
	problem := &Problem{Kind: errkind.Unknown, Detail: err.Error(), Status: http.StatusInternalServerError}
	var typed *errkind.Error
	if errors.As(err, &typed) {
		problem.Kind = typed.Kind
		problem.Remedy = typed.Remedy
		problem.Detail = detailOf(typed)
		if status, known := statusOf[typed.Kind]; known {
			problem.Status = status
		}
	}
	var conflict *ticket.ConflictError
	if errors.As(err, &conflict) {
		problem.Current = conflict.Current
	}
	problem.Type = problemURN + string(problem.Kind)
	problem.Title = http.StatusText(problem.Status)
	return problem
}

// detailOf returns the message and the cause of an error, without its remedy.
func detailOf(err *errkind.Error) string {
	if err.Cause == nil {
		return err.Message
	}
	return err.Message + ": " + err.Cause.Error()
}

func writeProblem(w http.ResponseWriter, err error) {
	problem := problemOf(err)
	if problem.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeBody(w, typeProblem, problem.Status, problem)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	writeBody(w, typeJSON, status, answer)
}

func writeBody(w http.ResponseWriter, mediaType string, status int, answer any) {
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
