package flowagent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
)

const (
	// queryTimeout is how long queried agents have to answer. A search that lacks answers ends without a
	// result. An agent that answers Inconclusive gets the packet itself: its backend server either returns
	// the packet or, if it has the flow, answers the caller. That takes longer than a query.
	queryTimeout = 150 * time.Millisecond
	// startupSearchTime is how long a new process keeps searches open, because its view of the
	// agents is not complete yet.
	startupSearchTime = time.Second
	// unresponsiveWait bounds how long a search stays open for unresponsive agents to come back,
	// after all queried agents have answered.
	unresponsiveWait = 3 * time.Second
	// searchRetryDelay is the time after a search without a result during which packets of its flow are
	// dropped and start no new search.
	searchRetryDelay = 300 * time.Millisecond
	// searchTableSize bounds the searches that are open or ended recently.
	searchTableSize = 2048
	// maxQueried bounds the agents queried at a time, maxSearched those queried in one search.
	maxQueried  = 96
	maxSearched = 768
)

// search is a home agent's search for the owner of a flow, among all agents whose backend servers
// may hold it.
type search struct {
	started time.Time
	// targetsListed is when the agents to query were listed, lastQuery when the last queries were sent.
	targetsListed, lastQuery time.Time
	// ended is when the search ended; zero while it is open. A new search for the flow may start
	// searchRetryDelay later.
	ended time.Time
	// pending lists the queried agents that have not denied the flow. Agents that answered Inconclusive are
	// also in inconclusive; they have received the packet.
	pending, inconclusive []flow.Endpoint
	// remaining lists the agents that are queried only if those before them do not have the flow.
	remaining []flow.Endpoint
	// awaited is set while an agent is away that may come back with the flow. The agents that have not answered are queried
	// every searchRetryDelay then, and once more when none is away any longer.
	awaited bool
	// complete is set if no agents except the listed ones may have the flow.
	complete    bool
	forward     hop.Forward
	serviceAddr flow.Endpoint
	ack         uint32
	// sendReset is set if the caller gets a reset when no agent has the flow.
	sendReset bool
}

// locate decides what to do with a packet whose flow is neither known nor claimed here. A home
// agent tries its own backend server and then starts a search; other agents forward the packet to a
// home agent.
func (a *Agent) locate(now time.Time, f hop.Forward, p *flow.Packet, d Decision) Decision {
	home, isHome := a.homeAgent(d.Key, &f)
	if !isHome {
		f.Visited = append(slices.Clip(f.Visited), a.self)
		return a.forwardTo(f, d, home, "home")
	}
	if a.mayHoldUnseen(now, d.Key) {
		return a.probeBackend(f, p, d) // the home agent's own backend server comes first
	}
	if s, ok := a.searches.Get(d.Key); ok && (s.ended.IsZero() || now.Sub(s.ended) < searchRetryDelay) {
		d.Outcome, d.Reason = Unresolved, "search_under_way"
		return d
	}
	s := &search{started: now, forward: f, serviceAddr: p.Dst, ack: p.Ack, sendReset: !p.Flags.Has(flow.RST)}
	s.forward.Packet = slices.Clone(p.Raw)
	a.searches.Add(d.Key, s)
	return a.startSearch(now, d, s)
}

// startSearch queries the agents in the data centre of the balancer that received the packet: their backend
// servers have most flows of that balancer's callers.
func (a *Agent) startSearch(now time.Time, d Decision, s *search) Decision {
	a.listTargets(now, s)
	nearby, others := a.splitByDistance(s.remaining, s.forward.Balancer)
	if len(nearby) == 0 || a.cfg.Directory.IsColdStart(now) {
		return a.queryNext(now, d, s, len(s.remaining)) // after a cold start probably no agent has the flow
	}
	s.remaining = slices.Concat(nearby, others)
	return a.queryNext(now, d, s, len(nearby))
}

// queryNext queries the first agents of a search that have not been queried yet: count of them, but not more than
// maxQueried.
func (a *Agent) queryNext(now time.Time, d Decision, s *search, count int) Decision {
	count = min(count, maxQueried, len(s.remaining))
	agents := s.remaining[:count]
	s.remaining = s.remaining[count:]
	d.Outcome = Searched
	s.lastQuery = now
	q := hop.Query{Key: d.Key, Ack: s.ack, Home: a.self}
	for _, to := range agents {
		s.pending = append(s.pending, to)
		d.Sends = append(d.Sends, hop.Send{To: to.AddrPort(), Payload: q.AppendTo(nil)})
	}
	if len(s.pending) == 0 {
		return a.conclude(now, d, s)
	}
	return d
}

// queryAgain queries the agents again that have not answered, because one that was away may have come back with the flow.
// Those that have been declared dead are not queried; when they come back, all agents are listed anew.
func (a *Agent) queryAgain(now time.Time, d Decision, s *search) Decision {
	silent := slices.DeleteFunc(slices.Clone(s.pending), func(e flow.Endpoint) bool {
		return !a.cfg.Directory.IsSearchTarget(e.AddrPort())
	})
	s.pending, s.remaining = nil, silent
	return a.queryNext(now, d, s, len(silent))
}

