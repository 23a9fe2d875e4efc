package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/presence"
)

// Limits and timeouts of status queries.
const (
	// maxSample bounds the lagging and silent nodes that a reply lists.
	maxSample = 8
	// queryRetry is the time between two queries to one balancer.
	queryRetry = time.Second
	// collectTimeout is how long a balancer collects the replies of its data centre.
	collectTimeout = 8 * time.Second
	// relayRetry is the time between two queries to balancers of one other data centre.
	relayRetry = collectTimeout + 2*time.Second
	// maxCollections bounds the queries that a balancer collects replies for at a time.
	maxCollections = 4
)

// Status is the result, so far, of a query of which nodes have applied a catalog revision.
type Status struct {
	// Revision is the revision that the query asks about.
	Revision int64
	// DataCentres holds one entry for each data centre, sorted by name.
	DataCentres []DataCentreStatus
}

// DataCentreStatus is the status of one data centre.
type DataCentreStatus struct {
	Name string
	// Complete is set once the reply of the data centre has arrived.
	Complete bool
	// Balancers and Agents count the nodes that the reply covers.
	Balancers, Agents int
	// Lagging counts the covered nodes that have not applied the revision yet.
	Lagging int
	// Silent counts balancers that have not replied.
	Silent int
	// Sample lists some of the lagging and silent nodes.
	Sample []netip.AddrPort
}

// status finds out which nodes have applied a revision. A query spreads as a
// tree: one balancer of each data centre queries the others there and replies
// with the sum.
type status struct {
	b           *balancer
	local       *localQuery
	collections []*collection
}

// localQuery is the last query that was started at this node.
type localQuery struct {
	query   uint32
	wanted  int64
	relays  []*relay
	replies map[string]*StatusReply
}

// relay is another data centre that must reply.
type relay struct {
	dataCentre string
	next       time.Time
}

// collection collects the replies of this data centre.
type collection struct {
	query uint32
	// origin and originQuery identify the node that sent the query and the query itself.
	origin      netip.AddrPort
	originQuery uint32
	wanted      int64
	waiting     []*pendingReply
	total       StatusReply
	deadline    time.Time
}

// pendingReply is a balancer that has not replied.
type pendingReply struct {
	addr netip.AddrPort
	next time.Time
}

// QueryStatus starts a query of which nodes have applied revision; Status returns
// the replies as they arrive. A later query replaces an earlier one.
func (n *Node) QueryStatus(now time.Time, revision int64) []Output {
	if n.balancer == nil {
		return nil
	}
	n.balancer.status.start(now, revision)
	return n.takeOutputs()
}

// Status returns the result so far of the last QueryStatus.
func (n *Node) Status() Status {
	if n.balancer == nil || n.balancer.status.local == nil {
		return Status{}
	}
	return n.balancer.status.result()
}

func (s *status) start(now time.Time, revision int64) {
	n := s.b.n
	q := &localQuery{query: n.nextSequence(), wanted: revision, replies: map[string]*StatusReply{}}
	s.local = q
	s.collect(now, n.self.Addr, q.query, revision)
	for _, dataCentre := range s.b.table.DataCentres() {
		if dataCentre != n.self.DataCentre {
			q.relays = append(q.relays, &relay{dataCentre: dataCentre})
		}
	}
	s.tick(now)
}

func (s *status) result() Status {
	q := s.local
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
	s.queryRelays(now)
	s.collections = slices.DeleteFunc(s.collections, func(c *collection) bool {
		return s.advance(now, c)
	})
}

// queryRelays queries one balancer of each other data centre that has not replied.
func (s *status) queryRelays(now time.Time) {
	if s.local == nil {
		return
	}
	for _, r := range s.local.relays {
		if s.local.replies[r.dataCentre] != nil || now.Before(r.next) {
			continue
		}
		r.next = now.Add(relayRetry)
		if peer := s.b.randomBalancer(r.dataCentre); peer != nil {
			query := &StatusQuery{Query: s.local.query, Wanted: s.local.wanted, Relay: true}
			s.b.n.send(now, ClassTicket, peer.Addr, query)
		}
	}
}

// collect starts to collect the replies of this data centre. When there are too
// many collections, it drops the oldest.
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
			c.waiting = append(c.waiting, &pendingReply{addr: r.Addr})
		}
	}
	s.collections = append(s.collections, c)
}

// advance queries the balancers of a collection as the budget allows, and reports
// whether the collection is finished.
func (s *status) advance(now time.Time, c *collection) bool {
	if len(c.waiting) == 0 || !now.Before(c.deadline) {
		s.finish(now, c)
		return true
	}
	for _, p := range c.waiting {
		if now.Before(p.next) {
			continue
		}
		if !s.b.n.send(now, ClassTicket, p.addr, &StatusQuery{Query: c.query, Wanted: c.wanted}) {
			break
		}
		p.next = now.Add(queryRetry)
	}
	return false
}

func (s *status) finish(now time.Time, c *collection) {
	c.total.Query = c.originQuery
	c.total.DataCentre = s.b.n.self.DataCentre
	c.total.Silent = uint32(len(c.waiting))
	for _, p := range c.waiting {
		c.total.addSample(p.addr)
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
	if s.local != nil && m.Query == s.local.query {
		s.local.replies[m.DataCentre] = m
		return
	}
	for _, c := range s.collections {
		if c.query == m.Query {
			c.add(from, m)
		}
	}
}

func (c *collection) add(from netip.AddrPort, m *StatusReply) {
	at := slices.IndexFunc(c.waiting, func(p *pendingReply) bool { return p.addr == from })
	if at < 0 {
		return
	}
	c.waiting = slices.Delete(c.waiting, at, at+1)
	c.total.Balancers += m.Balancers
	c.total.Agents += m.Agents
	c.total.Lagging += m.Lagging
	for _, a := range m.Sample {
		c.total.addSample(a)
	}
}

// reply returns the reply for this balancer and the agents of which it is the first owner.
func (s *status) reply(query uint32, wanted int64) *StatusReply {
	reply := &StatusReply{Query: query, Balancers: 1}
	if s.b.n.catalog.Revision() < wanted {
		reply.addLagging(s.b.n.self.Addr)
	}
	s.b.detector.announcedAgents(func(o *observation, r *presence.Record) {
		reply.Agents++
		if o.revision < wanted {
			reply.addLagging(r.Addr)
		}
	})
	return reply
}

func (r *StatusReply) addLagging(a netip.AddrPort) {
	r.Lagging++
	r.addSample(a)
}

func (r *StatusReply) addSample(a netip.AddrPort) {
	if len(r.Sample) < maxSample {
		r.Sample = append(r.Sample, a)
	}
}
