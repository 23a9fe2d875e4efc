package placement

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
)

// The set of agents counts as complete after quietTime without a new agent, provided that this process has
// run for minUptime.
const (
	quietTime = 200 * time.Millisecond
	minUptime = 400 * time.Millisecond
)

// deadGraceTime is how long after its death an agent that did not announce its leave may still
// return. An agent that was stopped as planned may return until it is forgotten, because its
// backend server keeps running.
const deadGraceTime = time.Second

// restartMargin is how much later than its backend server an agent may start without counting as restarted.
const restartMargin = 200 * time.Millisecond

// Shorter times for a cold start. No backend server holds flows from before a cold start, so an
// agent that has not appeared yet cannot hold a flow that is searched for.
const (
	coldQuietTime = 60 * time.Millisecond
	coldMinUptime = 150 * time.Millisecond
	// In a cold start, no backend server has started more than coldStartWindow before this process. The
	// window covers the clock differences between instances.
	coldStartWindow = 3 * time.Second
)

// Apply applies new member records. Home agents change with the next UpdateHomes.
func (d *Directory) Apply(now time.Time, members ...fleet.Member) {
	for i := range members {
		m := &members[i]
		old, known := d.members[m.Addr]
		if known {
			d.count(&old, -1)
			d.removeFromService(&old)
		}
		if isSearchTarget(m) && (!known || !isSearchTarget(&old)) {
			d.lastDiscovery = now
		}
		d.members[m.Addr] = *m
		d.count(m, 1)
		d.trackSilent(now, m)
		d.trackRestarted(m)
		d.addToService(m)
		d.updateRing(m.Addr, known && isHomeAgent(&old), isHomeAgent(m))
	}
}

// Forget removes a member that is no longer in the membership table.
func (d *Directory) Forget(addr netip.AddrPort) {
	old, known := d.members[addr]
	if !known {
		return
	}
	d.count(&old, -1)
	d.removeFromService(&old)
	d.updateRing(addr, isHomeAgent(&old), false)
	delete(d.members, addr)
	delete(d.loads, addr)
	delete(d.silent, addr)
	delete(d.restarted, addr)
}

// UpdateHomes applies the pending changes of home agents and reports whether any were pending.
func (d *Directory) UpdateHomes() bool { return d.ring.apply() }

// SetMembers replaces all member records.
func (d *Directory) SetMembers(now time.Time, members []fleet.Member) {
	for addr := range d.members {
		if !slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Addr == addr }) {
			d.Forget(addr)
		}
	}
	d.Apply(now, members...)
	d.UpdateHomes()
}

// isSearchTarget reports whether a member is an agent whose backend server may hold flows.
func isSearchTarget(m *fleet.Member) bool {
	return m.Role == fleet.Agent && m.Liveness != fleet.Dead && m.Backend.State != fleet.BackendGone
}

// isSilent reports whether a member is an agent that is suspected or dead while its backend
// server may still be running.
func isSilent(m *fleet.Member) bool {
	return m.Role == fleet.Agent && m.Liveness >= fleet.Suspect && m.Backend.State != fleet.BackendGone
}

// startedEarlier reports whether a member is an agent whose backend server may hold flows from long
// before this process started.
func (d *Directory) startedEarlier(m *fleet.Member) bool {
	return isSearchTarget(m) && m.Backend.StartMillis < d.started.Add(-coldStartWindow).UnixMilli()
}

// isHomeAgent reports whether a member records the owners of flows. A leaving agent does not: its
// successors receive the ownership claims of its flows while it still answers.
func isHomeAgent(m *fleet.Member) bool {
	return m.Role == fleet.Agent && (m.Liveness == fleet.Alive || m.Liveness == fleet.Suspect)
}

// count adds a member to the counts, or removes it with a step of -1.
func (d *Directory) count(m *fleet.Member, step int) {
	if isSearchTarget(m) {
		d.searchTargets += step
	}
	if d.startedEarlier(m) {
		d.olderBackends += step
	}
	if m.Role == fleet.Agent && m.Liveness == fleet.Alive {
		d.alive += step
	}
}

// trackSilent updates the set of silent agents after a change of m.
func (d *Directory) trackSilent(now time.Time, m *fleet.Member) {
	died, known := d.silent[m.Addr]
	switch {
	case !isSilent(m):
		delete(d.silent, m.Addr)
	case m.Liveness == fleet.Dead && died.IsZero():
		d.silent[m.Addr] = now
	case m.Liveness != fleet.Dead && (!known || !died.IsZero()):
		d.silent[m.Addr] = time.Time{}
	}
}

