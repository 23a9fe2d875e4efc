package opening

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var (
	start  = time.Unix(1_800_000_000, 0)
	agentA = netip.MustParseAddrPort("127.1.0.1:7000")
	agentB = netip.MustParseAddrPort("127.1.0.2:7000")
	agentC = netip.MustParseAddrPort("127.1.0.3:7000")
	agentD = netip.MustParseAddrPort("127.1.0.4:7000")
	destID = []byte("chosen-by-caller")
)

func packet(payload string, candidates ...netip.AddrPort) Packet {
	return Packet{DestID: destID, Candidates: candidates, Payload: []byte(payload)}
}

// network simulates the agents and the datagrams between them.
type network struct {
	tables map[netip.AddrPort]*Table
	// full holds the agents that accept no new flows.
	full map[netip.AddrPort]bool
	// offloads, if set, reports whether an agent forwards a flow that it could accept.
	offloads  func() bool
	delivered map[netip.AddrPort]map[string]bool
	refused   int
	forwarded int
	inFlight  []Send
}

func newNetwork(agents ...netip.AddrPort) *network {
	n := &network{
		tables:    make(map[netip.AddrPort]*Table),
		full:      make(map[netip.AddrPort]bool),
		delivered: make(map[netip.AddrPort]map[string]bool),
	}
	for _, agent := range agents {
		n.tables[agent] = NewTable(agent)
		n.delivered[agent] = make(map[string]bool)
	}
	return n
}

// receive lets an agent handle a packet.
func (n *network) receive(at netip.AddrPort, p Packet) {
	acceptsFlows := !n.full[at]
	if _, ok := n.tables[at].OffloadTarget(p); ok && acceptsFlows && n.offloads != nil {
		acceptsFlows = !n.offloads()
	}
	action, sends := n.tables[at].HandlePacket(start, p, acceptsFlows)
	n.inFlight = append(n.inFlight, sends...)
	switch action {
	case Deliver:
		n.delivered[at][string(p.Payload)] = true
	case Refuse:
		n.refused++
	case Forward:
		n.forwarded++
	case Drop:
	}
}

// deliverAt delivers the datagram in flight at index i.
func (n *network) deliverAt(i int) {
	send := n.inFlight[i]
	n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
	if send.Claim {
		n.inFlight = append(n.inFlight, n.tables[send.To].HandleClaim(start, send.DestID, send.Owner)...)
		return
	}
	n.receive(send.To, send.Packet)
}

func (n *network) deliverAll() {
	for len(n.inFlight) > 0 {
		n.deliverAt(0)
	}
}

// countWithAll returns the number of agents that received all of the given datagrams.
func (n *network) countWithAll(payloads ...string) int {
	count := 0
	for _, got := range n.delivered {
		all := true
		for _, payload := range payloads {
			all = all && got[payload]
		}
		if all {
			count++
		}
	}
	return count
}

// Two balancers with different views send the two datagrams of a ClientHello to
// different agents. If no agent received both, the handshake would fail. One agent
// must receive both, in any order of events, as long as the candidate lists share
// an agent.
func TestSplitClientHelloReachesOneAgent(t *testing.T) {
	t.Run("one full agent, others may offload", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) { checkSplitClientHello(t, 1, true) })
	})
	t.Run("two full agents", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) { checkSplitClientHello(t, 2, false) })
	})
}

func checkSplitClientHello(t *rapid.T, full int, offload bool) {
	agents := []netip.AddrPort{agentA, agentB, agentC, agentD}
	n := newNetwork(agents...)
	shared := rapid.SampledFrom(agents).Draw(t, "shared")
	for range full {
		n.full[rapid.SampledFrom(agents).Draw(t, "full agent")] = rapid.Bool().Draw(t, "is full")
	}
	if offload {
		n.offloads = func() bool { return rapid.Bool().Draw(t, "offloads") }
	}
	lists := make([][]netip.AddrPort, 2)
	for i := range lists {
		list := rapid.Permutation(agents).Draw(t, "list")[:3]
		if !contains(list, shared) {
			list[rapid.IntRange(0, 2).Draw(t, "place")] = shared
		}
		lists[i] = list
	}
	n.receive(lists[0][0], packet("first", lists[0]...))
	for range rapid.IntRange(0, 4).Draw(t, "events before second") {
		n.step(t)
	}
	n.receive(lists[1][0], packet("second", lists[1]...))
	for range 100 {
		if len(n.inFlight) == 0 {
			break
		}
		n.step(t)
	}
	if len(n.inFlight) != 0 {
		t.Fatal("datagrams loop between agents")
	}
	if n.refused > 0 {
		t.Fatal("a flow was refused although an agent accepts flows")
	}
	if n.countWithAll("first", "second") == 0 {
		t.Fatalf("no agent received both datagrams: %v", n.delivered)
	}
}

func (n *network) step(t *rapid.T) {
	if len(n.inFlight) > 0 {
		n.deliverAt(rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "next"))
	}
}

func contains(list []netip.AddrPort, addr netip.AddrPort) bool {
	for _, entry := range list {
		if entry == addr {
			return true
		}
	}
	return false
}

func TestFullAgentForwards(t *testing.T) {
	is := is.New(t)
	n := newNetwork(agentA, agentB, agentC)
	n.full[agentA] = true
	n.receive(agentA, packet("first", agentA, agentB, agentC))
	n.full[agentA] = false // the second datagram still follows the first
	n.receive(agentA, packet("second", agentA, agentB, agentC))
	n.deliverAll()
	is.True(n.delivered[agentB]["first"])
	is.True(n.delivered[agentB]["second"])
	is.Equal(len(n.delivered[agentA]), 0)
}

// An agent that offloads a flow to the last candidate would cause a refusal if
// that candidate cannot accept the flow.
func TestOffloadTargetLeavesOneCandidate(t *testing.T) {
	cases := []struct {
		name       string
		hops       uint8
		candidates []netip.AddrPort
		want       netip.AddrPort
	}{
		{"first of three", 0, []netip.AddrPort{agentA, agentB, agentC}, agentB},
		{"first of two", 0, []netip.AddrPort{agentA, agentB}, netip.AddrPort{}},
		{"second of three", 1, []netip.AddrPort{agentB, agentA, agentC}, netip.AddrPort{}},
		{"alone", 0, []netip.AddrPort{agentA}, netip.AddrPort{}},
		{"final hop", FinalHop, nil, netip.AddrPort{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := packet("first", c.candidates...)
			p.Hops = c.hops
			got, ok := NewTable(agentA).OffloadTarget(p)
			is.Equal(got, c.want)
			is.Equal(ok, c.want.IsValid())
		})
	}
}

func TestAllFullRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork(agentA, agentB, agentC)
	n.full = map[netip.AddrPort]bool{agentA: true, agentB: true, agentC: true}
	n.receive(agentA, packet("first", agentA, agentB, agentC))
	n.deliverAll()
	is.Equal(n.refused, 1)
	is.Equal(n.forwarded, 2) // each candidate is tried once
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable(agentA)
	for i := range MaxFlows + 100 {
		id := []byte{byte(i >> 16), byte(i >> 8), byte(i)}
		table.HandlePacket(start, Packet{DestID: id, Payload: []byte("x")}, true)
	}
	is.Equal(table.Len(), MaxFlows)
	table.HandlePacket(start.Add(Lifetime+time.Second), packet("late"), true)
	is.Equal(table.Len(), 1)
}
