package flowproc_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/standin/flows"
	"github.com/almondledge/almondledge/internal/store"
)

// membershipDatagram returns a membership message of an agent at from that carries records.
func membershipDatagram(t *testing.T, from netip.AddrPort, records ...fleet.Member) []byte {
	t.Helper()
	sender := fleet.Member{Addr: from, Role: fleet.Agent, DataCentre: "dc0", Incarnation: uint64(time.Now().UnixMilli()), Backend: fleet.Backend{Service: "other"}}
	payload, err := msgpack.Marshal([]any{
		uint8(4), uint32(1), sender, fleet.Load{}, uint64(0), uint64(1), uint32(1), uint32(0), false, netip.AddrPort{}, records,
	})
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte{byte(hop.TypeMembership)}, payload...)
}

// Guards against member records of other programs with addresses that no process has: they spread to all processes, each
// of which ended when it computed the home agents, and again after its restart.
func TestRecordOfAnotherProgramEndsNoProcess(t *testing.T) {
	for _, address := range []string{"[2001:db8::1]:7000", "[fe80::1%eth0]:7000"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 2, 3)
			c := d.call(0, 1000)
			odd := fleet.Member{
				Addr: netip.MustParseAddrPort(address), Role: fleet.Agent, DataCentre: "dc0", Incarnation: 1,
				Backend: fleet.Backend{Service: service, State: fleet.BackendReady, Slots: 5},
			}
			to := netip.AddrPortFrom(agentAddr(0), peerPort)
			from := netip.MustParseAddrPort("10.9.9.9:7000")
			d.net.Inject(from, to, membershipDatagram(t, from, odd))
			time.Sleep(time.Second)
			d.request(0, c)
			is.Equal(len(d.read(c).Answers), 2)
			is.Equal(len(d.read(d.call(1, 1001)).Answers), 1)
			is.True(!strings.Contains(d.logs.String(), odd.Addr.String())) // no process has taken the record
			is.Equal(value(d.scrape(agentAddr(0)), "almondledge_bad_records"), "1")
		})
	}
}

// damagedRoster is a store of rosters that holds one entry of another program. It counts the reads.
type damagedRoster struct {
	roster.Store
	reads atomic.Int64
}

func (s *damagedRoster) Range(context.Context, string) (store.Snapshot, error) {
	s.reads.Add(1)
	return store.Snapshot{Entries: []store.Entry{{Key: roster.Prefix + "dc1/0", Value: []byte("odd")}}}, nil
}

func (*damagedRoster) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, errkind.New(errkind.Overloaded, "store refuses the call", "none needed")
}

// Guards against reads without an end: a process that had met no other one read a roster with a damaged entry three
// times a second. The store serves 2,000 reads a second, 5,900 balancers may start at once.
func TestDamagedRosterIsNotReadAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const storeReads, processes, seconds = 2000, 5900, 60 // deploy waits for a minute
		st := &damagedRoster{}
		d := deployWithRoster(t, st, 1, 0)
		is := is.New(t)
		is.True(st.reads.Load() <= storeReads*seconds/processes)
		is.True(strings.Contains(d.logs.String(), "roster has entries of another program"))
	})
}

// Guards against changes that cannot be read because of items of other programs beside the desired state, or that exceed
// the limit of a response: the state was not followed until the next full read, eight seconds later.
func TestStateIsFollowedWhileItsChangesCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 2)
		d.store.mu.Lock()
		d.store.unreadable = true
		d.store.mu.Unlock()
		for version := uint64(2); version < 30; version++ {
			d.store.set(stateFor(version))
			time.Sleep(3 * time.Second) // the time within which a state must be in force
			inForce := 0
			for line := range strings.Lines(d.logs.String()) {
				if strings.Contains(line, "desired state in force") && strings.Contains(line, fmt.Sprintf("version=%d", version)) {
					inForce++
				}
			}
			is.Equal(inForce, 4) // once at each process
		}
	})
}

// Guards against packets of other programs at the address for the backend server's packets: a returned packet of an open
// flow was taken for the backend server's word that it has lost the flow, and the caller got a reset.
func TestPacketOfAnotherInstanceIsNotTheBackends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 1)
		c := d.call(0, 1000)
		other := d.read(c)
		p, err := flows.Codec{}.Parse(other.Request("hello"))
		is.NoErr(err)
		p.Flags |= flow.Returned
		odd := flows.Codec{}.Build(p, []byte("hello"))
		d.net.Inject(netip.MustParseAddrPort("10.9.9.9:80"), netip.AddrPortFrom(agentAddr(0), fromBackendPort), odd)
		time.Sleep(100 * time.Millisecond)
		is.True(!d.read(c).Reset)
		d.request(0, c)
		is.Equal(len(d.read(c).Answers), 2)
		is.Equal(value(d.scrape(agentAddr(0)), "almondledge_bad_datagrams_total"), "1")
	})
}

// Guards against ownership claims and queries in the name of another agent: packets of the flow went where the claim said.
func TestClaimInTheNameOfAnotherAgentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		claim := hop.Claim{Owner: flow.Endpoint{IP: [4]byte{10, 8, 8, 8}, Port: peerPort}}
		var open []*flows.Caller
		for port := range uint16(20) {
			c := d.call(0, 1000+port)
			open, claim.Keys = append(open, c), append(claim.Keys, c.Key)
		}
		query := hop.Query{Key: claim.Keys[0], Home: claim.Owner}
		for i := range 3 {
			to := netip.AddrPortFrom(agentAddr(i), peerPort)
			d.net.Inject(netip.MustParseAddrPort("10.9.9.9:7000"), to, claim.AppendTo(nil))
			d.net.Inject(netip.MustParseAddrPort("10.9.9.9:7000"), to, query.AppendTo(nil))
		}
		time.Sleep(100 * time.Millisecond)
		for _, c := range open {
			d.request(1, c) // this balancer does not know the owner and asks a home agent
			is.Equal(len(d.read(c).Answers), 2)
		}
		is.Equal(value(d.scrape(agentAddr(0)), "almondledge_bad_datagrams_total"), "2")
	})
}
