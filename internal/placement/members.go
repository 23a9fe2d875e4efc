package placement

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
)

// settleTime is how long no new agent must have appeared until the agents are
// taken as known, and startTime how long a process must run for that.
const (
	settleTime = 200 * time.Millisecond
	startTime  = 400 * time.Millisecond
)

// lostTime is how long after its death an agent that went without a word is waited
// for. One that stops as planned is waited for until it is forgotten: its backend
// server lives on.
const lostTime = time.Second

// After a loss of everything no backend server has flows from before, so an agent
// that has not appeared yet cannot have one that is asked for. These times suffice then.
const (
	freshSettleTime = 60 * time.Millisecond
	freshStartTime  = 150 * time.Millisecond
	// freshAge is how long before this process a backend server may have started to
	// count as new. It covers clocks of instances that differ.
	freshAge = 3 * time.Second
)

// Apply takes over new statements about members. Homes follow with the next Settle.
func (b *Directory) Apply(now time.Time, members ...fleet.Member) {
	for i := range members {
		m := &members[i]
		old, known := b.members[m.Addr]
		if known {
			b.count(&old, -1)
			b.leaveService(&old)
		}
		if isAskable(m) && (!known || !isAskable(&old)) {
			b.lastNew = now
		}
		b.members[m.Addr] = *m
		b.count(m, 1)
		b.noteDoubt(now, m)
		b.joinService(m)
		b.moveOnRing(m.Addr, known && isHome(&old), isHome(m))
	}
}

// Forget drops a member that has been dead for long.
func (b *Directory) Forget(addr netip.AddrPort) {
	old, known := b.members[addr]
	if !known {
		return
	}
	b.count(&old, -1)
	b.leaveService(&old)
	b.moveOnRing(addr, isHome(&old), false)
	delete(b.members, addr)
	delete(b.loads, addr)
	delete(b.doubtful, addr)
}

// UpdateHomes brings the homes of flows up to date, and reports whether any changed.
func (b *Directory) UpdateHomes() bool { return b.ring.settle() }

// SetMembers takes over a whole view of the members.
func (b *Directory) SetMembers(now time.Time, members []fleet.Member) {
	for addr := range b.members {
		if !slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Addr == addr }) {
			b.Forget(addr)
		}
	}
	b.Apply(now, members...)
	b.UpdateHomes()
}

// isAskable reports whether a member is an agent whose backend server may have flows.
func isAskable(m *fleet.Member) bool {
	return m.Role == fleet.Agent && m.Liveness != fleet.Dead && m.Backend.State != fleet.BackendGone
}

// isDoubtful reports whether a member is an agent that is silent, and whose backend
// server may not be.
func isDoubtful(m *fleet.Member) bool {
	return m.Role == fleet.Agent && m.Liveness >= fleet.Suspect && m.Backend.State != fleet.BackendGone
}

// isOld reports whether a member is an agent whose backend server may have flows from
// long before this process started.
func (b *Directory) isOld(m *fleet.Member) bool {
	return isAskable(m) && m.Backend.StartMillis < b.started.Add(-freshAge).UnixMilli()
}

// isHome reports whether a member keeps track of flows. An agent that leaves does
// not: its successors are told of its flows while it still answers.
func isHome(m *fleet.Member) bool {
	return m.Role == fleet.Agent && (m.Liveness == fleet.Alive || m.Liveness == fleet.Suspect)
}

// count adds a member to the counts, or takes it out with a step of -1.
func (b *Directory) count(m *fleet.Member, step int) {
	if isAskable(m) {
		b.askable += step
	}
	if b.isOld(m) {
		b.old += step
	}
	if m.Role == fleet.Agent && m.Liveness == fleet.Alive {
		b.answering += step
	}
}

// noteDoubt follows an agent that goes silent, or answers again.
func (b *Directory) noteDoubt(now time.Time, m *fleet.Member) {
	died, known := b.doubtful[m.Addr]
	switch {
	case !isDoubtful(m):
		delete(b.doubtful, m.Addr)
	case m.Liveness == fleet.Dead && died.IsZero():
		b.doubtful[m.Addr] = now
	case m.Liveness != fleet.Dead && (!known || !died.IsZero()):
		b.doubtful[m.Addr] = time.Time{}
	}
}

// isInDoubt reports whether some agent may be back and have flows.
func (b *Directory) isInDoubt(now time.Time) bool {
	for addr, died := range b.doubtful {
		if died.IsZero() || now.Sub(died) < lostTime || b.members[addr].LeaveAnnounced {
			return true
		}
	}
	return false
}

func (b *Directory) joinService(m *fleet.Member) {
	if m.Role == fleet.Agent && m.Liveness != fleet.Dead {
		b.services[m.Backend.Service] = append(b.services[m.Backend.Service], *m)
	}
}

func (b *Directory) leaveService(m *fleet.Member) {
	agents := slices.DeleteFunc(b.services[m.Backend.Service], func(other fleet.Member) bool { return other.Addr == m.Addr })
	if len(agents) == 0 {
		delete(b.services, m.Backend.Service)
		return
	}
	b.services[m.Backend.Service] = agents
}

func (b *Directory) moveOnRing(addr netip.AddrPort, was, is bool) {
	switch {
	case was && !is:
		b.ring.remove(addr)
	case is && !was:
		b.ring.add(addr)
	}
}

// IsConverged reports whether the agents that are known are certainly all that may
// have flows: none is silent that may be back, and no new one has appeared for a while.
func (b *Directory) IsConverged(now time.Time) bool {
	start, settle := startTime, settleTime
	if b.IsColdStart(now) {
		start, settle = freshStartTime, freshSettleTime
	}
	return !b.isInDoubt(now) && now.Sub(b.started) >= start && now.Sub(b.lastNew) >= settle
}

// IsColdStart reports whether this process and all backend servers that it knows have
// started together and not long ago.
func (b *Directory) IsColdStart(now time.Time) bool {
	return b.askable > 0 && b.old == 0 && now.Sub(b.started) < freshAge
}

// LastDiscovery returns when an agent was first seen.
func (b *Directory) LastDiscovery() time.Time { return b.lastNew }

// HasAliveAgents reports whether any agent is believed to answer.
func (b *Directory) HasAliveAgents() bool { return b.answering > 0 }

// SearchTargetCount returns the number of agents whose backend servers may have flows.
func (b *Directory) SearchTargetCount() int { return b.askable }

// SearchTargets returns the agents whose backend servers may have flows, in the order of
// their addresses.
func (b *Directory) SearchTargets() []netip.AddrPort {
	agents := make([]netip.AddrPort, 0, b.askable)
	for addr, m := range b.members {
		if isAskable(&m) {
			agents = append(agents, addr)
		}
	}
	slices.SortFunc(agents, netip.AddrPort.Compare)
	return agents
}

// Member returns what is known of the process at a.
func (b *Directory) Member(a netip.AddrPort) (fleet.Member, bool) {
	m, ok := b.members[a]
	return m, ok
}

// Agents returns the agents of a service that are not dead.
func (b *Directory) Agents(service string) []fleet.Member { return b.services[service] }
