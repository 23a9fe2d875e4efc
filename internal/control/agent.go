package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/member"
)

// Limits and timeouts of an agent.
const (
	maxKnownBalancers = 32
	maxPeers          = 16
	// peerLifetime is how long a sampled peer is used.
	peerLifetime = 10 * time.Second
	// avoidTime is how long an agent avoids a balancer that did not answer.
	avoidTime = 5 * time.Second
	// maxAckDelay is the delay allowed for acknowledgements: an announcement is repeated if the
	// last answer is older than the announcement period plus maxAckDelay.
	maxAckDelay = 200 * time.Millisecond
	// repeatsPerPause is the number of repeats before the pause between them doubles.
	repeatsPerPause = 4
	// maxPauseDoublings bounds the growth of the pause between repeats.
	maxPauseDoublings = 3
)

// agent is the part of a Node that announces a backend server to balancers.
type agent struct {
	n *Node
	// targets are the balancers that this agent announces itself to.
	targets []*target
	// knownBalancers lists balancers that can become targets, the most recently named last.
	knownBalancers []netip.AddrPort
	// avoided holds the balancers that did not answer, each with the time until which this agent
	// avoids it.
	avoided map[netip.AddrPort]time.Time
	// lastReplySet is the last reply set that was not empty.
	lastReplySet []netip.AddrPort
	peers        []sampledPeer
	nextSend     time.Time
}

type sampledPeer struct {
	member.Member
	seen time.Time
}

func newAgent(now time.Time, n *Node) *agent {
	a := &agent{n: n, avoided: map[netip.AddrPort]time.Time{}}
	a.nextSend = now.Add(n.jitter(n.cfg.Timing.AnnouncePeriod))
	return a
}

func (a *agent) tick(now time.Time) {
	a.dropSilentTargets(now)
	a.fillTargets(now)
	if !now.Before(a.nextSend) {
		a.nextSend = now.Add(a.n.cfg.Timing.AnnouncePeriod)
		a.n.self.Sequence++
		a.announce(now, a.targets)
		return
	}
	a.announce(now, a.unacknowledged(now))
}

// unacknowledged returns the targets that have not acknowledged the current
// state, or whose acknowledgement of the last announcement is overdue.
func (a *agent) unacknowledged(now time.Time) []*target {
	overdue := a.n.cfg.Timing.AnnouncePeriod + maxAckDelay
	var list []*target
	for _, t := range a.targets {
		if now.Before(t.nextTry) {
			continue
		}
		if t.acked < t.stateSequence || now.Sub(t.lastAnswer()) > overdue {
			list = append(list, t)
		}
	}
	return list
}

// resume restarts all timeouts after a freeze of the process.
func (a *agent) resume(now time.Time) {
	for _, t := range a.targets {
		t.added = now
		t.lastAck = time.Time{}
	}
}

// announceNow announces a changed state at once; tick repeats it until it is acknowledged.
func (a *agent) announceNow(now time.Time) {
	first := a.n.sequence + 1
	for _, t := range a.targets {
		t.stateSequence = first
		t.attempts = 0
	}
	a.n.self.Sequence++
	a.announce(now, a.targets)
}

func (a *agent) announce(now time.Time, targets []*target) {
	if len(targets) == 0 {
		return
	}
	sequence := a.n.nextSequence()
	m := &Announce{Sequence: sequence, Self: a.n.selfRecord(), Revision: a.n.catalog.Revision()}
	for _, t := range targets {
		if t.stateSequence == 0 {
			t.stateSequence = sequence
		}
		m.First = t.lastAck.IsZero()
		a.n.send(now, ClassHeartbeat, t.addr, m)
		t.nextTry = now.Add(repeatPause(t.attempts))
		t.attempts++
	}
}

// repeatPause returns the pause before an unanswered announcement is repeated.
// It grows, so that many agents do not overload a balancer that cannot keep up.
func repeatPause(attempts int) time.Duration {
	return TickPeriod << min(attempts/repeatsPerPause, maxPauseDoublings)
}

func (a *agent) handle(now time.Time, from netip.AddrPort, m Message) {
	switch m := m.(type) {
	case *AnnounceAck:
		a.handleAck(now, from, m)
	case *Ping:
		a.handlePing(now, from, m)
	default:
		a.n.counters.BadMessages++
	}
}

func (a *agent) handlePing(now time.Time, from netip.AddrPort, m *Ping) {
	a.refute(now, m.Updates)
	a.rememberBalancer(from)
	a.n.send(now, ClassProbe, from, &PingAck{
		Sequence: m.Sequence,
		Self:     a.n.selfRecord(),
		Revision: a.n.catalog.Revision(),
		Released: a.target(from) == nil && len(a.targets) > 0,
	})
}

func (a *agent) handleAck(now time.Time, from netip.AddrPort, m *AnnounceAck) {
	t := a.target(from)
	if t == nil {
		return
	}
	a.refute(now, m.Contested)
	t.lastAck = now
	t.leaving = m.Leaving
	t.attempts = 0
	t.acked = max(t.acked, m.Sequence)
	for _, addr := range m.Balancers {
		a.rememberBalancer(addr)
	}
	a.followOwners(now, m.Owners)
	for _, p := range m.Peers {
		a.addPeer(now, p)
	}
	a.followRevision(now, from, m)
}

// refute announces a higher incarnation if another node suspects this agent or has declared it
// dead.
func (a *agent) refute(now time.Time, updates []member.Member) {
	for _, u := range updates {
		if u.Addr == a.n.self.Addr {
			a.n.raiseIncarnation(now, u.Incarnation)
		}
	}
}

// followRevision updates the agent's catalog, which holds only its own service, to
// the revision of a balancer. It pulls the service only if the service has changed.
func (a *agent) followRevision(now time.Time, from netip.AddrPort, m *AnnounceAck) {
	own := a.n.catalog
	if m.Revision <= own.Revision() {
		return
	}
	current := own.ServiceRevision(a.n.self.Service)
	if _, live := own.ByID(a.n.self.Service); !live && m.ServiceRevision == 0 {
		current = 0 // the balancer has dropped the tombstone
	}
	if own.Revision() > 0 && m.ServiceRevision == current {
		_ = a.n.apply(catalog.Delta{From: own.Revision(), To: m.Revision})
		return
	}
	a.n.pullCatalog(now, from, netip.AddrPort(m.Stream), a.n.self.Service)
}

func (a *agent) addPeer(now time.Time, p member.Member) {
	if p.Addr == a.n.self.Addr {
		return
	}
	a.peers = slices.DeleteFunc(a.peers, func(old sampledPeer) bool { return old.Addr == p.Addr })
	a.peers = append(a.peers, sampledPeer{p, now})
	if len(a.peers) > maxPeers {
		a.peers = slices.Delete(a.peers, 0, 1)
	}
}

func (a *agent) recentPeers(now time.Time) []member.Member {
	var list []member.Member
	for _, p := range a.peers {
		if now.Sub(p.seen) < peerLifetime {
			list = append(list, p.Member)
		}
	}
	return list
}
