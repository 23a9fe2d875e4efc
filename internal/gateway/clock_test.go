package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

// newClockGateway returns a gateway without sockets for tests with a fake clock. It has one slot,
// one queue place and a deadline of ten seconds.
func newClockGateway(t *testing.T, dispatch roundTripFunc, peers ...member.Member) *Gateway {
	keys, err := idempotency.NewKeyring(1, map[uint8][]byte{1: make([]byte, 16)})
	if err != nil {
		t.Fatal(err)
	}
	spec := service.Spec{ID: 7, Limits: service.Limits{Slots: 1, QueueLength: 1, DeadlineMillis: 10_000}}
	g, err := New(Config{
		Addr: netip.MustParseAddrPort("127.0.1.1:9000"), Incarnation: 1,
		Spec: func() service.Spec { return spec }, Backend: &url.URL{Scheme: "http", Host: "127.0.0.1:1"},
		Peers: func() []member.Member { return peers }, PeerURL: func(member.Member) string { return "https://127.0.0.1:2" },
		Relay: dispatch, Dispatch: dispatch, Keys: func() *idempotency.Keyring { return keys },
		Now: time.Now, Rand: func() float64 { return 0 }, Metrics: metrics.NewSet(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// serveInBackground serves one request with a key. The returned channel is closed when the answer
// is complete.
func serveInBackground(g *Gateway, ctx context.Context, key string) (*httptest.ResponseRecorder, <-chan struct{}) {
	w, done := httptest.NewRecorder(), make(chan struct{})
	r := httptest.NewRequest(http.MethodPost, "/orders", nil).WithContext(ctx)
	r.Header.Set(KeyField, key)
	go func() {
		defer close(done)
		g.ServeHTTP(w, r)
	}()
	return w, done
}

// hang never answers; it returns when the request is cancelled.
func hang(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func outcomeOf(w *httptest.ResponseRecorder) Outcome { return Outcome(w.Header().Get(OutcomeField)) }

// TestOutcomeAtDeadline checks that at the deadline a waiting request is reported as not run and a
// dispatched one as unknown, and that the attempt at the backend server is cancelled.
func TestOutcomeAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newClockGateway(t, hang)
		running, queued := g.freshKey(7), g.freshKey(7)
		first, firstDone := serveInBackground(g, t.Context(), running)
		synctest.Wait()
		second, secondDone := serveInBackground(g, t.Context(), queued)
		synctest.Wait()
		third, thirdDone := serveInBackground(g, t.Context(), g.freshKey(7))
		<-thirdDone // refused at once: the slot and the queue are full
		is.Equal(outcomeOf(third), OutcomeNotRun)
		is.Equal(third.Code, http.StatusServiceUnavailable)

		begin := time.Now()
		<-firstDone
		<-secondDone
		is.Equal(time.Since(begin), 10*time.Second)
		is.Equal(first.Code, http.StatusGatewayTimeout)
		is.Equal(outcomeOf(first), OutcomeUnknown)
		is.Equal(second.Code, http.StatusGatewayTimeout)
		is.Equal(outcomeOf(second), OutcomeNotRun)

		for key, want := range map[string]Outcome{running: OutcomeUnknown, queued: OutcomeNotRun} {
			again, done := serveInBackground(g, t.Context(), key)
			<-done
			is.Equal(outcomeOf(again), want)
		}
	})
}

// TestCancelWhileQueued checks that a cancelled request frees its queue place at once and never
// runs.
func TestCancelWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		g := newClockGateway(t, func(r *http.Request) (*http.Response, error) {
			runs++
			return hang(r)
		})
		_, firstDone := serveInBackground(g, t.Context(), g.freshKey(7))
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		key := g.freshKey(7)
		_, secondDone := serveInBackground(g, ctx, key)
		synctest.Wait()
		cancel()
		<-secondDone
		_, thirdDone := serveInBackground(g, t.Context(), g.freshKey(7))
		synctest.Wait()
		select {
		case <-thirdDone:
			t.Fatal("refused although the place in the queue is free")
		default:
		}
		<-firstDone
		<-thirdDone
		is.Equal(runs, 1) // the third request reached its deadline in the queue
		again, done := serveInBackground(g, t.Context(), key)
		<-done
		is.Equal(outcomeOf(again), OutcomeNotRun)
	})
}

// TestRemainingTimeIsForwarded checks that the backend server and a peer receive the remaining
// time, without the time that the request already waited.
func TestRemainingTimeIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		deadlines := make(map[string]int)
		slotQueries := 0
		answer := func(r *http.Request) (*http.Response, error) {
			millis, err := strconv.Atoi(r.Header.Get(DeadlineField))
			is.NoErr(err)
			deadlines[r.URL.Host] = millis
			h := http.Header{OutcomeField: {string(OutcomeRun)}}
			if r.Header.Get(relayFreeSlotField) != "" {
				slotQueries++
				h.Set(OutcomeField, string(OutcomeNotRun)) // the peer has no free slot
			} else {
				time.Sleep(300 * time.Millisecond)
			}
			return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
		}
		peer := member.Member{Addr: netip.MustParseAddrPort("127.0.1.2:9000"), Kind: member.Agent, State: member.Serving, Service: 7}
		g := newClockGateway(t, answer, peer)
		serve := func() {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set(DeadlineField, "1000")
			g.ServeHTTP(httptest.NewRecorder(), r)
		}
		go serve()
		synctest.Wait()
		serve() // waits 300 ms in the queue
		is.Equal(deadlines["127.0.0.1:1"], 700)
		is.Equal(deadlines["127.0.0.1:2"], 990)
		is.Equal(slotQueries, 1)
		delete(deadlines, "127.0.0.1:2")
		g.Drain()
		serve()
		is.Equal(deadlines["127.0.0.1:2"], 990)
	})
}

// TestAnswerAfterDeadlineIsDropped checks that an answer of the granter or of the backend server
// that arrives after the deadline is not forwarded.
func TestAnswerAfterDeadlineIsDropped(t *testing.T) {
	late := func(r *http.Request) (*http.Response, error) {
		time.Sleep(11 * time.Second)
		h := http.Header{OutcomeField: {string(OutcomeRun)}}
		return &http.Response{StatusCode: http.StatusCreated, Header: h, Body: io.NopCloser(strings.NewReader("late")), Request: r}, nil
	}
	peer := member.Member{Addr: netip.MustParseAddrPort("127.0.1.2:9000"), Kind: member.Agent, State: member.Serving, Service: 7}
	for _, granter := range []netip.AddrPort{peer.Addr, netip.MustParseAddrPort("127.0.1.1:9000")} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newClockGateway(t, late, peer)
			key := idempotency.NewIssuer(granter, 1, idempotency.NoncePrefix{1}).Issue(time.Now(), g.cfg.Keys(), 7)
			w, done := serveInBackground(g, t.Context(), key)
			<-done
			is.Equal(w.Code, http.StatusGatewayTimeout)
			is.Equal(outcomeOf(w), OutcomeUnknown)
			is.True(!strings.Contains(w.Body.String(), "late"))
		})
	}
}
