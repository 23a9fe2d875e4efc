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

// Operations, as the call counter names them.
const (
	opRange     = "range"
	opTxn       = "txn"
	opGrant     = "lease_grant"
	opKeepAlive = "lease_keepalive"
	opRevoke    = "lease_revoke"
	opWatch     = "watch"
)

// Outcomes, as the call counter names them.
const (
	outcomeOK       = "ok"
	outcomeBudget   = "budget"
	outcomeRefused  = "refused"
	outcomeRejected = "rejected"
	outcomeFailed   = "failed"
	outcomeLost     = "lost"
	outcomeBad      = "bad_answer"
	outcomeStale    = "stale"
)

// call is one request to the gateway.
type call struct {
	op   string
	path string
	body []byte
}

// newCall encodes a request.
func newCall(op, path string, request any) (call, error) {
	body, err := json.Marshal(request)
	return call{op: op, path: path, body: body}, err
}

// callError is why one attempt of a call failed.
type callError struct {
	outcome string
	// status is the HTTP status, or zero when no answer came.
	status int
	// code is the status code of the gateway.
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

// hadNoEffect reports whether the call certainly did not reach the store's state.
func (e *callError) hadNoEffect() bool {
	return e.outcome == outcomeBudget || e.outcome == outcomeRefused || e.outcome == outcomeRejected
}

// isPermanent reports whether the same read would fail again on any endpoint.
func (e *callError) isPermanent() bool {
	return e.outcome == outcomeRejected && e.status != http.StatusTooManyRequests
}

// answer is the body of an answer with status 200.
type answer struct {
	body []byte
	// floor is the revision that had been seen before the call was sent.
	floor int64
}

// attempt sends the call once and hands the answer to accept.
func (c *Client) attempt(ctx context.Context, request call, accept func(answer) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	err := c.try(ctx, request, accept)
	outcome := outcomeOK
	var failure *callError
	if errors.As(err, &failure) {
		outcome = failure.outcome
	}
	c.count(request.op, outcome)
	return err
}

func (c *Client) try(ctx context.Context, request call, accept func(answer) error) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return &callError{outcome: outcomeBudget, cause: err}
	}
	floor := c.history.revision.Load()
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := readBounded(response.Body, c.cfg.MaxResponseBytes)
	if err != nil {
		return err
	}
	return accept(answer{body: body, floor: floor})
}

// send posts the call to the preferred endpoint, and to the next one as long as
// connections are refused. The answer has status 200.
func (c *Client) send(ctx context.Context, request call) (*http.Response, error) {
	var last error
	for range c.cfg.Endpoints {
		base, position := c.endpoint()
		response, err := c.post(ctx, base+request.path, request.body)
		var failure *callError
		if !errors.As(err, &failure) {
			return response, nil
		}
		last = failure
		if !failure.isPermanent() {
			c.avoid(position)
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
	// The transport sends a POST a second time only if its connection closed
	// before anything of it was written.
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &callError{outcome: sendOutcome(err), cause: err}
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, statusError(response)
}

// sendOutcome tells a connection that was never made from an answer that never came.
func sendOutcome(err error) string {
	var failure *net.OpError
	if errors.As(err, &failure) && failure.Op == "dial" {
		return outcomeRefused
	}
	return outcomeLost
}

// statusError describes an answer other than 200.
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

// errTooLarge is the cause of a callError for an answer beyond the bound.
var errTooLarge = errors.New("the answer is larger than the bound")

func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, &callError{outcome: outcomeLost, cause: err}
	}
	if int64(len(data)) > limit {
		return nil, &callError{outcome: outcomeBad, cause: errTooLarge}
	}
	return data, nil
}

// decode reads the answer into target.
func (a answer) decode(target any) error {
	if err := json.Unmarshal(a.body, target); err != nil {
		return &callError{outcome: outcomeBad, cause: err}
	}
	return nil
}

// errNoRevision is the cause of a callError for an answer that no store sends.
var errNoRevision = errors.New("the answer names no revision")

// accept checks the header of an answer against the history.
func (c *Client) accept(header etcdapi.Header, floor int64) error {
	if header.Revision <= 0 {
		return &callError{outcome: outcomeBad, cause: errNoRevision}
	}
	if err := c.history.check(header, floor); err != nil {
		return &callError{outcome: outcomeStale, cause: err}
	}
	return nil
}

func (c *Client) count(op, outcome string) {
	name := fmt.Sprintf("almondledge_store_calls_total{op=%q,outcome=%q}", op, outcome)
	c.cfg.Metrics.GetOrCreateCounter(name).Inc()
}
