package flowproc_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/explain"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/memnet"
	"github.com/almondledge/almondledge/internal/route"
)

// story returns what the deployment's logs say of a caller's flow.
func (d *deployment) story(port uint16) string {
	s := explain.New(fmt.Sprintf("100.64.0.1:%d", port))
	if err := s.Read(strings.NewReader(d.logs.String())); err != nil {
		d.t.Fatal(err)
	}
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		d.t.Fatal(err)
	}
	return b.String()
}

// The three worked cases of docs/OPERATIONS.md: from the flow's key to the cause,
// by log lines alone.

func TestExplainAFlowThatWasResetAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		c := d.call(0, 1000)
		d.loseEverything(time.Second)
		time.Sleep(300 * time.Millisecond)
		d.ask(0, c)
		time.Sleep(time.Second)
		is.True(d.read(c).Reset)
		story := d.story(1000)
		is.True(strings.Contains(story, "no agent's backend server held the flow any more"))
		is.True(strings.Contains(story, "started")) // the processes, around that time
	})
}

func TestExplainAnOrderRefusedWhileBackendsSeemedFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 2)
		for i := range d.agents {
			d.report(i, fleet.BackendDraining)
		}
		time.Sleep(time.Second)
		c := d.call(0, 1000)
		is.True(d.read(c).Reset)
		story := d.story(1000)
		is.True(strings.Contains(story, "no backend server of the service took new flows"))
		is.True(strings.Contains(story, "to=draining")) // why: the changes around that time
	})
}

func TestExplainAFlowHandledByAnOlderState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 2)
		// One balancer reaches neither the store's news nor any member that has them.
		alone := balancerAddr(1)
		d.net.SetLinks(func(from, to netip.Addr) memnet.Link {
			inside := from.As4()[0] == 10 && to.As4()[0] == 10
			return memnet.Link{Delay: 2 * time.Millisecond, Cut: inside && (from == alone) != (to == alone)}
		})
		d.store.setDown(true)
		time.Sleep(time.Second)
		d.store.set(route.State{Version: 30, IdleTimeout: time.Minute})
		d.store.setDown(false)
		time.Sleep(3 * time.Second)
		d.call(0, 1000)
		story := d.story(1000)
		is.True(strings.Contains(story, "has no route for the address"))
		is.True(strings.Contains(story, "version=30"))
		is.True(strings.Contains(story, "desired state in force")) // since when, and from where
	})
}
