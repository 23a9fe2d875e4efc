package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/presence"
)

// Rules of status queries.
const (
	// maxSample bounds the lagging nodes that a reply names.
	maxSample = 8
	// askRetry is the time between two queries to one balancer.
	askRetry = time.Second
	// collectTimeout is how long the replies of one data centre are waited for.
	collectTimeout = 8 * time.Second
	// relayRetry is the time after which another balancer is asked for its data centre.
	relayRetry = collectTimeout + 2*time.Second
	// maxCollections bounds the queries that a balancer works on at a time.
	maxCollections = 4
)

// Status tells which nodes have a catalog revision in force.
type Status struct {
	// Revision is the revision asked about.
	Revision int64
	// DataCentres are the replies so far, sorted by name.
	DataCentres []DataCentreStatus
}

// DataCentreStatus is the status of one data centre.
type DataCentreStatus struct {
	Name string
	// Complete is false while replies are waited for.
	Complete bool
	// Balancers and Agents count the nodes that replied or were spoken for.
	Balancers, Agents int
	// Lagging counts those that do not have the revision in force yet.
	Lagging int
	// Silent counts balancers that have not replied.
	Silent int
	// Sample names some of the lagging and silent nodes.
	Sample []netip.AddrPort
}

// status answers who has a revision in force. A query is spread as a tree: one
// balancer of each data centre asks the others there and sends up the sum.
type status struct {
	b           *balancer
	question    *question
	collections []*collection
}

// question is what this node's own operator asked last.
type question struct {
	query   uint32
	wanted  int64
	relays  []*relay
	replies map[string]*StatusReply
}

// relay is another data centre that has to reply.
type relay struct {
	dataCentre string
	next       time.Time
}

// collection gathers the replies of this data centre.
type collection struct {
	query uint32
	// origin and originQuery name the question that this answers.
	origin      netip.AddrPort
	originQuery uint32
	wanted      int64
	waiting     []*asked
	total       StatusReply
	deadline    time.Time
}

// asked is a balancer that has not replied.
type asked struct {
	addr netip.AddrPort
	next time.Time
}

// QueryStatus asks all nodes whether revision is in force; Status gives the
// answer as replies come in. A later question replaces an earlier one.
func (n *Node) QueryStatus(now time.Time, revision int64) []Output {
	if n.balancer == nil {
		return nil
	}
	n.balancer.status.ask(now, revision)
	return n.take()
}

// Status returns what is known of the last QueryStatus.
func (n *Node) Status() Status {
	if n.balancer == nil || n.balancer.status.question == nil {
		return Status{}
	}
	return n.balancer.status.answer()
}

func (s *status) ask(now time.Time, revision int64) {
	n := s.b.n
	q := &question{query: n.nextSequence(), wanted: revision, replies: map[string]*StatusReply{}}
	s.question = q
	s.collect(now, n.self.Addr, q.query, revision)
	for _, dataCentre := range s.b.table.DataCentres() {
		if dataCentre != n.self.DataCentre {
			q.relays = append(q.relays, &relay{dataCentre: dataCentre})
		}
	}
	s.tick(now)
}

func (s *status) answer() Status {
	q := s.question
	total := Status{Revision: q.wanted}
	names := []string{s.b.n.self.DataCentre}
	for _, r := range q.relays {
		names = append(names, r.dataCentre)
	}
	slices.Sort(names)
	for _, name := range names {
		dc := DataCentreStatus{Name: name}
		if reply := q.replies[name]; reply != nil {
			dc.Complete = true
			dc.Balancers, dc.Agents = int(reply.Balancers), int(reply.Agents)
			dc.Lagging, dc.Silent = int(reply.Lagging), int(reply.Silent)
			dc.Sample = reply.Sample
		}
		total.DataCentres = append(total.DataCentres, dc)
	}
	return total
}

func (s *status) tick(now time.Time) {
	s.askRelays(now)
	s.collections = slices.DeleteFunc(s.collections, func(c *collection) bool {
		return s.advance(now, c)
	})
}