// trackRestarted updates the set of restarted agents after a change of m. The incarnation of a member is the start
// time of its process.
func (d *Directory) trackRestarted(m *fleet.Member) {
	started := time.UnixMilli(int64(m.Incarnation))
	backendIsOlder := m.Backend.StartMillis == 0 || started.Sub(time.UnixMilli(m.Backend.StartMillis)) > restartMargin
	if isSearchTarget(m) && backendIsOlder {
		d.restarted[m.Addr] = started
		return
	}
	delete(d.restarted, m.Addr)
}

// AnySilentMayReturn reports whether some silent agent may return with flows that no other agent knows.
func (d *Directory) AnySilentMayReturn(now time.Time) bool {
	for addr, died := range d.silent {
		if died.IsZero() || now.Sub(died) < deadGraceTime || d.members[addr].LeaveAnnounced {
			return true
		}
	}
	return false
}

func (d *Directory) addToService(m *fleet.Member) {
	if m.Role == fleet.Agent && m.Liveness != fleet.Dead {
		d.services[m.Backend.Service] = append(d.services[m.Backend.Service], *m)
	}
}

func (d *Directory) removeFromService(m *fleet.Member) {
	agents := slices.DeleteFunc(d.services[m.Backend.Service], func(other fleet.Member) bool { return other.Addr == m.Addr })
	if len(agents) == 0 {
		delete(d.services, m.Backend.Service)
		return
	}
	d.services[m.Backend.Service] = agents
}

func (d *Directory) updateRing(addr netip.AddrPort, was, is bool) {
	switch {
	case was && !is:
		d.ring.remove(addr)
	case is && !was:
		d.ring.add(addr)
	}
}

// SetView records whether the membership table is complete, and whether a process with a complete table has been heard. A
// new directory counts as complete.
func (d *Directory) SetView(complete, heardComplete bool) {
	d.partial, d.heardComplete = !complete, heardComplete
}

// IsConverged reports whether the view of the members has converged: it contains all agents that may hold
// flows, since the membership table is complete, no silent agent may return and no new agent has appeared for a while. In
// a cold start no process has a complete table, and the agents that have not appeared yet hold no flows.
func (d *Directory) IsConverged(now time.Time) bool {
	uptime, quiet := minUptime, quietTime
	isCold := d.IsColdStart(now)
	if isCold {
		uptime, quiet = coldMinUptime, coldQuietTime
	}
	if d.partial && (!isCold || d.heardComplete) {
		return false
	}
	return !d.AnySilentMayReturn(now) && now.Sub(d.started) >= uptime && now.Sub(d.lastDiscovery) >= quiet
}

// IsColdStart reports whether all known backend servers started at about the same time as this process, not
// long ago.
func (d *Directory) IsColdStart(now time.Time) bool {
	return d.searchTargets > 0 && d.olderBackends == 0 && now.Sub(d.started) < coldStartWindow
}

// LastDiscovery returns the last time at which an agent became a search target (see SearchTargets).
func (d *Directory) LastDiscovery() time.Time { return d.lastDiscovery }

// HasAliveAgents reports whether any agent is considered alive.
func (d *Directory) HasAliveAgents() bool { return d.alive > 0 }

// IsSearchTarget reports whether a member is an agent whose backend server may hold flows.
func (d *Directory) IsSearchTarget(a netip.AddrPort) bool {
	m, known := d.members[a]
	return known && isSearchTarget(&m)
}

// SearchTargetCount returns the number of agents whose backend servers may hold flows.
func (d *Directory) SearchTargetCount() int { return d.searchTargets }

// SearchTargets returns the agents whose backend servers may hold flows, sorted by address.
func (d *Directory) SearchTargets() []netip.AddrPort {
	agents := make([]netip.AddrPort, 0, d.searchTargets)
	for addr, m := range d.members {
		if isSearchTarget(&m) {
			agents = append(agents, addr)
		}
	}
	slices.SortFunc(agents, netip.AddrPort.Compare)
	return agents
}

// RestartedAgents returns the search targets whose processes are younger than within and than their backend servers,
// sorted by address. Only these may have flows that they do not know.
func (d *Directory) RestartedAgents(now time.Time, within time.Duration) []netip.AddrPort {
	var agents []netip.AddrPort
	for addr, started := range d.restarted {
		if now.Sub(started) < within {
			agents = append(agents, addr)
		}
	}
	slices.SortFunc(agents, netip.AddrPort.Compare)
	return agents
}

// Member returns the record of the process at a.
func (d *Directory) Member(a netip.AddrPort) (fleet.Member, bool) {
	m, ok := d.members[a]
	return m, ok
}

// Agents returns the agents of a service that are not dead.
func (d *Directory) Agents(service string) []fleet.Member { return d.services[service] }
