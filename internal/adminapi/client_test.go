package adminapi

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
)

// flakyServer starts a server that answers the first requests with fail.
func flakyServer(t *testing.T, failures int, fail http.HandlerFunc) (url string, requests *atomic.Int32) {
	t.Helper()
	requests = new(atomic.Int32)
	working := NewHandler((&fakeFleet{}).options(member.Balancer))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if int(requests.Add(1)) <= failures {
			fail(w, r)
			return
		}
		working.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL, requests
}

func TestOnlyReadsAreRetried(t *testing.T) {
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	busy := func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, errkind.New(errkind.Overloaded, "busy", "wait"))
	}
	redirect := func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusTemporaryRedirect)
	}
	cases := []struct {
		name         string
		fail         http.HandlerFunc
		read, change errkind.Kind
	}{
		{"cut answer", cut, "", errkind.Unknown},
		{"overloaded", busy, "", errkind.Overloaded},
		{"redirect", redirect, errkind.Unknown, errkind.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := flakyServer(t, 1, c.fail)
			_, err := newClient(t, address).State(t.Context(), false)
			is.Equal(errkind.Of(err), c.read)

			address, requests := flakyServer(t, 1, c.fail)
			_, err = newClient(t, address, address).Submit(t.Context(), TicketRequest{})
			is.Equal(errkind.Of(err), c.change)
			is.Equal(requests.Load(), int32(1))
		})
	}
}

func TestChangeTriesNextEndpointOnlyIfNotConnected(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unreachable := "http://" + closed.Addr().String()
	is.NoErr(closed.Close())
	address, requests := flakyServer(t, 0, nil)

	_, err = newClient(t, unreachable, address).Submit(t.Context(), TicketRequest{})
	is.NoErr(err)
	is.Equal(requests.Load(), int32(1))
	_, err = newClient(t, unreachable).Submit(t.Context(), TicketRequest{})
	is.True(errkind.Is(err, errkind.Unavailable))
}