// askRelays asks one balancer of each data centre that has not replied.
func (s *status) askRelays(now time.Time) {
	if s.question == nil {
		return
	}
	for _, r := range s.question.relays {
		if s.question.replies[r.dataCentre] != nil || now.Before(r.next) {
			continue
		}
		r.next = now.Add(relayRetry)
		if peer := s.b.randomBalancer(r.dataCentre); peer != nil {
			query := &StatusQuery{Query: s.question.query, Wanted: s.question.wanted, Relay: true}
			s.b.n.send(now, ClassTicket, peer.Addr, query)
		}
	}
}

// collect starts to gather the replies of this data centre.
func (s *status) collect(now time.Time, origin netip.AddrPort, originQuery uint32, wanted int64) {
	if len(s.collections) >= maxCollections {
		s.collections = slices.Delete(s.collections, 0, 1)
	}
	c := &collection{
		query:       s.b.n.nextSequence(),
		origin:      origin,
		originQuery: originQuery,
		wanted:      wanted,
		deadline:    now.Add(collectTimeout),
	}
	c.total = *s.reply(c.query, wanted)
	for _, r := range s.b.table.Balancers(s.b.n.self.DataCentre) {
		if r.Addr != s.b.n.self.Addr && isReachable(r) {
			c.waiting = append(c.waiting, &asked{addr: r.Addr})
		}
	}
	s.collections = append(s.collections, c)
}

// advance asks the balancers of a collection as the budget allows, and reports
// whether the collection is finished.
func (s *status) advance(now time.Time, c *collection) bool {
	if len(c.waiting) == 0 || !now.Before(c.deadline) {
		s.finish(now, c)
		return true
	}
	for _, a := range c.waiting {
		if now.Before(a.next) {
			continue
		}
		if !s.b.n.send(now, ClassTicket, a.addr, &StatusQuery{Query: c.query, Wanted: c.wanted}) {
			break
		}
		a.next = now.Add(askRetry)
	}
	return false
}

func (s *status) finish(now time.Time, c *collection) {
	c.total.Query = c.originQuery
	c.total.DataCentre = s.b.n.self.DataCentre
	c.total.Silent = uint32(len(c.waiting))
	for _, a := range c.waiting {
		c.total.name(a.addr)
	}
	if c.origin == s.b.n.self.Addr {
		s.handleReply(c.origin, &c.total)
		return
	}
	s.b.n.send(now, ClassTicket, c.origin, &c.total)
}

func (s *status) handleQuery(now time.Time, from netip.AddrPort, m *StatusQuery) {
	if m.Relay {
		s.collect(now, from, m.Query, m.Wanted)
		return
	}
	s.b.n.send(now, ClassTicket, from, s.reply(m.Query, m.Wanted))
}

func (s *status) handleReply(from netip.AddrPort, m *StatusReply) {
	if s.question != nil && m.Query == s.question.query {
		s.question.replies[m.DataCentre] = m
		return
	}
	for _, c := range s.collections {
		if c.query == m.Query {
			c.add(from, m)
		}
	}
}

func (c *collection) add(from netip.AddrPort, m *StatusReply) {
	at := slices.IndexFunc(c.waiting, func(a *asked) bool { return a.addr == from })
	if at < 0 {
		return
	}
	c.waiting = slices.Delete(c.waiting, at, at+1)
	c.total.Balancers += m.Balancers
	c.total.Agents += m.Agents
	c.total.Lagging += m.Lagging
	for _, a := range m.Sample {
		c.total.name(a)
	}
}

// reply speaks for this balancer and the agents that it owns.
func (s *status) reply(query uint32, wanted int64) *StatusReply {
	reply := &StatusReply{Query: query, Balancers: 1}
	if s.b.n.catalog.Revision() < wanted {
		reply.lag(s.b.n.self.Addr)
	}
	s.b.detector.announcedAgents(func(o *observation, r *presence.Record) {
		reply.Agents++
		if o.revision < wanted {
			reply.lag(r.Addr)
		}
	})
	return reply
}

func (r *StatusReply) lag(a netip.AddrPort) {
	r.Lagging++
	r.name(a)
}

func (r *StatusReply) name(a netip.AddrPort) {
	if len(r.Sample) < maxSample {
		r.Sample = append(r.Sample, a)
	}
}
