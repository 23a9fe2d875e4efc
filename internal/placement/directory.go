// Package placement chooses the backend server for a new flow, based on the load that agents report
// and on the flows that this process has placed since. It also ranks the home agents of a flow: the
// agents that record which agent owns it.
package placement

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/route"
)

// Weights of the cost of a backend server, in flows per slot.
const (
	// activeWeight is the number of flows that one request in progress counts as: it predicts the
	// load of the near future better than an idle flow.
	activeWeight = 3.0
	// warmingFactor is how much slower a backend server is while it warms up after its start.
	warmingFactor = 1.6
	// remoteCost is added to the cost of a backend server in another data centre.
	remoteCost = 8.0
	// remoteFactor scales the load of a backend server in another data centre.
	remoteFactor = 1.15
)

// Thresholds in requests in progress per slot.
const (
	// overloadThreshold is the load from which new flows of a service go to another service of the
	// route; spareThreshold is the load up to which that other service accepts them.
	overloadThreshold = 2.0
	spareThreshold    = 1.0
)

// Times for which an agent is avoided.
const (
	// unresponsiveTime applies to an agent that left an opening packet unanswered.
	unresponsiveTime = 600 * time.Millisecond
	// fullTime applies to an agent whose backend server refused a flow.
	fullTime = 150 * time.Millisecond
)

// load is the load of one agent as this process knows it.
type load struct {
	flows, active float64
	// placed counts the flows placed by this process since the agent's last report.
	placed float64
	// avoidUntil is the time until which the agent is chosen only if there is no other.
	avoidUntil time.Time
}

// Directory holds the agents that this process knows, with their load and the home agents of flows.
// It is not safe for concurrent use.
type Directory struct {
	self       netip.AddrPort
	dataCentre string
	rand       *rand.Rand
	loads      map[netip.AddrPort]*load
	services   map[string][]fleet.Member
	members    map[netip.AddrPort]fleet.Member
	ring       ring
	// searchTargets counts the agents whose backend servers may hold flows, alive the agents that
	// are considered alive.
	searchTargets, alive int
	// silent holds the agents that are suspected or dead while their backend servers may still hold flows.
	// The value is the time at which the agent was declared dead, or zero for a suspected agent.
	silent map[netip.AddrPort]time.Time
	// restarted maps the agents that have started later than their backend servers, and so may not know all flows
	// of theirs, to their start times.
	restarted map[netip.AddrPort]time.Time
	// olderBackends counts the search targets whose backend servers started long before this
	// process.
	olderBackends int
	// partial is set while members may be unknown, heardComplete once a process that knows all has been heard.
	partial, heardComplete bool
	// lastDiscovery is the last time at which an agent became a search target.
	lastDiscovery time.Time
	started       time.Time
}

// NewDirectory returns an empty directory for the process at self.
func NewDirectory(now time.Time, self netip.AddrPort, dataCentre string, random *rand.Rand) *Directory {
	return &Directory{
		started:    now,
		self:       self,
		dataCentre: dataCentre,
		rand:       random,
		silent:     map[netip.AddrPort]time.Time{},
		restarted:  map[netip.AddrPort]time.Time{},
		loads:      map[netip.AddrPort]*load{},
		services:   map[string][]fleet.Member{},
		members:    map[netip.AddrPort]fleet.Member{},
	}
}

// RecordLoad stores the load that an agent reported.
func (d *Directory) RecordLoad(agent netip.AddrPort, flows, active uint16) {
	l := d.load(agent)
	l.flows, l.active, l.placed = float64(flows), float64(active), 0
}

// MarkUnresponsive records that an agent left an opening packet unanswered.
func (d *Directory) MarkUnresponsive(now time.Time, agent netip.AddrPort) {
	d.load(agent).avoidUntil = now.Add(unresponsiveTime)
}

// MarkFull records that an agent's backend server refused a flow.
func (d *Directory) MarkFull(now time.Time, agent netip.AddrPort) {
	d.load(agent).avoidUntil = now.Add(fullTime)
}

// MarkResponsive records that an agent has answered, so that it is no longer avoided.
func (d *Directory) MarkResponsive(agent netip.AddrPort) {
	if l := d.loads[agent]; l != nil {
		l.avoidUntil = time.Time{}
	}
}

// load returns the load of an agent. That of a process that is no member is not kept: any program can send notices.
func (d *Directory) load(agent netip.AddrPort) *load {
	l := d.loads[agent]
	if l == nil {
		l = &load{}
		if _, known := d.members[agent]; known {
			d.loads[agent] = l
		}
	}
	return l
}

// RecordPlacement counts a new flow that this process has sent to an agent, until the agent reports its load.
func (d *Directory) RecordPlacement(agent netip.AddrPort) { d.load(agent).placed++ }

// ChooseAmong returns the agent for a new flow of a route, and that agent's service. If service, which the
// route has picked, is overloaded or has no agent, another service of the route takes the flow.
func (d *Directory) ChooseAmong(now time.Time, r *route.Route, service string, skip func(netip.AddrPort) bool) (agent netip.AddrPort, chosen string, found bool) {
	agent, found = d.Choose(now, service, skip)
	chosen = service
	if !found || d.RequestsPerSlot(agent) >= overloadThreshold {
		for _, share := range r.Shares {
			if share.Weight == 0 || share.Service == service {
				continue
			}
			other, ok := d.Choose(now, share.Service, skip)
			if ok && (!found || d.RequestsPerSlot(other) <= spareThreshold) {
				agent, chosen, found = other, share.Service, true
				break
			}
		}
	}
	return agent, chosen, found
}

// RequestsPerSlot returns the requests in progress at a backend server per slot, including the flows placed
// by this process since its agent's last report.
func (d *Directory) RequestsPerSlot(agent netip.AddrPort) float64 {
	l := d.load(agent)
	return (l.active + l.placed) / max(1, float64(d.members[agent].Backend.Slots))
}

// Choose returns the agent for a new flow to a service, or false if no agent outside of skip
// accepts flows. Agents that are currently avoided are chosen only if there is no other.
func (d *Directory) Choose(now time.Time, service string, skip func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	best, found := netip.AddrPort{}, false
	bestCost, bestAvoided := 0.0, false
	for i := range d.services[service] {
		m := &d.services[service][i]
		if !m.AcceptsFlows() || skip(m.Addr) {
			continue
		}
		avoided := now.Before(d.load(m.Addr).avoidUntil)
		cost := d.cost(m)
		better := cost < bestCost
		if avoided != bestAvoided {
			better = !avoided
		}
		if !found || better {
			best, bestCost, bestAvoided, found = m.Addr, cost, avoided, true
		}
	}
	return best, found
}

// cost returns the load of a backend server for a flow that comes from this process, in flows per
// slot. A small random part keeps processes with the same view from all choosing the same agent.
func (d *Directory) cost(m *fleet.Member) float64 {
	l := d.load(m.Addr)
	slots := max(1, float64(m.Backend.Slots))
	cost := (l.flows + l.placed + activeWeight*l.active) / slots
	if m.Backend.Warming {
		cost = (cost + 1) * warmingFactor
	}
	if m.DataCentre != d.dataCentre {
		cost = cost*remoteFactor + remoteCost
	}
	return cost + d.rand.Float64()/slots
}
