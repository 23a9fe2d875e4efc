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
	// searchTime is how long the agents that were asked have to answer; an agent that has
	// not answered by then leaves the outcome open. A backend server that has the flow
	// says so with its answer to the caller, which takes longer than to return a packet.
	searchTime = 150 * time.Millisecond
	// startTime is how long a process that has just started keeps searches open: its
	// view of the agents is not whole yet.
	startTime = time.Second
	// doubtPatience is how long a search stays open in which only agents are missing that
	// have gone silent.
	doubtPatience = 3 * time.Second
	// repeatTime is how long packets of a flow whose search had no result are dropped
	// without another search.
	repeatTime = 300 * time.Millisecond
	// searchTableSize bounds the searches under way or lately ended.
	searchTableSize = 2048
	// maxAsked bounds the agents asked in one search.
	maxAsked = 96
)

// search is the question of a flow's home to all agents that may have the flow.
type search struct {
	// begun is when the search began.
	begun time.Time
	// listed is when the agents to ask were listed, and asked when some were asked last.
	listed, asked time.Time
	// ended is set once the search is over; its flow is not searched for again until
	// some time later.
	ended time.Time
	// waiting lists the agents that have not answered, unsure those that got the packet
	// because they could not tell.
	waiting, unsure []flow.Endpoint
	// rest lists the agents that are asked only if those nearby do not have the flow.
	rest []netip.AddrPort
	// complete is set if the agents asked are all that there are.
	complete bool
	forward  hop.Forward
	front    flow.Endpoint
	ack      uint32
	// reset is set if the caller gets a reset when nobody has the flow.
	reset bool
}

// locate decides about a packet of a flow that neither this agent nor any claim is
// known for: the flow's home asks all agents that may have it.
func (a *Agent) locate(now time.Time, f hop.Forward, p *flow.Packet, d Decision) Decision {
	home, isHome := a.home(d.Key, &f)
	if !isHome {
		f.Visited = append(slices.Clip(f.Visited), a.self)
		return a.passTo(f, d, home, "home")
	}
	if a.mayHoldUnseen(now, d.Key) {
		return a.probe(f, p, d) // the home's own backend server comes first
	}
	if s, ok := a.searches.Get(d.Key); ok && (s.ended.IsZero() || now.Sub(s.ended) < repeatTime) {
		d.Outcome, d.Reason = Unresolved, "search_under_way"
		return d
	}
	s := &search{begun: now, forward: f, front: p.Dst, ack: p.Ack, reset: !p.Flags.Has(flow.RST)}
	s.forward.Packet = slices.Clone(p.Raw)
	a.searches.Add(d.Key, s)
	return a.begin(now, d, s)
}

// begin asks the agents of the data centre whose balancer took the packet: their
// backend servers have most flows of its callers.
func (a *Agent) begin(now time.Time, d Decision, s *search) Decision {
	a.list(now, s)
	near, rest := a.splitByDistance(s.rest, s.forward.Balancer)
	if len(near) == 0 || a.cfg.Directory.IsColdStart(now) {
		return a.askRest(now, d, s) // after a loss of everything nobody has it, in all likelihood
	}
	s.rest = rest
	return a.ask(now, d, s, near)
}

// list notes the agents that may have the flow of a search, as they are known now.
func (a *Agent) list(now time.Time, s *search) {
	agents, complete := a.candidates(s.front)
	s.rest = slices.DeleteFunc(agents, func(agent netip.AddrPort) bool { return agent == a.cfg.Self })
	s.listed, s.complete = now, complete
	s.waiting, s.unsure = s.waiting[:0], nil
}

// splitByDistance returns the agents in the data centre of a balancer, and the others.
// None is near to an unknown balancer.
func (a *Agent) splitByDistance(agents []netip.AddrPort, balancer flow.Endpoint) (near, others []netip.AddrPort) {
	m, known := a.cfg.Directory.Member(balancer.AddrPort())
	for _, agent := range agents {
		other, _ := a.cfg.Directory.Member(agent)
		if known && other.DataCentre == m.DataCentre {
			near = append(near, agent)
		} else {
			others = append(others, agent)
		}
	}
	return near, others
}

// askRest asks all agents of a search that have not been asked yet.
func (a *Agent) askRest(now time.Time, d Decision, s *search) Decision {
	rest := s.rest
	s.rest = nil
	return a.ask(now, d, s, rest)
}

