package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/rendezvous"
	"github.com/almondledge/almondledge/internal/service"
)

var (
	bookingAddr  = netip.MustParseAddrPort("127.0.10.1:443")
	bulletinAddr = netip.MustParseAddrPort("127.0.10.2:443")
)

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
}

func agents(from, to int) []Agent {
	var list []Agent
	for i := from; i < to; i++ {
		list = append(list, Agent{Addr: agentAddr(i), Weight: 5})
	}
	return list
}

func testCodec(t testing.TB) *connid.Codec {
	t.Helper()
	codec, err := connid.NewCodec([]connid.Key{{Version: 2, Secret: [connid.KeyLen]byte{9}}})
	if err != nil {
		t.Fatal(err)
	}
	return codec
}

func testTable() *Table {
	return NewTable([]Service{
		{ID: 1, Addr: bookingAddr, Agents: agents(0, 7)},
		{ID: 2, Addr: bulletinAddr, Agents: agents(10, 14)},
	})
}

func shortPacket(t testing.TB, codec *connid.Codec, target connid.Target) []byte {
	t.Helper()
	id, err := codec.Encode(target, 3)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{0x40}, id[:]...), "rest of the packet"...)
}

func longPacket(destID []byte) []byte {
	packet := append([]byte{0xc0, 0, 0, 0, 1, byte(len(destID))}, destID...)
	return append(packet, "rest of the packet"...)
}

func TestRouteVerdicts(t *testing.T) {
	codec := testCodec(t)
	owner := connid.Target{Agent: agentAddr(3), Service: 1, Counter: 5}
	forged := shortPacket(t, codec, owner)
	forged[5] ^= 1
	removed := NewTable([]Service{{ID: 1, Addr: bookingAddr, Removed: true, Agents: agents(0, 7)}})
	empty := NewTable([]Service{{ID: 1, Addr: bookingAddr}})
	opening := longPacket([]byte("chosen-by-caller"))
	cases := []struct {
		name        string
		table       *Table
		serviceAddr netip.AddrPort
		packet      []byte
		want        Verdict
	}{
		{"established", testTable(), bookingAddr, shortPacket(t, codec, owner), ToOwner},
		{"established on the other service's address", testTable(), bulletinAddr, shortPacket(t, codec, owner), DropOtherService},
		{"established, service removed", removed, bookingAddr, shortPacket(t, codec, owner), ToOwner},
		{"established, no agent present", empty, bookingAddr, shortPacket(t, codec, owner), ToOwner},
		{"forged", testTable(), bookingAddr, forged, DropForged},
		{"opening", testTable(), bookingAddr, opening, ToCandidates},
		{"opening, service removed", removed, bookingAddr, opening, DropRemoved},
		{"opening, no agent present", empty, bookingAddr, opening, DropNoAgent},
		{"unknown service address", testTable(), agentAddr(1), opening, DropUnknownService},
		{"empty", testTable(), bookingAddr, nil, DropMalformed},
		{"truncated", testTable(), bookingAddr, []byte{0x40, 1, 2}, DropMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var decision Decision
			NewRouter(codec, func() uint64 { return 1 }).Route(c.table, c.serviceAddr, c.packet, &decision)
			is.Equal(decision.Verdict, c.want)
			if c.want == ToOwner {
				is.Equal(decision.Chosen[0], owner.Agent)
			}
		})
	}
}

// A candidate that belongs to another service would connect a caller to the wrong
// service.
func TestOpeningCandidatesBelongToTheService(t *testing.T) {
	is := is.New(t)
	codec := testCodec(t)
	router := NewRouter(codec, func() uint64 { return 7 })
	random := rand.New(rand.NewPCG(1, 1))
	var decision Decision
	for range 10_000 {
		destID := make([]byte, 8+random.IntN(13))
		for i := range destID {
			destID[i] = byte(random.Uint32())
		}
		router.Route(testTable(), bulletinAddr, longPacket(destID), &decision)
		is.Equal(decision.Service, service.ID(2))
		for _, chosen := range decision.Chosen[:decision.Count] {
			is.True(chosen.Addr().As4()[3] >= 10)
		}
	}
}

// When an agent leaves, only its own flows may get another first candidate.
func TestLeavingAgentMovesOnlyItsFlows(t *testing.T) {
	is := is.New(t)
	before := Service{Agents: agents(0, 7)}
	after := Service{Agents: agents(1, 7)}
	var first, second [MaxCandidates]netip.AddrPort
	for flow := range uint64(10_000) {
		before.Candidates(rendezvous.Hash(flow*0x9e3779b97f4a7c15), &first)
		after.Candidates(rendezvous.Hash(flow*0x9e3779b97f4a7c15), &second)
		if first[0] == agentAddr(0) {
			is.Equal(second[0], first[1]) // the flow goes to the next candidate
			continue
		}
		is.Equal(second[0], first[0])
	}
}

func TestShareFollowsWeight(t *testing.T) {
	target := Service{Agents: []Agent{{agentAddr(0), 5}, {agentAddr(1), 10}, {agentAddr(2), 0}}}
	var chosen [MaxCandidates]netip.AddrPort
	counts := make(map[netip.AddrPort]int)
	const flows = 60_000
	for flow := range uint64(flows) {
		target.Candidates(rendezvous.Hash(flow*0x9e3779b97f4a7c15), &chosen)
		counts[chosen[0]]++
	}
	if counts[agentAddr(2)] != 0 {
		t.Fatal("an agent of weight 0 got flows")
	}
	share := float64(counts[agentAddr(1)]) / flows
	if share < 0.65 || share > 0.68 {
		t.Fatalf("agent of double weight got a share of %.3f, want 2/3", share)
	}
}

func BenchmarkRouteEstablished(b *testing.B) {
	const serviceCount, hostCount = 15_000, 38_000
	services := make([]Service, serviceCount)
	for i := range services {
		addr := netip.AddrFrom4([4]byte{127, 64, byte(i >> 8), byte(i)})
		services[i] = Service{ID: service.ID(i + 1), Addr: netip.AddrPortFrom(addr, 443)}
	}
	for i := range hostCount {
		target := &services[i%serviceCount]
		target.Agents = append(target.Agents, Agent{Addr: agentAddr(i), Weight: 5})
	}
	table := NewTable(services)
	codec := testCodec(b)
	packets := make([][]byte, 1024)
	serviceAddrs := make([]netip.AddrPort, len(packets))
	for i := range packets {
		target := &services[i*13%serviceCount]
		serviceAddrs[i] = target.Addr
		packets[i] = shortPacket(b, codec, connid.Target{Agent: target.Agents[0].Addr, Service: target.ID})
	}
	router := NewRouter(codec, func() uint64 { return 1 })
	var decision Decision
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		router.Route(table, serviceAddrs[i%1024], packets[i%1024], &decision)
		i++
	}
	if decision.Verdict != ToOwner {
		b.Fatal(decision.Verdict)
	}
}

func BenchmarkRouteOpening(b *testing.B) {
	for _, n := range []int{3, 30, 300, 3000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			target := Service{Agents: agents(0, n)}
			var chosen [MaxCandidates]netip.AddrPort
			flow := rendezvous.Hash(0)
			for b.Loop() {
				flow += 0x9e3779b97f4a7c15
				target.Candidates(flow, &chosen)
			}
		})
	}
}
