package flowproc_test

import (
	"context"
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
