package placement_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/placement"
	"github.com/almondledge/almondledge/internal/route"
)

var start = time.Unix(2_000_000_000, 0)

func agent(i byte, service, dataCentre string) fleet.Member {
	return fleet.Member{
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000), Role: fleet.Agent, DataCentre: dataCentre,
		Backend: fleet.Backend{Service: service, State: fleet.BackendReady, StartMillis: 1, Slots: 5},
	}
}

func newBoard(members ...fleet.Member) *placement.Directory {
	b := placement.NewDirectory(start, netip.MustParseAddrPort("10.9.9.9:7000"), "here", rand.New(rand.NewPCG(1, 1)))
	b.SetMembers(start, members)
	return b
}

func nobody(netip.AddrPort) bool { return false }

// spread places count flows and returns how many each agent got.
func spread(b *placement.Directory, count int) map[byte]int {
	got := map[byte]int{}
	for range count {
		if a, ok := b.Choose(start, "s", nobody); ok {
			got[a.Addr().As4()[3]]++
		}
	}
	return got
}

func TestFlowsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	got := spread(newBoard(agent(1, "s", "here"), agent(2, "s", "here"), agent(3, "s", "here")), 300)
	for i := byte(1); i <= 3; i++ {
		is.True(got[i] >= 95 && got[i] <= 105)
	}
}

func TestOwnDataCentreComesFirstUntilItIsBusy(t *testing.T) {
	is := is.New(t)
	b := newBoard(agent(1, "s", "here"), agent(2, "s", "there"))
	is.Equal(spread(b, 30)[2], 0)
	got := spread(b, 300)
	is.True(got[2] > 60) // a small data centre does not carry all of its callers alone
	is.True(got[1] > got[2])
}

func TestReportedLoadCounts(t *testing.T) {
	is := is.New(t)
	b := newBoard(agent(1, "s", "here"), agent(2, "s", "here"))
	b.RecordLoad(agent(1, "s", "").Addr, 0, 12)
	is.Equal(spread(b, 20)[1], 0)
}

func TestWarmingBackendGetsLess(t *testing.T) {
	is := is.New(t)
	cold := agent(1, "s", "here")
	cold.Backend.Warming = true
	got := spread(newBoard(cold, agent(2, "s", "here")), 100)
	is.True(got[1] > 10 && got[1] < 45)
}

func TestUnwillingAndDoubtedAgents(t *testing.T) {
	is := is.New(t)
	draining := agent(1, "s", "here")
	draining.Backend.State = fleet.BackendDraining
	suspect := agent(2, "s", "here")
	suspect.Liveness = fleet.Suspect
	b := newBoard(draining, suspect, agent(3, "s", "here"), agent(4, "s", "here"))
	b.MarkUnresponsive(start, agent(3, "", "").Addr)
	is.Equal(spread(b, 50), map[byte]int{4: 50})
	b.MarkResponsive(agent(3, "", "").Addr)
	is.True(spread(b, 50)[3] > 0)
}

func TestServicesOfARouteHelpEachOther(t *testing.T) {
	is := is.New(t)
	b := newBoard(agent(1, "s", "here"), agent(2, "t", "here"))
	r := &route.Route{Shares: []route.Share{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}}
	_, service, _ := b.ChooseAmong(start, r, "s", nobody)
	is.Equal(service, "s")
	b.RecordLoad(agent(1, "", "").Addr, 20, 10)
	_, service, _ = b.ChooseAmong(start, r, "s", nobody)
	is.Equal(service, "t") // s has two requests a slot, t none
	b.RecordLoad(agent(2, "", "").Addr, 20, 8)
	_, service, _ = b.ChooseAmong(start, r, "s", nobody)
	is.Equal(service, "s") // t has no room to spare
}

// A flow whose home has said that it leaves must be asked for elsewhere (found by
// the incident of esob: packets went to homes that had ended).
func TestHomesAnswer(t *testing.T) {
	is := is.New(t)
	members := []fleet.Member{agent(1, "s", "here"), agent(2, "s", "here"), agent(3, "s", "here")}
	for _, liveness := range []fleet.Liveness{fleet.Leaving, fleet.Suspect, fleet.Dead} {
		members[1].Liveness = liveness
		b := newBoard(members...)
		for port := range uint16(200) {
			home, ok := b.PreferredHomeAgent(flow.Key{Caller: flow.Endpoint{Port: port}})
			is.True(ok)
			is.True(home != members[1].Addr)
		}
	}
	_, ok := newBoard().PreferredHomeAgent(flow.Key{})
	is.True(!ok)
}

// A silent agent may be back, and its backend server may have flows. One that went
// without a word is given up after a while, one that stopped as planned is not.
func TestDoubtAboutAgents(t *testing.T) {
	soon, later := start.Add(900*time.Millisecond), start.Add(time.Hour)
	tests := []struct {
		name                       string
		change                     func(*fleet.Member)
		settledSoon, settledInTime bool
	}{
		{"all answer", func(*fleet.Member) {}, true, true},
		{"one is silent", func(m *fleet.Member) { m.Liveness = fleet.Suspect }, false, false},
		{"one went without a word", func(m *fleet.Member) { m.Liveness = fleet.Dead }, false, true},
		{"one stopped as planned", func(m *fleet.Member) { m.Liveness, m.LeaveAnnounced = fleet.Dead, true }, false, false},
		{"one went, its backend server before it", func(m *fleet.Member) {
			m.Liveness, m.Backend.State = fleet.Dead, fleet.BackendGone
		}, true, true},
		{"one leaves", func(m *fleet.Member) { m.Liveness = fleet.Leaving }, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := agent(2, "s", "here")
			test.change(&m)
			b := newBoard(agent(1, "s", "here"), m)
			is.Equal(b.IsConverged(soon), test.settledSoon)
			is.Equal(b.IsConverged(later), test.settledInTime)
			is.True(!b.IsConverged(start)) // a new process knows nothing for certain
		})
	}
}

func TestDoubtEndsWhenAnAgentIsBack(t *testing.T) {
	is := is.New(t)
	m := agent(2, "s", "here")
	m.Liveness, m.LeaveAnnounced = fleet.Dead, true
	b := newBoard(agent(1, "s", "here"), m)
	later := start.Add(time.Minute)
	is.True(!b.IsConverged(later))
	m.Liveness, m.LeaveAnnounced, m.Incarnation = fleet.Alive, false, m.Incarnation+1
	b.Apply(later, m)
	is.True(b.IsConverged(later.Add(time.Second)))
	m.Liveness = fleet.Suspect
	b.Apply(later, m)
	is.True(!b.IsConverged(later.Add(time.Hour)))
	b.Forget(m.Addr)
	is.True(b.IsConverged(later.Add(time.Hour)))
}

func TestServiceHash(t *testing.T) {
	is := is.New(t)
	b := newBoard(agent(1, "s", "here"), agent(2, "t", "here"))
	is.Equal(b.ServiceByHash(placement.ServiceHash("t")), "t")
	is.Equal(b.ServiceByHash(placement.ServiceHash("u")), "")
}

func addrPort(ip [4]byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7000)
}
