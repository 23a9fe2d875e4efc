package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/presence"
)

// maxSample bounds the lagging nodes that a reply names.
const maxSample = 8

// Status tells which nodes have a catalog revision in force.
type Status struct {
	// Revision is the revision asked about.
	Revision int64
	// Balancers and Agents count the nodes that replied or were spoken for.
	Balancers, Agents int
	// Lagging counts those that do not have the revision in force yet.
	Lagging int
	// Silent counts balancers that have not replied.
	Silent int
	// Sample names some of the lagging and silent nodes.
	Sample []netip.AddrPort
}

// status holds the last question about a revision and the replies to it.
type status struct {
	query  uint32
	wanted int64
	// replies holds one reply for each balancer.
	replies map[netip.AddrPort]*StatusReply
}

// note keeps the revision that a balancer mentioned in any message.
func (s *status) note(from netip.AddrPort, revision int64) {
	if r := s.replies[from]; r != nil && revision >= s.wanted && r.Revision < s.wanted {
		r.Revision = revision
		r.Lagging = max(1, r.Lagging) - 1
	}
}

// QueryStatus asks all balancers whether revision is in force; Status gives the
// answer once replies have come in. Other data centres are asked through one
// balancer each.
func (n *Node) QueryStatus(now time.Time, revision int64) []Output {
	b := n.balancer
	if b == nil {
		return nil
	}
	b.status = status{query: n.nextSequence(), wanted: revision, replies: map[netip.AddrPort]*StatusReply{}}
	b.status.replies[n.self.Addr] = b.statusReply(b.status.query, revision)
	for _, dataCentre := range b.table.DataCentres() {
		for _, r := range b.table.Balancers(dataCentre) {
			if r.Addr != n.self.Addr && isReachable(r) {
				n.send(now, ClassTicket, r.Addr, &StatusQuery{Query: b.status.query, Wanted: revision})
			}
		}
	}
	return n.take()
}

// Status returns what is known of the last QueryStatus.
func (n *Node) Status() Status {
	b := n.balancer
	if b == nil {
		return Status{}
	}
	total := Status{Revision: b.status.wanted}
	for _, dataCentre := range b.table.DataCentres() {
		for _, r := range b.table.Balancers(dataCentre) {
			b.status.count(&total, r)
		}
	}
	slices.SortFunc(total.Sample, netip.AddrPort.Compare)
	return total
}

// count adds the reply of one balancer, or its silence.
func (s *status) count(total *Status, r *presence.Record) {
	if !isReachable(r) {
		return
	}
	reply := s.replies[r.Addr]
	if reply == nil {
		total.Silent++
		total.Sample = append(total.Sample, r.Addr)
		return
	}
	total.Balancers += int(reply.Balancers)
	total.Agents += int(reply.Agents)
	total.Lagging += int(reply.Lagging)
	total.Sample = append(total.Sample, reply.Sample...)
}

func (s *status) handleQuery(now time.Time, b *balancer, from netip.AddrPort, m *StatusQuery) {
	b.n.send(now, ClassTicket, from, b.statusReply(m.Query, m.Wanted))
}

func (s *status) handleReply(from netip.AddrPort, m *StatusReply) {
	if m.Query == s.query && s.replies != nil {
		s.replies[from] = m
	}
}

// statusReply speaks for this balancer and the agents that it owns.
func (b *balancer) statusReply(query uint32, wanted int64) *StatusReply {
	reply := &StatusReply{Query: query, Revision: b.n.catalog.Revision(), Balancers: 1}
	if reply.Revision < wanted {
		reply.lag(b.n.self.Addr)
	}
	b.detector.announcedAgents(func(o *observation, r *presence.Record) {
		reply.Agents++
		if o.revision < wanted {
			reply.lag(r.Addr)
		}
	})
	return reply
}

func (r *StatusReply) lag(a netip.AddrPort) {
	r.Lagging++
	if len(r.Sample) < maxSample {
		r.Sample = append(r.Sample, a)
	}
}
