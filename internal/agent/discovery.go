package agent

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"github.com/almondledge/almondledge/internal/contacts"
	"github.com/almondledge/almondledge/internal/roster"
)

// foundBalancers are the balancers that were found in the rosters. It is safe for concurrent use.
type foundBalancers struct {
	mu   sync.Mutex
	list contacts.List
}

func (f *foundBalancers) add(found []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = f.list.Add(found)
}

func (f *foundBalancers) all() contacts.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// startDiscovery looks for balancers in the rosters until ctx ends, whenever no balancer is in contact. The returned group
// ends after that.
func (a *Agent) startDiscovery(ctx context.Context) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	group.Go(func() {
		roster.Discover(ctx, roster.DiscoverConfig{
			Reader: a.store, DataCentre: roster.AllDataCentres, View: a.rosterView, Found: a.addBalancers, Log: a.log,
		})
	})
	return group
}

// rosterView returns what this agent knows of the balancers.
func (a *Agent) rosterView() roster.View {
	view := roster.View{Members: 1, SearchOnly: true}
	if a.assembled.Load() {
		balancers := a.driver.BalancersInContact()
		view.Members += balancers
		view.KnowsBalancer = balancers > 0
	}
	return view
}

// addBalancers adds balancers of the rosters to those that are contacted.
func (a *Agent) addBalancers(found []netip.AddrPort) {
	a.found.add(found)
	if a.assembled.Load() {
		a.driver.AddContacts(found)
	}
}

// firstContacts returns the balancers in the settings and those found so far.
func (a *Agent) firstContacts() []netip.AddrPort {
	return slices.Concat(a.settings.Peers, a.found.all())
}