// ask sends the question of a search to some agents.
func (a *Agent) ask(now time.Time, d Decision, s *search, agents []netip.AddrPort) Decision {
	d.Outcome = Searched
	s.asked = now
	q := hop.Query{Key: d.Key, Ack: s.ack, Home: a.self}
	for _, to := range agents {
		s.waiting = append(s.waiting, flow.EndpointOf(to))
		d.Sends = append(d.Sends, hop.Send{To: to, Payload: q.AppendTo(nil)})
	}
	if len(s.waiting) == 0 {
		return a.conclude(now, d, s)
	}
	return d
}

// home returns the agent that keeps track of a flow, and whether it is this one.
// Homes that have passed the packet on, or that do not answer, are left out.
func (a *Agent) home(key flow.Key, f *hop.Forward) (netip.AddrPort, bool) {
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

// candidates returns the agents that may have a flow to front, and whether these
// are all. Flows stay where they are when their route changes, so the services
// of today are not enough.
func (a *Agent) candidates(front flow.Endpoint) (agents []netip.AddrPort, complete bool) {
	if a.cfg.Directory.SearchTargetCount() <= maxAsked {
		return a.cfg.Directory.SearchTargets(), true
	}
	r := a.routes.Lookup(front)
	if r == nil {
		return nil, false
	}
	for _, share := range r.Shares {
		for _, m := range a.cfg.Directory.Agents(share.Service) {
			agents = append(agents, m.Addr)
		}
	}
	return agents[:min(len(agents), maxAsked)], false
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

// HandleAnswer follows the answer of an agent in a search.
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
		return a.passTo(s.forward, d, from, "found")
	case hop.Inconclusive:
		if !slices.Contains(s.unsure, agent) {
			s.unsure = append(s.unsure, agent)
			f := s.forward
			f.Search, f.Balancer = true, a.self
			d.Sends = []hop.Send{{To: from, Payload: f.AppendTo(nil)}}
		}
		return d
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(e flow.Endpoint) bool { return e == agent })
	switch {
	case len(s.waiting) > 0:
		return d
	case len(s.rest) > 0:
		return a.askRest(now, d, s)
	default:
		return a.conclude(now, d, s)
	}
}

// conclude ends a search in which all agents have said that they do not have the
// flow. If these are certainly all agents, the caller is told at once. Otherwise the
// search stays open for a while: a process that has just started may not know all
// agents, and one that is silent may be back.
func (a *Agent) conclude(now time.Time, d Decision, s *search) Decision {
	settled := a.cfg.Directory.IsConverged(now)
	if !settled && now.Sub(s.begun) < doubtPatience {
		return d
	}
	s.end(now)
	if !settled || !s.complete {
		d.Outcome, d.Reason = Unresolved, "members_in_doubt"
		return d
	}
	d.Outcome, d.Reason = FlowReset, "no_agent_has_it"
	if s.reset {
		d.Replies = []Reply{{d.Key.Caller, a.cfg.Codec.Reset(d.Key, s.ack)}}
	}
	return d
}

func (s *search) end(now time.Time) {
	s.ended = now
	s.forward.Packet = nil
}

// reviewSearches goes on with searches that are open, and forgets old ones.
func (a *Agent) reviewSearches(now time.Time) []Decision {
	var decisions []Decision
	for _, key := range a.searches.Keys() {
		s, ok := a.searches.Peek(key)
		switch {
		case !ok:
		case s.ended.IsZero():
			if d, goesOn := a.reviewSearch(now, Decision{Key: key}, s); goesOn {
				decisions = append(decisions, d)
			}
		case now.Sub(s.ended) >= repeatTime:
			a.searches.Remove(key)
		}
	}
	return decisions
}

// reviewSearch goes on with one search, or returns false if there is nothing to do yet.
func (a *Agent) reviewSearch(now time.Time, d Decision, s *search) (Decision, bool) {
	allKnown := s.listed.After(a.cfg.Directory.LastDiscovery())
	allSaidNo := len(s.waiting) == 0
	isYoung := now.Sub(a.started) < startTime+2*searchTime
	switch {
	case allSaidNo && allKnown && (a.cfg.Directory.IsConverged(now) || now.Sub(s.begun) >= doubtPatience):
		return a.conclude(now, d, s), true
	case now.Sub(s.asked) < searchTime, allSaidNo && allKnown:
		return d, false
	case len(s.rest) > 0:
		return a.askRest(now, d, s), true
	case isYoung || allSaidNo:
		a.list(now, s) // some agents are new, or were not heard
		return a.askRest(now, d, s), true
	default:
		s.end(now)
		d.Outcome, d.Reason = Unresolved, "agent_silent"
		return d, true
	}
}
