package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/service"
)

// roundTripFunc is a function as an http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

var errConnectionLost = errors.New("connection lost")

// dropAnswers forwards all requests. It drops the first n answers, and does not count or drop those
// that report a missing epoch.
func dropAnswers(next http.RoundTripper, n int64) http.RoundTripper {
	var seen atomic.Int64
	return roundTripFunc(func(r *http.Request) (*http.Response, error) {
		response, err := next.RoundTrip(r)
		if err != nil || response.Header.Get(relayEpochMissingField) != "" || seen.Add(1) > n {
			return response, err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return nil, errConnectionLost
	})
}

// refuseDial fails like a connection that is refused.
var refuseDial = roundTripFunc(func(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
})

// failWithoutAnswer fails after the request was sent.
var failWithoutAnswer = roundTripFunc(func(*http.Request) (*http.Response, error) { return nil, errConnectionLost })

func TestBackendFailures(t *testing.T) {
	cases := []struct {
		name     string
		dispatch http.RoundTripper
		method   string
		status   int
		outcome  Outcome
		repeat   Outcome // the outcome of the same key afterwards
	}{
		{"refused, non-repeatable", refuseDial, "POST", 503, OutcomeNotRun, OutcomeNotRun},
		{"refused, repeatable", refuseDial, "GET", 503, OutcomeNotRun, ""},
		{"lost, non-repeatable", failWithoutAnswer, "POST", 502, OutcomeUnknown, OutcomeUnknown},
		{"lost, repeatable", failWithoutAnswer, "GET", 502, OutcomeUnknown, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, nil)
			a := f.add(echo, func(cfg *Config) { cfg.Dispatch = c.dispatch })
			key := a.freshKey(f.spec.ID)
			got := f.send(a, c.method, "/orders", key, nil)
			is.Equal(got.status, c.status)
			is.Equal(got.outcome, c.outcome)
			is.True((got.header.Get(retryAfterField) != "") == (c.outcome == OutcomeNotRun))
			if c.repeat != "" {
				is.Equal(f.send(a, c.method, "/orders", key, nil).outcome, c.repeat)
			}
		})
	}
}

// TestRepeatableFailsOver checks that a repeatable request whose backend server fails without an
// answer is answered by a peer, and that a non-repeatable one is not sent again.
func TestRepeatableFailsOver(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	a := f.add(echo, func(cfg *Config) { cfg.Dispatch = failWithoutAnswer })
	b := f.add(echo, nil)
	is.Equal(f.send(a, "GET", "/sheet", "", nil).body, "GET /sheet")
	got := f.send(a, "POST", "/orders", a.freshKey(f.spec.ID), []byte("x"))
	is.Equal(got.outcome, OutcomeUnknown)
	is.Equal(b.runs.Load(), int64(1))
}

// TestShedRequestIsRetriedAtAPeer checks that a repeatable request that the backend server sheds is
// answered by a peer, and that the answer to a non-repeatable one is forwarded.
func TestShedRequestIsRetriedAtAPeer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	a := f.add(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}), nil)
	b := f.add(echo, nil)
	is.Equal(f.send(a, "GET", "/sheet", "", nil).body, "GET /sheet")
	is.Equal(f.send(a, "POST", "/orders", a.freshKey(f.spec.ID), nil).status, 503)
	is.Equal(a.runs.Load(), int64(2))
	is.Equal(b.runs.Load(), int64(1))
}

// TestLostRelayAnswers checks that after a lost answer the request is resent to the granter or
// executor and still runs once. If all answers are lost, the outcome is unknown.
func TestLostRelayAnswers(t *testing.T) {
	for _, lost := range []int64{1, 10} {
		t.Run(strconv.FormatInt(lost, 10), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, nil)
			dropFirst := func(cfg *Config) { cfg.Relay = dropAnswers(cfg.Relay, lost) }
			a, b := f.add(echo, dropFirst), f.add(echo, dropFirst)
			want := map[bool]Outcome{true: OutcomeRun, false: OutcomeUnknown}[lost == 1]

			forwarded := f.send(a, "POST", "/orders", b.freshKey(f.spec.ID), []byte("x"))
			is.Equal(forwarded.outcome, want)
			is.Equal(a.runs.Load()+b.runs.Load(), int64(1))

			b.Drain()
			key := b.freshKey(f.spec.ID)
			granted := f.send(b, "POST", "/orders", key, []byte("y"))
			is.Equal(granted.outcome, want)
			is.Equal(a.runs.Load()+b.runs.Load(), int64(2))
			is.Equal(f.send(b, "POST", "/orders", key, []byte("y")).outcome, want)
			is.Equal(a.runs.Load()+b.runs.Load(), int64(2))
		})
	}
}

