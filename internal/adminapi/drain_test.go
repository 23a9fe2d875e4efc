package adminapi

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/ticket"
)

func TestDrainSubmitsTicket(t *testing.T) {
	other := netip.MustParseAddrPort("127.0.2.9:7000")
	winner := Service{Revision: 50, Spec: counterService(other).Spec}
	winner.Limits.Slots = 9
	cases := []struct {
		name      string
		service   Service
		undo      bool
		conflicts int // submissions that conflict with winner
		want      []netip.AddrPort
		base      int64
		kind      errkind.Kind
	}{
		{"drain", counterService(), false, 0, []netip.AddrPort{agentAddress}, 30, ""},
		{"drain beside another", counterService(other), false, 0, []netip.AddrPort{other, agentAddress}, 30, ""},
		{"drained already", counterService(agentAddress), false, 0, nil, 0, ""},
		{"undo", counterService(other, agentAddress), true, 0, []netip.AddrPort{other}, 30, ""},
		{"undo of nothing", counterService(), true, 0, nil, 0, ""},
		{"on top of the state that won", counterService(), false, 1, []netip.AddrPort{other, agentAddress}, 50, ""},
		{"always too late", counterService(), false, drainAttempts, []netip.AddrPort{other, agentAddress}, 50, errkind.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeFleet{services: []Service{c.service}, winner: winner, conflicts: c.conflicts}
			result, err := f.client(t, member.Balancer).Drain(t.Context(), DrainRequest{
				ID: "drain-1", Submitter: "ayse", Service: "counter", Agent: agentAddress, Undo: c.undo,
			})
			is.Equal(errkind.Of(err), c.kind)
			if c.want == nil {
				is.True(result.Unchanged)
				is.Equal(len(f.submitted), 0)
				return
			}
			last := f.submitted[len(f.submitted)-1]
			is.Equal(last.ID, "drain-1")
			is.Equal(last.Services[0].Draining, c.want)
			is.Equal(last.Bases, []ticket.Base{{Service: "counter", Revision: c.base}})
			is.Equal(last.Services[0].Limits.Slots == 9, c.conflicts > 0) // the other changes of the winner are kept
		})
	}
}

func TestAgentDrainsItself(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{}
	_, err := f.client(t, member.Agent).Drain(t.Context(), DrainRequest{Submitter: "ayse", Agent: agentAddress})
	is.NoErr(err)
	is.Equal(f.drained, []string{"ayse"})
}
