package flowproc_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/roster"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
)

// recoveryTime is the time after a failure from which calls must be served.
const recoveryTime = 12 * time.Second

// killedStore is a store for processes that are killed: they do not give up their places in the rosters.
type killedStore struct{ roster.Store }

// Revoke implements roster.Store.
func (killedStore) Revoke(context.Context, store.LeaseID) error {
	return errkind.New(errkind.Unavailable, "the process was killed", "none needed")
}

// newRosterStore returns a store of rosters on a stand-in for the platform, whose leases expire.
func newRosterStore(t *testing.T) (*platform.Platform, roster.Store) {
	t.Helper()
	p := platform.New(nil)
	client, err := etcd.New(etcd.Config{Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: p}})
	if err != nil {
		t.Fatal(err)
	}
	return p, killedStore{client}
}

// kill ends a process as SIGKILL does.
func kill(p *process) {
	p.kill()
	<-p.done
}

// served makes calls through a balancer and returns how many were answered.
func (d *deployment) served(balancer, calls int) (count int) {
	for i := range calls {
		count += len(d.read(d.call(balancer, uint16(5000+100*balancer+i))).Answers)
	}
	return count
}

// Guards against balancers that nobody finds (review/10): all balancers, which are also the seeds, end for good, and others
// take their place. The agents had read the roster at their start only, and the new balancers before the others had
// entered it.
func TestReplacedBalancersAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, st := newRosterStore(t)
		d := deployWithRoster(t, st, 2, 3)
		is.Equal(d.served(0, 3), 3)
		for _, b := range d.balancers {
			kill(b)
		}
		time.Sleep(2 * time.Second)
		d.balancers = append(d.balancers, d.startBalancer(2), d.startBalancer(3))
		time.Sleep(recoveryTime)
		is.Equal(d.served(2, 3), 3)
		is.Equal(d.served(3, 3), 3)
	})
}

// Guards against the same fault after an outage of the store and with agents that have forgotten all balancers: the first
// reads fail, and the members that the agents know are dead for longer than their records are kept.
func TestReplacedBalancersAreFoundAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, st := newRosterStore(t)
		d := deployWithRoster(t, st, 2, 3)
		p.SetFaults(platform.Faults{Down: true})
		for _, b := range d.balancers {
			kill(b)
		}
		time.Sleep(10 * time.Minute)
		d.balancers = append(d.balancers, d.startBalancer(2), d.startBalancer(3))
		time.Sleep(time.Minute)
		p.SetFaults(platform.Faults{})
		time.Sleep(recoveryTime)
		is.Equal(d.served(2, 3), 3)
		is.Equal(d.served(3, 3), 3)
	})
}

// Guards against two groups that each have members, but not the other: they start with different seeds while the store is
// away. Each process had met another one and did not read the roster any more.
func TestGroupsWithDifferentSeedsMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, st := newRosterStore(t)
		p.SetFaults(platform.Faults{Down: true})
		d := newDeployment(t, st)
		// Balancers 0 and 1 know each other; balancer 2 and the only agent know each other.
		d.seeds = func(addr netip.Addr) []netip.AddrPort {
			if addr == balancerAddr(0) || addr == balancerAddr(1) {
				return []netip.AddrPort{netip.AddrPortFrom(balancerAddr(0), peerPort), netip.AddrPortFrom(balancerAddr(1), peerPort)}
			}
			return []netip.AddrPort{netip.AddrPortFrom(balancerAddr(2), peerPort)}
		}
		d.run(3, 1)
		is.Equal(d.served(2, 3), 3)
		is.Equal(d.served(0, 3), 0) // the groups have not met
		p.SetFaults(platform.Faults{})
		time.Sleep(2 * recoveryTime)
		is.Equal(d.served(0, 3), 3)
		is.Equal(d.served(1, 3), 3)
	})
}

// Guards against a roster that is full of balancers which have ended for good: nobody could enter it before their leases
// expired, a minute later.
func TestRosterFullOfLostBalancers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, st := newRosterStore(t)
		d := deployWithRoster(t, st, roster.Places, 3)
		for _, b := range d.balancers {
			kill(b)
		}
		for i := range 2 {
			d.balancers = append(d.balancers, d.startBalancer(roster.Places+i))
		}
		time.Sleep(recoveryTime)
		is.Equal(d.served(roster.Places, 3), 3)
		is.Equal(d.served(roster.Places+1, 3), 3)
	})
}

// Guards against a balancer that leaves the roster a minute after it was killed once (review/11): it took the entry of its
// earlier process for its own. After a kill of all processes with the seeds gone, nobody found it.
func TestRestartedBalancerIsFoundAfterALossOfAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, st := newRosterStore(t)
		d := deployWithRoster(t, st, 3, 3)
		kill(d.balancers[2])
		time.Sleep(time.Second)
		d.balancers[2] = d.startBalancer(2)
		time.Sleep(roster.LeaseTTL + 5*time.Second)
		is.Equal(d.served(2, 3), 3)
		for _, b := range d.balancers {
			kill(b)
		}
		for _, a := range d.agents {
			kill(&a.process)
		}
		time.Sleep(time.Second)
		d.balancers[2] = d.startBalancer(2) // the seeds, balancers 0 and 1, stay away
		for i := range d.agents {
			d.startAgent(i)
		}
		time.Sleep(recoveryTime)
		is.Equal(d.served(2, 6), 6)
	})
}
