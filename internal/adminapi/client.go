package adminapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/ticket"
)

// Limits of the client.
const (
	maxAnswerBytes  = 64 << 20
	readAttempts    = 3
	firstRetryDelay = 100 * time.Millisecond
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Endpoints are the base URLs of administration addresses, tried in order.
	Endpoints []string
	// Token is the bearer token. If it is empty, the certificate in TLS must
	// authenticate the client.
	Token string
	// TLS is required for https endpoints.
	TLS *tls.Config
	// Timeout bounds one call with all its attempts.
	Timeout time.Duration
}

// Client calls the administration API. Reads are retried on the next endpoint. A
// change is sent once, to the first endpoint that accepts a connection. All errors
// have a kind of package errkind; if a change was sent but not answered, the kind
// is Unknown.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	transport := &http.Transport{TLSClientConfig: options.TLS, ForceAttemptHTTP2: true}
	return &Client{options: options, http: &http.Client{
		Transport: transport,
		// A redirect would send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// State returns the state of one process, and with spread also which processes
// have applied its configuration.
func (c *Client) State(ctx context.Context, spread bool) (State, error) {
	path := PathState
	if spread {
		path += "?spread"
	}
	return read[State](ctx, c, path)
}

// Services returns the services with an ID above after.
func (c *Client) Services(ctx context.Context, after service.ID) (ServiceList, error) {
	return read[ServiceList](ctx, c, PathServices+"?after="+strconv.Itoa(int(after)))
}

// Presence returns the members that one process knows.
func (c *Client) Presence(ctx context.Context) (Presence, error) {
	return read[Presence](ctx, c, PathPresence)
}

// Ticket returns the audit record of a ticket; reference is its number or ID.
func (c *Client) Ticket(ctx context.Context, reference string) (ticket.Record, error) {
	return read[ticket.Record](ctx, c, PathTickets+"/"+url.PathEscape(reference))
}

// TicketStatus returns which processes have applied a ticket.
func (c *Client) TicketStatus(ctx context.Context, reference string) (TicketStatus, error) {
	return read[TicketStatus](ctx, c, PathTickets+"/"+url.PathEscape(reference)+"/status")
}

// History returns up to count audit records in descending order, starting at
// ticket number from. Zero starts at the last ticket.
func (c *Client) History(ctx context.Context, from int64, count int) (History, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "count": {strconv.Itoa(count)}}
	return read[History](ctx, c, PathHistory+"?"+query.Encode())
}

// Submit submits a ticket, or previews its changes if DryRun is set.
func (c *Client) Submit(ctx context.Context, request TicketRequest) (TicketResult, error) {
	return change[TicketResult](ctx, c, PathTickets, request)
}

// Drain drains a backend server or ends its drain.
func (c *Client) Drain(ctx context.Context, request DrainRequest) (DrainResult, error) {
	return change[DrainResult](ctx, c, PathDrain, request)
}

// read sends a GET to one endpoint after another until one answers.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	next := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		endpoint := c.options.Endpoints[next%len(c.options.Endpoints)]
		next++
		err := c.call(ctx, http.MethodGet, endpoint+path, nil, &answer)
		if err != nil && !isRetryable(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delays), backoff.WithMaxTries(uint(readAttempts*len(c.options.Endpoints))))
	return answer, err
}

// isRetryable reports whether a read may succeed on another endpoint or later.
func isRetryable(err error) bool {
	switch errkind.Of(err) {
	case errkind.Unavailable, errkind.Overloaded, errkind.NotApplied:
		return true
	default:
		return false
	}
}

// change sends a POST to the first endpoint that accepts a connection.
func change[T any](ctx context.Context, c *Client, path string, request any) (T, error) {
	var answer T
	body, err := json.Marshal(request)
	if err != nil {
		return answer, errkind.Wrap(err, errkind.Invalid, "the request cannot be encoded", "correct the request")
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	for _, endpoint := range c.options.Endpoints {
		err = c.call(ctx, http.MethodPost, endpoint+path, body, &answer)
		if !isDialError(err) {
			break
		}
	}
	return answer, err
}

// isDialError reports whether no connection could be opened, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "invalid URL "+target, "correct the endpoints in the settings")
	}
	if body != nil {
		request.Header.Set("Content-Type", typeJSON)
	}
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return transportError(method, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return problemError(response, raw)
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return transportError(method, err)
	}
	return nil
}

// transportError returns the error for a call without a usable answer. A change
// that was sent may have been applied.
func transportError(method string, err error) error {
	switch {
	case isDialError(err):
		return errkind.Wrap(err, errkind.Unavailable, "no connection to the administration address", "check the endpoints and that the balancer runs")
	case method == http.MethodGet:
		return errkind.Wrap(err, errkind.Unavailable, "no answer from the administration address", "try again")
	default:
		return errkind.Wrap(err, errkind.Unknown, "the change may or may not have been applied",
			"run ticket show with the ID, or submit the same ticket again, which is safe")
	}
}

// problemError returns the Problem in an error answer.
func problemError(response *http.Response, raw []byte) error {
	problem := &Problem{}
	isProblem := strings.HasPrefix(response.Header.Get("Content-Type"), typeProblem)
	if !isProblem || json.Unmarshal(raw, problem) != nil || problem.Kind == "" {
		return errkind.New(errkind.Unknown, "unexpected answer "+response.Status, "check that the endpoint is an administration address")
	}
	return problem
}
