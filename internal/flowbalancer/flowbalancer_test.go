package flowbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/flowbalancer"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/standin/flows"
)

var (
	start = time.Unix(2_000_000_000, 0)
	self  = netip.MustParseAddrPort("10.0.0.1:7000")
	front = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// members returns agents of so many services, each with a few.
func members(services, agents int) []fleet.Member {
	var all []fleet.Member
	for i := range services * agents {
		all = append(all, fleet.Member{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7000),
			Role: fleet.Agent, DataCentre: fmt.Sprint("dc", i%14), Incarnation: 1,
			Backend: fleet.Backend{Service: fmt.Sprint("s", i%services), State: fleet.BackendReady, StartMillis: 1, Slots: 5},
		})
	}
	return all
}

func newBalancer(services, agents int) (*flowbalancer.Balancer, *placement.Directory) {
	board := placement.NewDirectory(start, self, "dc0", rand.New(rand.NewPCG(1, 1)))
	board.Apply(start, members(services, agents)...)
	board.UpdateHomes()
	b := flowbalancer.New(self, flows.Codec{}, board, 16384)
	b.SetRoutes(route.NewTable(route.State{Version: 1, Routes: []route.Route{{ServiceAddr: front, Shares: []route.Share{{Service: "s0", Weight: 1}}}}}))
	return b, board
}

func packet(port uint16, flags flow.Flags, ack uint32) []byte {
	return flows.Codec{}.Build(flow.Packet{
		Src: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Dst: front, Flags: flags, Ack: ack,
	}, nil)
}

func TestPacketsFollowTheNotice(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1, 5)
	placed := b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(placed.Outcome, flowbalancer.Placed)
	asked := b.HandlePacket(start, packet(2, flow.ACK, 5), nil)
	is.Equal(asked.Outcome, flowbalancer.SentToHome)
	owner := members(1, 5)[3].Addr
	b.HandleNotice(start, owner, hop.Notice{Key: asked.Key, Flows: 1})
	followed := b.HandlePacket(start, packet(2, flow.ACK, 5), nil)
	is.Equal(followed.Outcome, flowbalancer.Followed)
	is.Equal(followed.To, owner)
}

func TestOwnersThatHaveEndedAreNotFollowed(t *testing.T) {
	is := is.New(t)
	b, board := newBalancer(1, 5)
	all := members(1, 5)
	key := b.HandlePacket(start, packet(2, flow.ACK, 5), nil).Key
	b.HandleNotice(start, all[3].Addr, hop.Notice{Key: key})
	all[3].Liveness = fleet.Dead
	board.SetMembers(start, all)
	d := b.HandlePacket(start, packet(2, flow.ACK, 5), nil)
	is.Equal(d.Outcome, flowbalancer.SentToHome)
	is.True(d.To != all[3].Addr)
}

func TestRefusalsNeedCertainty(t *testing.T) {
	is := is.New(t)
	board := placement.NewDirectory(start, self, "dc0", rand.New(rand.NewPCG(1, 1)))
	b := flowbalancer.New(self, flows.Codec{}, board, 10)
	d := b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(d.Outcome, flowbalancer.NotReady) // no state is known
	is.True(d.Reset == nil)
	b.SetRoutes(route.NewTable(route.State{Version: 1, Routes: []route.Route{{ServiceAddr: front, Shares: []route.Share{{Service: "s0", Weight: 1}}}}}))
	d = b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(d.Outcome, flowbalancer.NotReady) // no agents are known
	b.SetConverged(true)
	d = b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(d.Outcome, flowbalancer.NoBackend)
	is.True(d.Reset != nil)
	b.SetRoutes(route.NewTable(route.State{Version: 2}))
	d = b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(d.Outcome, flowbalancer.NoRoute)
	is.True(d.Reset != nil)
}

func TestOwnersAreBounded(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1, 5)
	for port := range uint16(20_000) {
		b.HandlePacket(start, packet(port, flow.SYN, 0), nil)
	}
	is.Equal(b.Flows(), 16384)
}

// Sizes of the two-year plan.
const (
	designServices         = 15_000
	designAgentsPerService = 3 // 2.5, rounded up
)

func BenchmarkFollow(b *testing.B) {
	balancer, _ := newBalancer(designServices, designAgentsPerService)
	raw := packet(1, flow.ACK, 5)
	key := balancer.HandlePacket(start, raw, nil).Key
	balancer.HandleNotice(start, members(1, 1)[0].Addr, hop.Notice{Key: key})
	buffer := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		balancer.HandlePacket(start, raw, buffer)
	}
}

func BenchmarkAskHome(b *testing.B) {
	balancer, _ := newBalancer(designServices, designAgentsPerService)
	buffer := make([]byte, 0, 2048)
	raw := packet(1, flow.ACK, 5)
	b.ReportAllocs()
	for b.Loop() {
		balancer.HandlePacket(start, raw, buffer)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, agents := range []int{3, 50, 500} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			balancer, _ := newBalancer(2, agents)
			buffer := make([]byte, 0, 2048)
			raw := packet(1, flow.SYN, 0)
			b.ReportAllocs()
			for b.Loop() {
				balancer.HandlePacket(start, raw, buffer)
			}
		})
	}
}

// BenchmarkRestart is the cost of one agent that goes and comes back: two changes of
// the homes and four of its state.
func BenchmarkRestart(b *testing.B) {
	_, board := newBalancer(designServices, designAgentsPerService)
	m := members(1, 1)[0]
	b.ReportAllocs()
	for b.Loop() {
		for _, liveness := range []fleet.Liveness{fleet.Leaving, fleet.Dead, fleet.Alive} {
			m.Liveness = liveness
			board.Apply(start, m)
			board.UpdateHomes()
		}
		m.Backend.Warming = !m.Backend.Warming
		board.Apply(start, m)
		board.UpdateHomes()
	}
}