// homeAgent returns the home agent that handles a packet of a flow, and whether it is this agent.
// Home agents that have forwarded the packet before or are not alive are skipped; if none is left,
// this agent acts as the home agent.
func (a *Agent) homeAgent(key flow.Key, f *hop.Forward) (netip.AddrPort, bool) {
	for _, home := range a.cfg.Directory.HomeAgents(key, placement.HomeAgentsPerFlow) {
		if home == a.cfg.Self {
			return home, true
		}
		m, known := a.cfg.Directory.Member(home)
		if known && m.Liveness == fleet.Alive && !slices.Contains(f.Visited, flow.EndpointOf(home)) {
			return home, false
		}
	}
	return a.cfg.Self, true
}

// HandleQuery answers whether this agent has a flow.
func (a *Agent) HandleQuery(now time.Time, q hop.Query) []hop.Send {
	answer := hop.Answer{Key: q.Key, Finding: hop.NotHeld}
	probe := flow.Packet{Flags: flow.ACK, Ack: q.Ack}
	switch e := a.flows.Get(q.Key); {
	case e != nil && e.Matches(&probe):
		answer.Finding = hop.Held
	case a.mayHoldUnseen(now, q.Key):
		answer.Finding = hop.Inconclusive
	}
	return []hop.Send{{To: q.Home.AddrPort(), Payload: answer.AppendTo(nil)}}
}

// HandleAnswer processes an agent's answer to a query.
func (a *Agent) HandleAnswer(now time.Time, from netip.AddrPort, answer hop.Answer) Decision {
	d := Decision{Outcome: Searched, Key: answer.Key}
	s, ok := a.searches.Get(answer.Key)
	if !ok || !s.ended.IsZero() {
		return d
	}
	agent := flow.EndpointOf(from)
	switch answer.Finding {
	case hop.Held:
		a.claims.Add(answer.Key, agent)
		a.searches.Remove(answer.Key)
		return a.forwardTo(s.forward, d, from, "found")
	case hop.Inconclusive:
		if !slices.Contains(s.inconclusive, agent) {
			s.inconclusive = append(s.inconclusive, agent)
			f := s.forward
			f.Search, f.Balancer = true, a.self
			d.Sends = []hop.Send{{To: from, Payload: f.AppendTo(nil)}}
		}
		return d
	}
	s.pending = slices.DeleteFunc(s.pending, func(e flow.Endpoint) bool { return e == agent })
	switch {
	case len(s.pending) > 0:
		return d
	case len(s.remaining) > 0:
		return a.queryNext(now, d, s, len(s.remaining))
	default:
		return a.conclude(now, d, s)
	}
}

// conclude ends a search in which all agents have answered that they do not have the flow. If no other agent
// can have the flow, the caller gets a reset. While the view of the members has not converged, the search
// stays open for up to unresponsiveWait: a new process may not know all agents, and an unresponsive agent may
// come back.
func (a *Agent) conclude(now time.Time, d Decision, s *search) Decision {
	converged := a.cfg.Directory.IsConverged(now)
	if !converged && now.Sub(s.started) < unresponsiveWait {
		return d
	}
	s.end(now)
	if !converged || !s.complete {
		d.Outcome, d.Reason = Unresolved, "members_in_doubt"
		return d
	}
	d.Outcome, d.Reason = FlowReset, "no_agent_has_it"
	if s.sendReset {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, s.ack)}}
	}
	return d
}

// end marks the search as ended and releases its packet.
func (s *search) end(now time.Time) {
	s.ended = now
	s.forward.Packet = nil
}

// advanceSearches continues open searches and forgets old ones.
func (a *Agent) advanceSearches(now time.Time) []Decision {
	var decisions []Decision
	for _, key := range a.searches.Keys() {
		s, ok := a.searches.Peek(key)
		switch {
		case !ok:
		case s.ended.IsZero():
			if d, due := a.advanceSearch(now, Decision{Key: key}, s); due {
				decisions = append(decisions, d)
			}
		case now.Sub(s.ended) >= searchRetryDelay:
			a.searches.Remove(key)
		}
	}
	return decisions
}

// advanceSearch continues one search. It returns false if the search has no step due.
func (a *Agent) advanceSearch(now time.Time, d Decision, s *search) (Decision, bool) {
	targetsCurrent := s.targetsListed.After(a.cfg.Directory.LastDiscovery())
	allNotHeld := len(s.pending) == 0
	anyAway := a.cfg.Directory.AnySilentMayReturn(now)
	justStarted := now.Sub(a.started) < startupSearchTime+2*queryTimeout
	switch {
	case allNotHeld && targetsCurrent && (a.cfg.Directory.IsConverged(now) || now.Sub(s.started) >= unresponsiveWait):
		return a.conclude(now, d, s), true
	case now.Sub(s.lastQuery) < queryTimeout, allNotHeld && targetsCurrent:
		return d, false
	case len(s.remaining) > 0:
		return a.queryNext(now, d, s, len(s.remaining)), true
	case justStarted || !targetsCurrent:
		a.listTargets(now, s) // some agents are new, or did not answer
		return a.queryNext(now, d, s, len(s.remaining)), true
	case now.Sub(s.started) < unresponsiveWait && (anyAway || s.awaited):
		isBack := s.awaited && !anyAway
		s.awaited = anyAway
		if !isBack && now.Sub(s.lastQuery) < searchRetryDelay {
			return d, false
		}
		return a.queryAgain(now, d, s), true
	default:
		s.end(now)
		d.Outcome, d.Reason = Unresolved, "agent_silent"
		return d, true
	}
}
