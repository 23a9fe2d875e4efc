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

// network holds the agents and the datagrams between them.
type network struct {
	tables    map[netip.AddrPort]*Table
	unwilling map[netip.AddrPort]bool
	// prefersOther, if set, reports whether a willing agent would rather pass a flow.
	prefersOther func() bool
	delivered    map[netip.AddrPort]map[string]bool
	refused      int
	passes       int
	inFlight     []Send
}

func newNetwork(agents ...netip.AddrPort) *network {
	n := &network{
		tables:    make(map[netip.AddrPort]*Table),
		unwilling: make(map[netip.AddrPort]bool),
		delivered: make(map[netip.AddrPort]map[string]bool),
	}
	for _, agent := range agents {
		n.tables[agent] = NewTable(agent)
		n.delivered[agent] = make(map[string]bool)
	}
	return n
}

func (n *network) arrive(at netip.AddrPort, p Packet) {
	willing := !n.unwilling[at]
	if _, ok := n.tables[at].OffloadTarget(p); ok && willing && n.prefersOther != nil {
		willing = !n.prefersOther()
	}
	fate, sends := n.tables[at].HandlePacket(start, p, willing)
	n.inFlight = append(n.inFlight, sends...)
	switch fate {
	case Deliver:
		n.delivered[at][string(p.Payload)] = true
	case Refuse:
		n.refused++
	case Forward:
		n.passes++
	case Drop:
	}
}

// deliverAt hands over the datagram in flight at index i.
func (n *network) deliverAt(i int) {
	send := n.inFlight[i]
	n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
	if send.Claim {
		n.inFlight = append(n.inFlight, n.tables[send.To].HandleClaim(start, send.DestID, send.Owner)...)
		return
	}
	n.arrive(send.To, send.Packet)
}

func (n *network) settle() {
	for len(n.inFlight) > 0 {
		n.deliverAt(0)
	}
}

// whole returns the agents that got all of the given datagrams.
func (n *network) whole(payloads ...string) int {
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

// Whatever two balancers believe, as long as their candidate lists share an
// agent, some agent gets both datagrams of a ClientHello, in any order of events:
// with one agent unable to take flows and others that prefer to pass them, and
// with two unable ones.
func TestSplitClientHelloComesTogether(t *testing.T) {
	t.Run("one unwilling, others prefer to pass", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) { checkSplitClientHello(t, 1, true) })
	})
	t.Run("two unwilling", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) { checkSplitClientHello(t, 2, false) })
	})
}

func checkSplitClientHello(t *rapid.T, unwilling int, prefer bool) {
	agents := []netip.AddrPort{agentA, agentB, agentC, agentD}
	n := newNetwork(agents...)
	shared := rapid.SampledFrom(agents).Draw(t, "shared")
	for range unwilling {
		n.unwilling[rapid.SampledFrom(agents).Draw(t, "unwilling")] = rapid.Bool().Draw(t, "is unwilling")
	}
	if prefer {
		n.prefersOther = func() bool { return rapid.Bool().Draw(t, "prefers other") }
	}
	lists := make([][]netip.AddrPort, 2)
	for i := range lists {
		list := rapid.Permutation(agents).Draw(t, "list")[:3]
		if !contains(list, shared) {
			list[rapid.IntRange(0, 2).Draw(t, "place")] = shared
		}
		lists[i] = list
	}
	n.arrive(lists[0][0], packet("first", lists[0]...))
	for range rapid.IntRange(0, 4).Draw(t, "events before second") {
		n.step(t)
	}
	n.arrive(lists[1][0], packet("second", lists[1]...))
	for range 100 {
		if len(n.inFlight) == 0 {
			break
		}
		n.step(t)
	}
	if len(n.inFlight) != 0 {
		t.Fatal("datagrams circle between agents")
	}
	if n.refused > 0 {
		t.Fatal("a flow was refused although enough agents are willing")
	}
	if n.whole("first", "second") == 0 {
		t.Fatalf("no agent got both datagrams: %v", n.delivered)
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

func TestUnwillingAgentPassesOn(t *testing.T) {
	is := is.New(t)
	n := newNetwork(agentA, agentB, agentC)
	n.unwilling[agentA] = true
	n.arrive(agentA, packet("first", agentA, agentB, agentC))
	n.unwilling[agentA] = false // the second datagram still follows the first
	n.arrive(agentA, packet("second", agentA, agentB, agentC))
	n.settle()
	is.True(n.delivered[agentB]["first"])
	is.True(n.delivered[agentB]["second"])
	is.Equal(len(n.delivered[agentA]), 0)
}

// A flow that an agent passes because of its load still has a candidate left
// when the next one is unable to take it.
func TestAlternativeKeepsOneCandidateInReserve(t *testing.T) {
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
		{"handed over", FinalHop, nil, netip.AddrPort{}},
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

func TestAllUnwillingRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork(agentA, agentB, agentC)
	n.unwilling = map[netip.AddrPort]bool{agentA: true, agentB: true, agentC: true}
	n.arrive(agentA, packet("first", agentA, agentB, agentC))
	n.settle()
	is.Equal(n.refused, 1)
	is.Equal(n.passes, 2) // the hop limit is the candidate list
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
