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
	start       = time.Unix(2_000_000_000, 0)
	self        = netip.MustParseAddrPort("10.0.0.1:7000")
	serviceAddr = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// members returns member records of the given number of services, each with the given number of
// agents.
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
	directory := placement.NewDirectory(start, self, "dc0", rand.New(rand.NewPCG(1, 1)))
	directory.Apply(start, members(services, agents)...)
	directory.UpdateHomes()
	b := flowbalancer.New(self, flows.Codec{}, directory, 16384)
	b.SetRoutes(route.NewTable(route.State{Version: 1, Routes: []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: "s0", Weight: 1}}}}}))
	return b, directory
}

func packet(port uint16, flags flow.Flags, ack uint32) []byte {
	return flows.Codec{}.Build(flow.Packet{
		Src: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Dst: serviceAddr, Flags: flags, Ack: ack,
	}, nil)
}

func TestPacketsGoToTheOwnerAfterItsNotice(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1, 5)
	placed := b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(placed.Outcome, flowbalancer.Placed)
	toHome := b.HandlePacket(start, packet(2, flow.ACK, 5), nil)
	is.Equal(toHome.Outcome, flowbalancer.SentToHome)
	owner := members(1, 5)[3].Addr
	b.HandleNotice(start, owner, hop.Notice{Key: toHome.Key, Flows: 1})
	toOwner := b.HandlePacket(start, packet(2, flow.ACK, 5), nil)
	is.Equal(toOwner.Outcome, flowbalancer.Followed)
	is.Equal(toOwner.To, owner)
}

func TestPacketsDoNotGoToADeadOwner(t *testing.T) {
	is := is.New(t)
	b, directory := newBalancer(1, 5)
	all := members(1, 5)
	key := b.HandlePacket(start, packet(2, flow.ACK, 5), nil).Key
	b.HandleNotice(start, all[3].Addr, hop.Notice{Key: key})
	all[3].Liveness = fleet.Dead
	directory.SetMembers(start, all)
	d := b.HandlePacket(start, packet(2, flow.ACK, 5), nil)
	is.Equal(d.Outcome, flowbalancer.SentToHome)
	is.True(d.To != all[3].Addr)
}

func TestFlowsAreRefusedOnlyWhenEnoughIsKnown(t *testing.T) {
	is := is.New(t)
	directory := placement.NewDirectory(start, self, "dc0", rand.New(rand.NewPCG(1, 1)))
	b := flowbalancer.New(self, flows.Codec{}, directory, 10)
	d := b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
	is.Equal(d.Outcome, flowbalancer.NotReady) // no desired state is known
	is.True(d.Reset == nil)
	b.SetRoutes(route.NewTable(route.State{Version: 1, Routes: []route.Route{{ServiceAddr: serviceAddr, Shares: []route.Share{{Service: "s0", Weight: 1}}}}}))
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

// An agent whose backend server accepts no flows is avoided for a moment, whatever its load. An agent that is only
// overloaded is judged by the load that it states.
func TestRefusalsOfOverloadedAgents(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		is := is.New(t)
		b, _ := newBalancer(1, 2)
		all := members(1, 2)
		b.HandleNotice(start, all[1].Addr, hop.Notice{Flows: 100, Active: 100})
		refused := b.HandlePacket(start, packet(1, flow.SYN, 0), nil)
		is.Equal(refused.To, all[0].Addr)
		b.HandleNotice(start, all[0].Addr, hop.Notice{Key: refused.Key, Flows: 1, Active: 1, Refused: true, Overloaded: overloaded})
		next := b.HandlePacket(start, packet(2, flow.SYN, 0), nil)
		is.Equal(next.To == all[0].Addr, overloaded)
	}
}

func TestOwnerTableIsBounded(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(1, 5)
	for port := range uint16(20_000) {
		b.HandlePacket(start, packet(port, flow.SYN, 0), nil)
	}
	is.Equal(b.Flows(), 16384)
}

// Size of the largest planned deployment.
const (
	plannedServices         = 15_000
	plannedAgentsPerService = 3 // 2.5, rounded up
)

func BenchmarkSendToOwner(b *testing.B) {
	balancer, _ := newBalancer(plannedServices, plannedAgentsPerService)
	raw := packet(1, flow.ACK, 5)
	key := balancer.HandlePacket(start, raw, nil).Key
	balancer.HandleNotice(start, members(1, 1)[0].Addr, hop.Notice{Key: key})
	buffer := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		balancer.HandlePacket(start, raw, buffer)
	}
}

func BenchmarkSendToHome(b *testing.B) {
	balancer, _ := newBalancer(plannedServices, plannedAgentsPerService)
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

// BenchmarkRestart measures the cost of one agent that stops and starts again: two changes of the home agents
// and four changes of the agent's state.
func BenchmarkRestart(b *testing.B) {
	_, directory := newBalancer(plannedServices, plannedAgentsPerService)
	m := members(1, 1)[0]
	b.ReportAllocs()
	for b.Loop() {
		for _, liveness := range []fleet.Liveness{fleet.Leaving, fleet.Dead, fleet.Alive} {
			m.Liveness = liveness
			directory.Apply(start, m)
			directory.UpdateHomes()
		}
		m.Backend.Warming = !m.Backend.Warming
		directory.Apply(start, m)
		directory.UpdateHomes()
	}
}