// TestKeyOfUnreachableGranter checks that a request has an unknown outcome and is not run if the
// granter of its key cannot be reached, or if an earlier incarnation issued the key.
func TestKeyOfUnreachableGranter(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	a, b := f.add(echo, nil), f.add(echo, nil)
	key := b.freshKey(f.spec.ID)
	b.relay.Close()
	is.Equal(f.send(a, "POST", "/orders", key, nil).outcome, OutcomeUnknown)
	is.Equal(a.runs.Load(), int64(0))

	ring, err := idempotency.NewKeyring(1, map[uint8][]byte{1: make([]byte, 16)})
	is.NoErr(err)
	earlier := idempotency.NewIssuer(a.member.Addr, 1, idempotency.NoncePrefix{9})
	is.Equal(f.send(a, "POST", "/orders", earlier.Issue(time.Now(), ring, f.spec.ID), nil).outcome, OutcomeUnknown)
	is.Equal(f.send(a, "POST", "/orders", earlier.Issue(time.Now(), ring, 9), nil).status, 422)
	is.Equal(a.runs.Load(), int64(0))
}

// TestTruncatedAnswerIsAnError checks that a caller notices a truncated answer with a length, with
// chunks, and through a relay.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	cut := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "1000000")
		}
		_, _ = w.Write(make([]byte, 100_000))
		panic(http.ErrAbortHandler)
	})
	is := is.New(t)
	f := newFleet(t, nil)
	a := f.add(cut, nil)
	f.add(cut, nil)
	for _, path := range []string{"/length", "/chunks"} {
		is.True(f.send(a, "GET", path, "", nil).err != nil)
	}
	a.Drain()
	for _, path := range []string{"/length", "/chunks"} {
		is.True(f.send(a, "GET", path, "", nil).err != nil)
	}
	key := a.freshKey(f.spec.ID)
	is.True(f.send(a, "POST", "/chunks", key, nil).err != nil)
	again := f.send(a, "POST", "/chunks", key, nil)
	is.NoErr(again.err)
	is.Equal(again.status, 409)
	is.Equal(again.outcome, OutcomeRun) // the request ran, but its answer was not kept
}

// TestLargeBodiesStream sends 50 MB each way through a relay. Each piece is sent only after the
// preceding piece has returned, so the test hangs if a component on the path buffers a whole body.
func TestLargeBodiesStream(t *testing.T) {
	const (
		piece  = 1<<20 + 7 // a piece is not a multiple of the buffer size
		pieces = 50
	)
	is := is.New(t)
	f := newFleet(t, nil)
	a := f.add(echo, nil)
	f.add(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		is.NoErr(control.EnableFullDuplex())
		buffer := make([]byte, piece)
		for {
			n, err := r.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			if err != nil || control.Flush() != nil {
				return
			}
		}
	}), nil)
	a.Drain()
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	send := make(chan struct{}, 1)
	go func() {
		for range send {
			_, _ = writer.Write(make([]byte, piece))
		}
		_ = writer.Close()
	}()
	send <- struct{}{}
	r, err := http.NewRequest(http.MethodPut, a.callerServer.URL+"/sheet", reader)
	is.NoErr(err)
	response, err := f.client.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	for i := range pieces {
		_, err := io.ReadFull(response.Body, make([]byte, piece))
		is.NoErr(err)
		if i < pieces-1 {
			send <- struct{}{}
		}
	}
	close(send)
	_, err = response.Body.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(f.send(a, "POST", "/orders", a.freshKey(f.spec.ID), make([]byte, maxKeyedBody+1)).status, 413)
}

// TestPeerHandlerRefuses checks that a relayed request for another service, beyond the hop limit,
// past its deadline or with a malformed grant is refused as not run.
func TestPeerHandlerRefuses(t *testing.T) {
	cases := []struct {
		name   string
		change func(http.Header)
		status int
	}{
		{"other service", func(h http.Header) { h.Set(relayServiceField, "8") }, 421},
		{"hop limit", func(h http.Header) { h.Set(relayHopsField, strconv.Itoa(maxHops+1)) }, 508},
		{"deadline", func(h http.Header) { h.Set(DeadlineField, "0") }, 504},
		{"no deadline", func(h http.Header) { h.Del(DeadlineField) }, 504},
		{"bad grant", func(h http.Header) { h.Set(relayGrantField, "x") }, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newFleet(t, nil).add(echo, nil)
			r := httptest.NewRequest(http.MethodGet, RelayPrefix+"/stock", nil)
			r.Header.Set(relayServiceField, "7")
			r.Header.Set(relayHopsField, "1")
			r.Header.Set(DeadlineField, "1000")
			c.change(r.Header)
			w := httptest.NewRecorder()
			a.PeerHandler().ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.Equal(Outcome(w.Header().Get(OutcomeField)), OutcomeNotRun)
			is.Equal(a.runs.Load(), int64(0))
		})
	}
}

