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

func newDirectory(members ...fleet.Member) *placement.Directory {
	d := placement.NewDirectory(start, netip.MustParseAddrPort("10.9.9.9:7000"), "here", rand.New(rand.NewPCG(1, 1)))
	d.SetMembers(start, members)
	return d
}

func skipNone(netip.AddrPort) bool { return false }

// spread places count flows and returns the number of flows placed at each agent.
func spread(d *placement.Directory, count int) map[byte]int {
	got := map[byte]int{}
	for range count {
		if a, ok := d.Choose(start, "s", skipNone); ok {
			d.RecordPlacement(a)
			got[a.Addr().As4()[3]]++
		}
	}
	return got
}

func TestFlowsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	got := spread(newDirectory(agent(1, "s", "here"), agent(2, "s", "here"), agent(3, "s", "here")), 300)
	for i := byte(1); i <= 3; i++ {
		is.True(got[i] >= 95 && got[i] <= 105)
	}
}

func TestLocalDataCentreIsPreferredUntilBusy(t *testing.T) {
	is := is.New(t)
	d := newDirectory(agent(1, "s", "here"), agent(2, "s", "there"))
	is.Equal(spread(d, 30)[2], 0)
	got := spread(d, 300)
	is.True(got[2] > 60) // the local agent does not carry the load of a small data centre alone
	is.True(got[1] > got[2])
}

func TestReportedLoadReducesNewFlows(t *testing.T) {
	is := is.New(t)
	d := newDirectory(agent(1, "s", "here"), agent(2, "s", "here"))
	d.RecordLoad(agent(1, "s", "").Addr, 0, 12)
	is.Equal(spread(d, 20)[1], 0)
}

func TestWarmingBackendGetsFewerFlows(t *testing.T) {
	is := is.New(t)
	cold := agent(1, "s", "here")
	cold.Backend.Warming = true
	got := spread(newDirectory(cold, agent(2, "s", "here")), 100)
	is.True(got[1] > 10 && got[1] < 45)
}

func TestDrainingSuspectAndUnresponsiveAgentsAreAvoided(t *testing.T) {
	is := is.New(t)
	draining := agent(1, "s", "here")
	draining.Backend.State = fleet.BackendDraining
	suspect := agent(2, "s", "here")
	suspect.Liveness = fleet.Suspect
	d := newDirectory(draining, suspect, agent(3, "s", "here"), agent(4, "s", "here"))
	d.MarkUnresponsive(start, agent(3, "", "").Addr)
	is.Equal(spread(d, 50), map[byte]int{4: 50})
	d.MarkResponsive(agent(3, "", "").Addr)
	is.True(spread(d, 50)[3] > 0)
}

func TestOverloadedServiceUsesAnotherServiceOfItsRoute(t *testing.T) {
	is := is.New(t)
	d := newDirectory(agent(1, "s", "here"), agent(2, "t", "here"))
	r := &route.Route{Shares: []route.Share{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}}
	_, service, _ := d.ChooseAmong(start, r, "s", skipNone)
	is.Equal(service, "s")
	d.RecordLoad(agent(1, "", "").Addr, 20, 10)
	_, service, _ = d.ChooseAmong(start, r, "s", skipNone)
	is.Equal(service, "t") // s has two requests per slot, t none
	d.RecordLoad(agent(2, "", "").Addr, 20, 8)
	_, service, _ = d.ChooseAmong(start, r, "s", skipNone)
	is.Equal(service, "s") // t has no spare capacity
}

// Guards against packets being sent to a home agent that is leaving, suspected or dead, and may have
// ended, while another home agent is alive.
func TestPreferredHomeAgentIsAlive(t *testing.T) {
	is := is.New(t)
	members := []fleet.Member{agent(1, "s", "here"), agent(2, "s", "here"), agent(3, "s", "here")}
	for _, liveness := range []fleet.Liveness{fleet.Leaving, fleet.Suspect, fleet.Dead} {
		members[1].Liveness = liveness
		d := newDirectory(members...)
		for port := range uint16(200) {
			home, ok := d.PreferredHomeAgent(flow.Key{Caller: flow.Endpoint{Port: port}})
			is.True(ok)
			is.True(home != members[1].Addr)
		}
	}
	_, ok := newDirectory().PreferredHomeAgent(flow.Key{})
	is.True(!ok)
}

