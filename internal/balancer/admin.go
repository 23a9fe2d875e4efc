package balancer

import (
	"context"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/administration"
	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/ticket"
)

// Ready returns nil when the balancer can route, or the reason why not.
func (b *Balancer) Ready() error {
	if b.stopping.Load() {
		return errkind.New(errkind.Unavailable, "the balancer is stopping", "none; the other balancers receive its packets")
	}
	if !b.driver.Ready() && b.driver.Catalog().Revision() > 0 {
		return errkind.New(errkind.Unavailable, "the balancer has not reached the other balancers yet",
			"check the peers in the settings; after some seconds without an answer it starts without them")
	}
	if !b.driver.Ready() {
		return errkind.New(errkind.Unavailable, "the balancer has no configuration yet", "check that the store or a peer can be reached")
	}
	return nil
}

// serveAdmin serves the administration API until ctx ends.
func (b *Balancer) serveAdmin(ctx context.Context) error {
	listener, err := b.network.ListenTCP(b.settings.Admin)
	if err != nil {
		return err
	}
	handler := adminapi.NewHandler(adminapi.Options{
		Instance:      administration.Instance(b.settings.Common),
		Token:         string(b.settings.AdminToken),
		Ready:         b.Ready,
		Configuration: administration.Configuration{Driver: b.driver},
		Members:       b.driver,
		Tickets:       administration.NewTickets(b.store),
		Telemetry:     b.telemetry,
		Logger:        b.log,
	})
	return adminapi.Serve(ctx, listener, adminapi.TLSConfig(listener.Addr(), b.identity), handler, b.log)
}

// discoverBalancers contacts the balancers in the rosters besides the peers in the settings, until ctx ends.
func (b *Balancer) discoverBalancers(ctx context.Context) {
	roster.Discover(ctx, roster.DiscoverConfig{
		Reader: b.store, DataCentre: roster.AllDataCentres, Found: b.driver.AddContacts, Log: b.log,
		View: func() roster.View {
			balancers := b.driver.BalancersInContact()
			return roster.View{Members: balancers, KnowsBalancer: balancers > 1}
		},
	})
}

// keepRosterEntry keeps this balancer in the roster of its data centre while the roster has room, until ctx ends.
func (b *Balancer) keepRosterEntry(ctx context.Context) {
	roster.Run(ctx, roster.Config{
		Store: b.store, DataCentre: b.settings.DataCentre, Self: b.settings.Address, FirstCheck: roster.FirstCheck, Log: b.log,
	})
}

// decodeEvent converts an event of the store to a catalog entry. It returns false if
// the event contains no service state.
func decodeEvent(event store.Event) (catalog.Entry, bool, error) {
	states, err := ticket.DecodeEvents([]store.Event{event})
	if err != nil || len(states) == 0 {
		return catalog.Entry{}, false, err
	}
	entry := catalog.Entry{ID: states[0].ID, ModRevision: states[0].Revision, Removed: states[0].Spec == nil}
	if states[0].Spec != nil {
		entry.Spec = *states[0].Spec
	}
	return entry, true, nil
}
