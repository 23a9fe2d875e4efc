package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// Values of the label op of the call counter.
const (
	opRange     = "range"
	opTxn       = "txn"
	opGrant     = "lease_grant"
	opKeepAlive = "lease_keepalive"
	opRevoke    = "lease_revoke"
	opWatch     = "watch"
)

// Values of the label outcome of the call counter.
const (
	outcomeOK       = "ok"
	outcomeBudget   = "budget"     // the call got no token of the call budget in time and was not sent
	outcomeRefused  = "refused"    // no connection could be opened; the call was not sent
	outcomeRejected = "rejected"   // an HTTP status that rules out any effect
	outcomeFailed   = "failed"     // any other HTTP status
	outcomeLost     = "lost"       // no complete answer
	outcomeBad      = "bad_answer" // an invalid answer with status 200
	outcomeStale    = "stale"      // an answer from an older state or another cluster
)

// call is one encoded request to the gateway.
type call struct {
	op   string
	path string
	body []byte
}

// newCall encodes request as JSON.
func newCall(op, path string, request any) (call, error) {
	body, err := json.Marshal(request)
	return call{op: op, path: path, body: body}, err
}

// callError is the failure of one attempt of a call.
type callError struct {
	outcome string
	// status is the HTTP status, or zero if it was 200 or there was no answer.
	status int
	// code is the status code in the gateway's error message, such as
	// etcdapi.CodeOutOfRange.
	code  int
	cause error
}

// Error returns the outcome and its cause.
func (e *callError) Error() string {
	if e.status != 0 {
		return fmt.Sprintf("%s: HTTP status %d: %v", e.outcome, e.status, e.cause)
	}
	return fmt.Sprintf("%s: %v", e.outcome, e.cause)
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// hadNoEffect reports whether the call certainly did not change the store.
func (e *callError) hadNoEffect() bool {
	return e.outcome == outcomeBudget || e.outcome == outcomeRefused || e.outcome == outcomeRejected
}

// isPermanent reports whether the same read would fail again on every endpoint.
func (e *callError) isPermanent() bool {
	return e.outcome == outcomeRejected && e.status != http.StatusTooManyRequests
}

// answer is the body of an answer with HTTP status 200.
type answer struct {
	body []byte
	// minRevision is the highest revision that the client had seen before it sent
	// the call. The answer must not be older.
	minRevision int64
}

// attempt sends the call once, passes the answer to handle and counts the outcome.
func (c *Client) attempt(ctx context.Context, request call, handle func(answer) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	err := c.callOnce(ctx, request, handle)
	outcome := outcomeOK
	var failure *callError
	if errors.As(err, &failure) {
		outcome = failure.outcome
	}
	c.count(request.op, outcome)
	return err
}

func (c *Client) callOnce(ctx context.Context, request call, handle func(answer) error) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return &callError{outcome: outcomeBudget, cause: err}
	}
	minRevision := c.rollback.revision.Load()
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := readLimited(response.Body, c.cfg.MaxResponseBytes)
	if err != nil {
		return err
	}
	return handle(answer{body: body, minRevision: minRevision})
}

// send posts the call to the preferred endpoint. It tries the next one only if no
// connection could be opened. The returned response has status 200.
func (c *Client) send(ctx context.Context, request call) (*http.Response, error) {
	var last error
	for range c.cfg.Endpoints {
		base, position := c.preferredEndpoint()
		response, err := c.post(ctx, base+request.path, request.body)
		var failure *callError
		if !errors.As(err, &failure) {
			return response, nil
		}
		last = failure
		if !failure.isPermanent() {
			c.switchEndpoint(position)
		}
		if failure.outcome != outcomeRefused {
			break
		}
	}
	return nil, last
}

// post returns a response with status 200, or a callError.
func (c *Client) post(ctx context.Context, target string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, &callError{outcome: outcomeRefused, cause: err}
	}
	// The transport repeats a POST only if the connection was closed before any of
	// its bytes were written.
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &callError{outcome: transportOutcome(err), cause: err}
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, statusError(response)
}

// transportOutcome distinguishes a connection that could not be opened from a missing
// answer.
func transportOutcome(err error) string {
	var failure *net.OpError
	if errors.As(err, &failure) && failure.Op == "dial" {
		return outcomeRefused
	}
	return outcomeLost
}

// statusError returns the error for an answer with a status other than 200.
func statusError(response *http.Response) *callError {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	var status etcdapi.Status
	if json.Unmarshal(text, &status) != nil || status.Message == "" {
		status.Message = http.StatusText(response.StatusCode)
	}
	failure := &callError{
		outcome: outcomeFailed, status: response.StatusCode, code: status.Code, cause: errors.New(status.Message),
	}
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusTooManyRequests:
		failure.outcome = outcomeRejected
	}
	return failure
}

// errTooLarge is the cause of a callError for an answer that exceeds
// Config.MaxResponseBytes.
var errTooLarge = errors.New("the answer exceeds the size limit")

func readLimited(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, &callError{outcome: outcomeLost, cause: err}
	}
	if int64(len(data)) > limit {
		return nil, &callError{outcome: outcomeBad, cause: errTooLarge}
	}
	return data, nil
}

// decode decodes the JSON body into target.
func (a answer) decode(target any) error {
	if err := json.Unmarshal(a.body, target); err != nil {
		return &callError{outcome: outcomeBad, cause: err}
	}
	return nil
}

// errNoRevision is the cause of a callError for an answer whose header has no
// valid revision.
var errNoRevision = errors.New("the answer has no revision")

// checkHeader refuses an answer without a revision, and an answer from an older
// state of the store or from another cluster.
func (c *Client) checkHeader(header etcdapi.Header, minRevision int64) error {
	if header.Revision <= 0 {
		return &callError{outcome: outcomeBad, cause: errNoRevision}
	}
	if err := c.rollback.check(header, minRevision); err != nil {
		return &callError{outcome: outcomeStale, cause: err}
	}
	return nil
}

func (c *Client) count(op, outcome string) {
	name := fmt.Sprintf("almondledge_store_calls_total{op=%q,outcome=%q}", op, outcome)
	c.cfg.Metrics.GetOrCreateCounter(name).Inc()
}