// Guards against declaring a flow lost while a silent agent may return with it. The wait for an agent that
// died unannounced is short; the wait for an agent that stopped as planned lasts until the agent is
// forgotten.
func TestConvergenceWithSilentAgents(t *testing.T) {
	soon, later := start.Add(900*time.Millisecond), start.Add(time.Hour)
	tests := []struct {
		name                          string
		change                        func(*fleet.Member)
		convergedSoon, convergedLater bool
	}{
		{"all are alive", func(*fleet.Member) {}, true, true},
		{"one is suspected", func(m *fleet.Member) { m.Liveness = fleet.Suspect }, false, false},
		{"one died unannounced", func(m *fleet.Member) { m.Liveness = fleet.Dead }, false, true},
		{"one stopped as planned", func(m *fleet.Member) { m.Liveness, m.LeaveAnnounced = fleet.Dead, true }, false, false},
		{"one died after its backend server", func(m *fleet.Member) {
			m.Liveness, m.Backend.State = fleet.Dead, fleet.BackendGone
		}, true, true},
		{"one leaves", func(m *fleet.Member) { m.Liveness = fleet.Leaving }, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := agent(2, "s", "here")
			test.change(&m)
			d := newDirectory(agent(1, "s", "here"), m)
			is.Equal(d.IsConverged(soon), test.convergedSoon)
			is.Equal(d.IsConverged(later), test.convergedLater)
			is.True(!d.IsConverged(start)) // a process that has just started knows no agent for certain
		})
	}
}

func TestConvergenceAfterAnAgentReturns(t *testing.T) {
	is := is.New(t)
	m := agent(2, "s", "here")
	m.Liveness, m.LeaveAnnounced = fleet.Dead, true
	d := newDirectory(agent(1, "s", "here"), m)
	later := start.Add(time.Minute)
	is.True(!d.IsConverged(later))
	m.Liveness, m.LeaveAnnounced, m.Incarnation = fleet.Alive, false, m.Incarnation+1
	d.Apply(later, m)
	is.True(d.IsConverged(later.Add(time.Second)))
	m.Liveness = fleet.Suspect
	d.Apply(later, m)
	is.True(!d.IsConverged(later.Add(time.Hour)))
	d.Forget(m.Addr)
	is.True(d.IsConverged(later.Add(time.Hour)))
}

func TestServiceHash(t *testing.T) {
	is := is.New(t)
	d := newDirectory(agent(1, "s", "here"), agent(2, "t", "here"))
	is.Equal(d.ServiceByHash(placement.ServiceHash("t")), "t")
	is.Equal(d.ServiceByHash(placement.ServiceHash("u")), "")
}

func addrPort(ip [4]byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7000)
}

// Guards against a reset by an agent that knows few members only: quiet time is no evidence that there are no others
// (review/9).
func TestConvergenceNeedsACompleteView(t *testing.T) {
	later := start.Add(2 * time.Second)
	young, old := agent(1, "s", "here"), agent(2, "s", "here")
	young.Backend.StartMillis = start.UnixMilli()
	old.Backend.StartMillis = start.Add(-time.Hour).UnixMilli()
	for _, test := range []struct {
		name                    string
		member                  fleet.Member
		complete, heardComplete bool
		want                    bool
	}{
		{"complete", old, true, true, true},
		{"partial", old, false, false, false},
		{"partial, others are complete", old, false, true, false},
		{"partial, all backend servers have just started", young, false, false, true},
		{"the same, but others are complete", young, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory(test.member)
			d.SetView(test.complete, test.heardComplete)
			is.Equal(d.IsConverged(later), test.want)
		})
	}
}
