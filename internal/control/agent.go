package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/member"
)

// Bounds of what an agent remembers.
const (
	maxKnownBalancers = 32
	maxPeers          = 16
	// peerLifetime is how long a sampled peer stays usable.
	peerLifetime = 10 * time.Second
	// avoidTime is how long an agent avoids a balancer that did not answer.
	avoidTime = 5 * time.Second
	// answerTime is how long an answer may take before the announcement is repeated.
	answerTime = 200 * time.Millisecond
	// repeatsPerPause is the number of repeats before their pause doubles.
	repeatsPerPause = 4
	// maxPauseDoublings bounds the growth of the pause between repeats.
	maxPauseDoublings = 3
)

// agent is the part of a Node that announces a backend server.
type agent struct {
	n *Node
	// targets are the balancers that this agent announces itself to.
	targets []*target
	// known lists other balancers, the latest named last.
	known []netip.AddrPort
	// avoided maps balancers that did not answer to the end of their avoidance.
	avoided map[netip.AddrPort]time.Time
	// lastSet is the last reply set that was not empty.
	lastSet  []netip.AddrPort
	peers    []sampledPeer
	nextSend time.Time
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

// unacknowledged returns the targets that have not confirmed the current state,
// or whose answer to the last announcement is overdue.
func (a *agent) unacknowledged(now time.Time) []*target {
	overdue := a.n.cfg.Timing.AnnouncePeriod + answerTime
	var list []*target
	for _, t := range a.targets {
		if now.Before(t.nextTry) {
			continue
		}
		if t.acked < t.stated || now.Sub(t.heard()) > overdue {
			list = append(list, t)
		}
	}
	return list
}

// resume starts all waits anew after the process was frozen.
func (a *agent) resume(now time.Time) {
	for _, t := range a.targets {
		t.added = now
		t.lastAck = time.Time{}
	}
}

// announceNow sends a changed state at once; tick repeats it until acknowledged.
func (a *agent) announceNow(now time.Time) {
	first := a.n.sequence + 1
	for _, t := range a.targets {
		t.stated = first
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
	m := &Announce{Sequence: sequence, Self: a.n.record(), Revision: a.n.catalog.Revision()}
	for _, t := range targets {
		if t.stated == 0 {
			t.stated = sequence
		}
		m.First = t.lastAck.IsZero()
		a.n.send(now, ClassHeartbeat, t.addr, m)
		t.nextTry = now.Add(repeatPause(t.attempts))
		t.attempts++
	}
}

// repeatPause returns the pause before an unanswered announcement is repeated.
// It grows, so that many agents do not swamp a balancer that cannot keep up.
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
	a.learnContest(now, m.Updates)
	a.remember(from)
	a.n.send(now, ClassProbe, from, &PingAck{
		Sequence: m.Sequence,
		Self:     a.n.record(),
		Revision: a.n.catalog.Revision(),
		Released: a.target(from) == nil && len(a.targets) > 0,
	})
}

func (a *agent) handleAck(now time.Time, from netip.AddrPort, m *AnnounceAck) {
	t := a.target(from)
	if t == nil {
		return
	}
	a.learnContest(now, m.Contested)
	t.lastAck = now
	t.leaving = m.Leaving
	t.attempts = 0
	t.acked = max(t.acked, m.Sequence)
	for _, addr := range m.Balancers {
		a.remember(addr)
	}
	a.followOwners(now, m.Owners)
	for _, p := range m.Peers {
		a.addPeer(now, p)
	}
	a.followRevision(now, from, m)
}

// learnContest answers a suspicion or a death by a higher incarnation.
func (a *agent) learnContest(now time.Time, updates []member.Member) {
	for _, u := range updates {
		if u.Addr == a.n.self.Addr {
			a.n.raiseIncarnation(now, u.Incarnation)
		}
	}
}

// followRevision moves the agent's catalog, which holds its own service only.
func (a *agent) followRevision(now time.Time, from netip.AddrPort, m *AnnounceAck) {
	own := a.n.catalog
	if m.Revision <= own.Revision() {
		return
	}
	held := own.ServiceRevision(a.n.self.Service)
	if _, live := own.ByID(a.n.self.Service); !live && m.ServiceRevision == 0 {
		held = 0 // the balancer has forgotten the tombstone
	}
	if own.Revision() > 0 && m.ServiceRevision == held {
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