// TestDrainWaitsForRequests checks that a request in flight completes while the agent drains, and
// that new requests are still served if there is no peer.
func TestDrainWaitsForRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	entered, leave := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(leave) })
	defer release()
	a := f.add(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-leave
		}
		_, _ = io.WriteString(w, "whole")
	}), nil)
	slow := make(chan reply, 1)
	go func() { slow <- f.send(a, "GET", "/slow", "", nil) }()
	<-entered
	a.Drain()
	select {
	case <-a.Idle():
		t.Fatal("idle with a request in flight")
	default:
	}
	is.Equal(a.InFlight(), 1)
	is.Equal(f.send(a, "GET", "/fast", "", nil).body, "whole")
	release()
	is.Equal((<-slow).body, "whole")
	<-a.Idle()
	is.Equal(a.InFlight(), 0)
}

// TestOverloadAndCancel checks that a request is refused at once if all slots are occupied, and
// that a cancelled request frees its slot and is cancelled at the backend server.
func TestOverloadAndCancel(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(s *service.Spec) { s.Limits.Slots = 1 })
	entered, cancelled := make(chan struct{}), make(chan struct{})
	a := f.add(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-r.Context().Done()
			close(cancelled)
		}
	}), nil)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, a.callerServer.URL+"/slow", nil)
	is.NoErr(err)
	failed := make(chan error, 1)
	go func() {
		response, err := f.client.Do(r)
		if err == nil {
			response.Body.Close()
		}
		failed <- err
	}()
	<-entered
	got := f.send(a, "POST", "/orders", a.freshKey(f.spec.ID), nil)
	is.Equal(got.status, 503)
	is.Equal(got.outcome, OutcomeNotRun)
	is.True(got.header.Get(retryAfterField) != "")
	cancel()
	is.True(errors.Is(<-failed, context.Canceled))
	<-cancelled
	a.Drain()
	<-a.Idle()
	is.Equal(f.send(a, "GET", "/fast", "", nil).status, 200)
}

// TestOutlierReportsFullLoad checks that after consecutive failures the agent reports full load and
// sends its requests to a peer.
func TestOutlierReportsFullLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	var load atomic.Int64
	a := f.add(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}), func(cfg *Config) { cfg.OnLoad = func(l uint8) { load.Store(int64(l)) } })
	f.add(echo, nil)
	for range 5 {
		is.Equal(f.send(a, "GET", "/", "", nil).status, 500)
	}
	is.True(a.Outlier())
	is.Equal(load.Load(), int64(fullLoad))
	is.Equal(f.send(a, "GET", "/", "", nil).status, 200)
	is.Equal(a.runs.Load(), int64(5))
}

// TestNotRunNeedsTheGranterIncarnation checks that the refusal of an agent that reuses the
// granter's address does not count as "not run", because the granter may have run the request.
func TestNotRunNeedsTheGranterIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	a := f.add(echo, nil)
	other := f.spec
	other.ID = 8
	b := f.add(echo, func(cfg *Config) { cfg.Spec = func() service.Spec { return other } })
	earlier := idempotency.NewIssuer(b.member.Addr, 1, idempotency.NoncePrefix{9})
	got := f.send(a, "POST", "/orders", earlier.Issue(time.Now(), f.keys, f.spec.ID), nil)
	is.Equal(got.outcome, OutcomeUnknown)
	is.Equal(b.runs.Load(), int64(0))
}

// TestRemovedServiceRefuses checks that a request with a key gets an unknown outcome after its
// service was removed, because it may have run before.
func TestRemovedServiceRefuses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	a := f.add(echo, func(cfg *Config) { cfg.Spec = func() service.Spec { return service.Spec{} } })
	is.Equal(f.send(a, "GET", "/", "", nil).outcome, OutcomeNotRun)
	is.Equal(f.send(a, "POST", "/orders", "", nil).outcome, OutcomeNotRun)
	is.Equal(f.send(a, "POST", "/orders", a.freshKey(7), nil).outcome, OutcomeUnknown)
}
