package platform_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
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

// TestTicketOverLoopback takes a ticket through sockets, from the submitter to a watch.
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
