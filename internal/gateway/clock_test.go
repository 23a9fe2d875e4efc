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

// clockGateway returns a gateway without sockets, for tests on a fake clock:
// one slot, one place in the queue, a deadline of ten seconds.
func clockGateway(t *testing.T, dispatch tripper, peers ...member.Member) *Gateway {
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

// start serves one keyed request in the background and returns where its answer goes.
func start(g *Gateway, ctx context.Context, key string) (*httptest.ResponseRecorder, <-chan struct{}) {
	w, done := httptest.NewRecorder(), make(chan struct{})
	r := httptest.NewRequest(http.MethodPost, "/orders", nil).WithContext(ctx)
	r.Header.Set(KeyField, key)
	go func() {
		defer close(done)
		g.ServeHTTP(w, r)
	}()
	return w, done
}

// hang never answers; it ends with the request.
func hang(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func outcomeOf(w *httptest.ResponseRecorder) Outcome { return Outcome(w.Header().Get(OutcomeField)) }

// TestDeadlineSaysWhatIsCertain: at the deadline a waiting request was not run,
// a dispatched one has an unknown outcome, and its backend server is told.
func TestDeadlineSaysWhatIsCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := clockGateway(t, hang)
		running, queued := g.freshKey(7), g.freshKey(7)
		first, firstDone := start(g, t.Context(), running)
		synctest.Wait()
		second, secondDone := start(g, t.Context(), queued)
		synctest.Wait()
		third, thirdDone := start(g, t.Context(), g.freshKey(7))
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
			again, done := start(g, t.Context(), key)
			<-done
			is.Equal(outcomeOf(again), want)
		}
	})
}

// TestCancelledWhileQueuedLeavesAtOnce: the place is free again and the
// request never runs.
func TestCancelledWhileQueuedLeavesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		g := clockGateway(t, func(r *http.Request) (*http.Response, error) {
			runs++
			return hang(r)
		})
		_, firstDone := start(g, t.Context(), g.freshKey(7))
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		key := g.freshKey(7)
		_, secondDone := start(g, ctx, key)
		synctest.Wait()
		cancel()
		<-secondDone
		_, thirdDone := start(g, t.Context(), g.freshKey(7))
		synctest.Wait()
		select {
		case <-thirdDone:
			t.Fatal("refused although the place in the queue is free")
		default:
		}
		<-firstDone
		<-thirdDone
		is.Equal(runs, 1) // the third reached its deadline in the queue
		again, done := start(g, t.Context(), key)
		<-done
		is.Equal(outcomeOf(again), OutcomeNotRun)
	})
}

// TestDeadlineShrinksOnTheWay: the backend server and a peer are told the time
// that is left, not the time that the caller had.
func TestDeadlineShrinksOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		told := make(map[string]int)
		asks := 0
		answer := func(r *http.Request) (*http.Response, error) {
			millis, err := strconv.Atoi(r.Header.Get(DeadlineField))
			is.NoErr(err)
			told[r.URL.Host] = millis
			h := http.Header{OutcomeField: {string(OutcomeRun)}}
			if r.Header.Get(relayFreeSlotField) != "" {
				asks++
				h.Set(OutcomeField, string(OutcomeNotRun)) // the peer has no free slot
			} else {
				time.Sleep(300 * time.Millisecond)
			}
			return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
		}
		peer := member.Member{Addr: netip.MustParseAddrPort("127.0.1.2:9000"), Kind: member.Agent, State: member.Serving, Service: 7}
		g := clockGateway(t, answer, peer)
		serve := func() {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set(DeadlineField, "1000")
			g.ServeHTTP(httptest.NewRecorder(), r)
		}
		go serve()
		synctest.Wait()
		serve() // waits 300 ms in the queue
		is.Equal(told["127.0.0.1:1"], 700)
		is.Equal(told["127.0.0.1:2"], 990)
		is.Equal(asks, 1)
		delete(told, "127.0.0.1:2")
		g.Drain()
		serve()
		is.Equal(told["127.0.0.1:2"], 990)
	})
}

// TestLateAnswerIsDropped: an answer of the granting agent, or of the backend
// server, that comes after the deadline is not passed on.
func TestLateAnswerIsDropped(t *testing.T) {
	late := func(r *http.Request) (*http.Response, error) {
		time.Sleep(11 * time.Second)
		h := http.Header{OutcomeField: {string(OutcomeRun)}}
		return &http.Response{StatusCode: http.StatusCreated, Header: h, Body: io.NopCloser(strings.NewReader("late")), Request: r}, nil
	}
	peer := member.Member{Addr: netip.MustParseAddrPort("127.0.1.2:9000"), Kind: member.Agent, State: member.Serving, Service: 7}
	for _, granter := range []netip.AddrPort{peer.Addr, netip.MustParseAddrPort("127.0.1.1:9000")} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := clockGateway(t, late, peer)
			key := idempotency.NewIssuer(granter, 1, idempotency.NoncePrefix{1}).Issue(time.Now(), g.cfg.Keys(), 7)
			w, done := start(g, t.Context(), key)
			<-done
			is.Equal(w.Code, http.StatusGatewayTimeout)
			is.Equal(outcomeOf(w), OutcomeUnknown)
			is.True(!strings.Contains(w.Body.String(), "late"))
		})
	}
}
