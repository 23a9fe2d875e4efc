package flowproc

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/roster"
)

// firstStartTime is how long a process waits for the seeds at the first start of a deployment, because
// the rosters are still empty.
const firstStartTime = time.Second

// discoverBalancers contacts the balancers in the rosters, as long as this process runs. The seeds may all be down, and
// the members that this process knows may all end, or may be a part of the deployment only.
func (c *core) discoverBalancers(ctx context.Context) {
	if c.opt.Roster == nil {
		return
	}
	cfg := roster.DiscoverConfig{
		Reader: c.opt.RosterReader, DataCentre: roster.AllDataCentres, View: c.view, Found: c.contact,
		Random: c.newRandom(), Log: c.opt.Log,
	}
	if c.cfg.FirstStart {
		cfg.FirstRead = firstStartTime
	}
	roster.Discover(ctx, cfg)
}

// view returns what this process knows of the other members.
func (c *core) view() roster.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Isolated(time.Now()) {
		return roster.View{Members: 1}
	}
	members := c.node.AliveCount()
	isBalancer := c.node.Self().Role == fleet.Balancer
	return roster.View{Members: members, KnowsBalancer: len(c.balancers) > 0 && (!isBalancer || members > 1)}
}

// contact adds the balancers of a roster to the members that are contacted while they are not known to be alive.
func (c *core) contact(balancers []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.AddContacts(balancers)
}

// keepRosterEntry keeps this balancer in the roster of its data centre.
func (c *core) keepRosterEntry(ctx context.Context) {
	if c.opt.Roster == nil {
		return
	}
	roster.Run(ctx, roster.Config{
		Store: c.opt.Roster, DataCentre: c.cfg.DataCentre, Self: c.cfg.Peer,
		FirstCheck: roster.FirstCheck, Alive: c.isAlive, Found: c.contact, Restored: c.opt.Restored,
		Random: c.newRandom(), Log: c.opt.Log,
	})
}

// newRandom returns a source of random numbers in [0, 1) for one goroutine.
func (c *core) newRandom() func() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.opt.Rand.Uint64(), c.opt.Rand.Uint64())).Float64
}

// isAlive reports whether a balancer is alive as far as this process knows. A process that has lost all others at once
// has no evidence against any of them.
func (c *core) isAlive(balancer netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Joined() && c.node.Isolated(time.Now()) {
		return true
	}
	liveness, known := c.node.Liveness(balancer)
	return known && liveness < fleet.Suspect
}
