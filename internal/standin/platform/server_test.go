package platform_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
	"github.com/almondledge/almondledge/internal/ticket"
)

func spec() service.Spec {
	return service.Spec{
		Name: "rezervasyon", ID: 1,
		Address:        netip.MustParseAddrPort("127.0.10.1:443"),
		BackendServers: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Limits:         service.Limits{Connections: 2000, Slots: 5, QueueLength: 10, DeadlineMillis: 5000},
	}
}

// TestTicketOverLoopback submits a ticket over loopback sockets and checks that a
// watch receives it.
func TestTicketOverLoopback(t *testing.T) {
	is := is.New(t)
	server, err := platform.Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()

	client, err := etcd.New(etcd.Config{Endpoints: []string{server.URL()}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	snapshot, err := client.Range(ctx, ticket.ServicePrefix)
	is.NoErr(err)
	batches := make(chan store.WatchBatch, 8)
	watched := make(chan error, 1)
	watchCtx, stop := context.WithCancel(ctx)
	go func() {
		watched <- client.Watch(watchCtx, ticket.ServicePrefix, snapshot.Revision+1, func(b store.WatchBatch) { batches <- b })
	}()

	submitter := &ticket.Submitter{Store: client}
	outcome, err := submitter.Submit(ctx, ticket.Ticket{ID: "open-1", Submitter: "ayse", Services: []service.Spec{spec()}})
	is.NoErr(err)
	is.Equal(outcome.Number, int64(1))

	batch := <-batches
	states, err := ticket.DecodeEvents(batch.Events)
	is.NoErr(err)
	is.Equal(*states[0].Spec, spec())
	is.Equal(states[0].Revision, outcome.Revision)
	stop()
	is.True(<-watched != nil)

	down := bytes.NewBufferString(`{"faults":{"down":true}}`)
	response, err := http.Post(server.URL()+platform.ControlPath, "application/json", down)
	is.NoErr(err)
	response.Body.Close()
	is.True(server.Platform.Faults().Down)
	is.NoErr(server.Close())
	is.NoErr(<-served)
}

// post sends a call to p and returns its status.
func post(t *testing.T, p *platform.Platform, path, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://platform"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := platform.Transport{Platform: p}.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestRateLimits checks that the stand-in serves calls at the platform's rate
// limits and no faster, and that an open watch counts as one read per second.
func TestRateLimits(t *testing.T) {
	const watches = 100
	cases := []struct {
		name    string
		path    string
		body    string
		watches int
		want    int
	}{
		{"writes", etcdapi.PathTxn, `{"success":[{"request_put":{"key":"YQ=="}}]}`, 0, platform.WritesPerSecond},
		{"reads by transaction", etcdapi.PathTxn, `{"success":[{"request_range":{"key":"YQ=="}}]}`, 0, platform.ReadsPerSecond},
		{"reads", etcdapi.PathRange, `{"key":"YQ=="}`, 0, platform.ReadsPerSecond},
		{"reads beside watches", etcdapi.PathRange, `{"key":"YQ=="}`, watches, platform.ReadsPerSecond - watches},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := platform.New(nil)
				p.SetFaults(platform.Faults{Limited: true})
				client, err := etcd.New(etcd.Config{
					Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: p},
					CallsPerSecond: 10 * watches, Burst: 10 * watches,
				})
				is.NoErr(err)
				ctx, stop := context.WithCancel(t.Context())
				var open sync.WaitGroup
				for range c.watches {
					open.Go(func() { _ = client.Watch(ctx, "p/", 1, func(store.WatchBatch) {}) })
				}
				time.Sleep(10*time.Second + time.Second/2)
				for post(t, p, c.path, c.body) == http.StatusOK {
				}
				time.Sleep(time.Second)
				served := 0
				for post(t, p, c.path, c.body) == http.StatusOK {
					served++
				}
				is.True(served >= c.want-1 && served <= c.want+1) // the limiter counts in fractions
				is.Equal(p.Counts().RefusedByRate, int64(2))
				stop()
				open.Wait()
			})
		})
	}
}

// TestControl checks the operations of the control endpoint.
func TestControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(nil)
		const write = `{"success":[{"request_put":{"key":"YQ==","value":"MQ=="}}]}`
		is.Equal(post(t, p, etcdapi.PathTxn, write), http.StatusOK)
		is.Equal(post(t, p, etcdapi.PathTxn, write), http.StatusOK)
		is.Equal(post(t, p, platform.ControlPath, `{"restoreRevision":2}`), http.StatusOK)
		is.Equal(p.Revision(), int64(2))
		is.Equal(post(t, p, etcdapi.PathTxn, write), http.StatusOK)
		is.Equal(post(t, p, platform.ControlPath, `{"compact":true}`), http.StatusOK)
		is.Equal(post(t, p, etcdapi.PathRange, `{"key":"YQ==","revision":"2"}`), http.StatusBadRequest)
		is.Equal(post(t, p, etcdapi.PathGrant, `{"TTL":"60"}`), http.StatusOK)
		is.Equal(post(t, p, platform.ControlPath, `{"expireLeases":true}`), http.StatusOK)
		is.Equal(post(t, p, etcdapi.PathRevoke, `{"ID":"1"}`), http.StatusNotFound)
		is.Equal(post(t, p, platform.ControlPath, `{"faults":{"slowNanos":3000000000}}`), http.StatusOK)
		start := time.Now()
		is.Equal(post(t, p, etcdapi.PathTxn, write), http.StatusOK)
		is.Equal(time.Since(start), 3*time.Second)
		is.Equal(post(t, p, platform.ControlPath, `{"faults":[]}`), http.StatusBadRequest)
		is.Equal(post(t, p, "/v3/auth/user/list", `{}`), http.StatusNotFound)
	})
}
