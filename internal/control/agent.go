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
	// shunTime is how long an agent avoids a balancer that did not answer.
	shunTime = 5 * time.Second
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
	// shunned maps balancers that did not answer to the end of their avoidance.
	shunned map[netip.AddrPort]time.Time
	// lastSet is the last reply set that was not empty.
	lastSet  []netip.AddrPort
	peers    []sampledPeer
	nextSend time.Time
}

// target is a balancer that observes this agent.
type target struct {
	addr    netip.AddrPort
	added   time.Time
	lastAck time.Time
	// attempts counts the announcements since the last answer.
	attempts int
	// nextTry is the earliest time to repeat an unanswered announcement.
	nextTry time.Time
	// stated is the sequence number of the first announcement of the current state.
	stated uint32
	// acked is the highest acknowledged sequence number.
	acked uint32
}

type sampledPeer struct {
	member.Member
	seen time.Time
}

func newAgent(now time.Time, n *Node) *agent {
	a := &agent{n: n, shunned: map[netip.AddrPort]time.Time{}}
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

// heard returns when the balancer last answered, or when it was chosen.
func (t *target) heard() time.Time {
	if t.lastAck.IsZero() {
		return t.added
	}
	return t.lastAck
}

// thaw starts all waits anew after the process was frozen.
func (a *agent) thaw(now time.Time) {
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

// dropSilentTargets gives up balancers that have not answered in time.
func (a *agent) dropSilentTargets(now time.Time) {
	timeout := a.n.cfg.Timing.AckTimeout
	a.targets = slices.DeleteFunc(a.targets, func(t *target) bool {
		if now.Sub(t.heard()) < timeout {
			return false
		}
		a.shunned[t.addr] = now.Add(shunTime)
		return true
	})
	for addr, until := range a.shunned {
		if !now.Before(until) {
			delete(a.shunned, addr)
		}
	}
}

// fillTargets replaces lost balancers by known ones, the latest named first,
// then by the seeds.
func (a *agent) fillTargets(now time.Time) {
	if len(a.targets) == 0 {
		clear(a.shunned)
	}
	for i := len(a.known) - 1; i >= 0 && len(a.targets) < observers; i-- {
		a.addTarget(now, a.known[i])
	}
	if len(a.targets) >= observers || len(a.n.cfg.Seeds) == 0 {
		return
	}
	offset := a.n.cfg.Rand.IntN(len(a.n.cfg.Seeds))
	for i := range a.n.cfg.Seeds {
		if len(a.targets) < observers {
			a.addTarget(now, a.n.cfg.Seeds[(offset+i)%len(a.n.cfg.Seeds)])
		}
	}
}

func (a *agent) addTarget(now time.Time, addr netip.AddrPort) {
	if _, avoid := a.shunned[addr]; avoid || a.target(addr) != nil {
		return
	}
	a.targets = append(a.targets, &target{addr: addr, added: now})
	a.nextSend = now
}

func (a *agent) target(addr netip.AddrPort) *target {
	for _, t := range a.targets {
		if t.addr == addr {
			return t
		}
	}
	return nil
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

// followOwners announces to the balancers that own this agent by rendezvous, so
// that owners need not ask. One replacement at a time keeps the others stable.
func (a *agent) followOwners(now time.Time, owners []netip.AddrPort) {
	for _, addr := range owners {
		a.remember(addr)
		if a.target(addr) != nil {
			continue
		}
		if len(a.targets) < observers {
			a.addTarget(now, addr)
			continue
		}
		a.replaceTarget(now, addr, owners)
		return
	}
}

func (a *agent) replaceTarget(now time.Time, addr netip.AddrPort, owners []netip.AddrPort) {
	if _, avoid := a.shunned[addr]; avoid {
		return
	}
	for i, t := range a.targets {
		if !slices.Contains(owners, t.addr) {
			a.targets = slices.Delete(a.targets, i, i+1)
			a.addTarget(now, addr)
			return
		}
	}
}

// remember keeps addr as the latest named balancer.
func (a *agent) remember(addr netip.AddrPort) {
	if i := slices.Index(a.known, addr); i >= 0 {
		a.known = slices.Delete(a.known, i, i+1)
	}
	a.known = append(a.known, addr)
	if len(a.known) > maxKnownBalancers {
		a.known = slices.Delete(a.known, 0, 1)
	}
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

// replyTargets returns the balancers that answered lately, or the last known
// set when none did.
func (a *agent) replyTargets(now time.Time) []netip.AddrPort {
	var set []netip.AddrPort
	for _, t := range a.targets {
		if !t.lastAck.IsZero() && now.Sub(t.lastAck) < a.n.cfg.Timing.AckTimeout {
			set = append(set, t.addr)
		}
	}
	if len(set) > 0 {
		a.lastSet = set
	}
	return a.lastSet
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
