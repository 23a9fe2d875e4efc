package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/standin/backend"
)

// Header fields that balancers and agents read or set.
const (
	outcomeField = "Almondledge-Outcome"
	agentField   = "Almondledge-Agent"
	keyField     = "Idempotency-Key"
)

const (
	readSize = 32 << 10
	// maxSmallBody bounds the size in bytes of bodies that are read into memory.
	maxSmallBody = 1 << 20
)

// errWrong marks an answer that does not match the request.
var errWrong = errors.New("answer does not match the request")

// request describes a request and the check of its answer.
type request struct {
	id     string
	method string
	path   string
	query  url.Values
	key    string
	body   []byte
	// check reads the body of a successful answer. Its error wraps errWrong if the
	// body is wrong; any other error means that the body was interrupted.
	check func(resp *http.Response, body io.Reader) error
}

// Sheet downloads a sheet of size bytes. The backend server takes the time work to answer.
func (f *Flow) Sheet(ctx context.Context, id string, size int64, work time.Duration) Answer {
	return f.do(ctx, request{
		id:     id,
		method: http.MethodGet,
		path:   "/sheet",
		query:  url.Values{"id": {id}, "bytes": {strconv.FormatInt(size, 10)}, "millis": {millis(work)}},
		check: func(_ *http.Response, body io.Reader) error {
			return compareBodies(body, backend.NewContent(id, size))
		},
	})
}

// Upload sends a sheet of size bytes and verifies the checksum in the answer.
func (f *Flow) Upload(ctx context.Context, id string, size int64) Answer {
	content, err := io.ReadAll(backend.NewContent(id, size))
	if err != nil {
		return Answer{Verdict: Failed, Err: err}
	}
	return f.do(ctx, request{
		id:     id,
		method: http.MethodPut,
		path:   "/upload",
		query:  url.Values{},
		body:   content,
		check: func(_ *http.Response, body io.Reader) error {
			var got backend.UploadAnswer
			if err := readJSON(body, &got); err != nil {
				return err
			}
			sum := sha256.Sum256(content)
			if got.Bytes != size || got.SHA256 != hex.EncodeToString(sum[:]) {
				return fmt.Errorf("%w: uploaded %d bytes, the server received %d or other content", errWrong, size, got.Bytes)
			}
			return nil
		},
	})
}

// Book sends a booking, which is not idempotent, with an idempotency key unless
// key is empty. A repeat must use the same booking, work and key.
func (f *Flow) Book(ctx context.Context, booking, key string, work time.Duration) Answer {
	return f.do(ctx, request{
		id:     booking,
		method: http.MethodPost,
		path:   "/book",
		query:  url.Values{"booking": {booking}, "millis": {millis(work)}},
		key:    key,
		body:   []byte(`{"seats":2}`),
		check: func(_ *http.Response, body io.Reader) error {
			var got backend.BookingAnswer
			if err := readJSON(body, &got); err != nil {
				return err
			}
			if got.Booking != booking {
				return fmt.Errorf("%w: booking %q received the answer to %q", errWrong, booking, got.Booking)
			}
			return nil
		},
	})
}

// Feed reads a feed that sends the given number of lines, one per interval.
func (f *Flow) Feed(ctx context.Context, id string, lines int, interval time.Duration) Answer {
	return f.do(ctx, request{
		id:     id,
		method: http.MethodGet,
		path:   "/feed",
		query:  url.Values{"id": {id}, "lines": {strconv.Itoa(lines)}, "interval": {millis(interval)}},
		check: func(_ *http.Response, body io.Reader) error {
			var want strings.Builder
			for i := range lines {
				fmt.Fprintf(&want, "%s %d\n", id, i)
			}
			want.WriteString("end\n")
			return compareBodies(body, strings.NewReader(want.String()))
		},
	})
}

// do sends a request, reads its answer to the end, and classifies the outcome.
func (f *Flow) do(ctx context.Context, r request) Answer {
	resp, c, err := f.roundTrip(ctx, func() (*http.Request, error) { return f.newRequest(ctx, r) })
	if err != nil {
		return Answer{Verdict: errorVerdict(ctx, err), Agent: c.lastAgent(), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{
		Status:     resp.StatusCode,
		Server:     resp.Header.Get(backend.ServerField),
		Agent:      resp.Header.Get(agentField),
		Key:        resp.Header.Get(keyField),
		RetryAfter: retryAfter(resp.Header),
	}
	if a.Agent == "" {
		// If the answer names no agent, its backend server is recorded instead.
		a.Agent = a.Server
	}
	defer c.finish(a.Agent)
	body := &countingReader{r: resp.Body}
	a.Verdict, a.Err = checkResponse(ctx, r, resp, body)
	a.Bytes = body.n
	return a
}

func (f *Flow) newRequest(ctx context.Context, r request) (*http.Request, error) {
	target := url.URL{Scheme: "https", Host: f.cfg.ServerName, Path: r.path, RawQuery: r.query.Encode()}
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(backend.RequestField, r.id)
	if r.key != "" {
		req.Header.Set(keyField, r.key)
	}
	return req, nil
}

// checkResponse reads a response and returns its verdict.
func checkResponse(ctx context.Context, r request, resp *http.Response, body io.Reader) (Verdict, error) {
	if resp.StatusCode/100 == 2 {
		if got := resp.Header.Get(backend.RequestField); got != r.id {
			return Wrong, fmt.Errorf("%w: request %q received the answer to %q", errWrong, r.id, got)
		}
		err := r.check(resp, body)
		switch {
		case err == nil:
			return Answered, nil
		case errors.Is(err, errWrong):
			return Wrong, err
		default:
			return errorVerdict(ctx, err), err
		}
	}
	text, err := io.ReadAll(io.LimitReader(body, maxSmallBody))
	if err != nil {
		return errorVerdict(ctx, err), err
	}
	err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text[:min(len(text), 300)]))
	return refusalVerdict(resp), err
}

// refusalVerdict returns the verdict of an unsuccessful response.
func refusalVerdict(resp *http.Response) Verdict {
	if resp.StatusCode == http.StatusPreconditionRequired {
		return KeyNeeded
	}
	switch resp.Header.Get(outcomeField) {
	case "not-run":
		return NotRun
	case "unknown":
		return Unknown
	case "in-progress":
		return InProgress
	default:
		return Failed
	}
}

// errorVerdict returns the verdict of a request without a complete answer.
func errorVerdict(ctx context.Context, err error) Verdict {
	if _, ok := errors.AsType[*notSentError](err); ok {
		return NotSent
	}
	if ctx.Err() != nil {
		return TimedOut
	}
	return Cut
}

// compareBodies reads got to its end and compares it with want. If the bodies differ, its
// error wraps errWrong.
func compareBodies(got, want io.Reader) error {
	gotBuf, wantBuf := make([]byte, readSize), make([]byte, readSize)
	for {
		n, err := got.Read(gotBuf)
		if _, wantErr := io.ReadFull(want, wantBuf[:n]); wantErr != nil && n > 0 {
			return fmt.Errorf("%w: body is too long", errWrong)
		}
		if !bytes.Equal(gotBuf[:n], wantBuf[:n]) {
			return fmt.Errorf("%w: body has other content", errWrong)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if n, _ := want.Read(wantBuf); n > 0 {
		return fmt.Errorf("%w: body ends early without an error", errWrong)
	}
	return nil
}

func readJSON(body io.Reader, v any) error {
	text, err := io.ReadAll(io.LimitReader(body, maxSmallBody))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	return nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// countingReader counts the bytes read.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
