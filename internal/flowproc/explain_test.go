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

// explainFlow returns the explanation of a caller's flow from the deployment's logs.
func (d *deployment) explainFlow(port uint16) string {
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

// The tests below run the three worked examples of docs/OPERATIONS.md. Each finds the cause from the flow's
// key and log lines alone.

func TestExplainAFlowThatWasResetAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 3)
		c := d.call(0, 1000)
		d.crashEverything(time.Second)
		time.Sleep(300 * time.Millisecond)
		d.request(0, c)
		time.Sleep(time.Second)
		is.True(d.read(c).Reset)
		explanation := d.explainFlow(1000)
		is.True(strings.Contains(explanation, "no agent's backend server held the flow any more"))
		is.True(strings.Contains(explanation, "started")) // processes that started around that time
	})
}

func TestExplainAFlowRefusedWhileBackendsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 2)
		for i := range d.agents {
			d.report(i, fleet.BackendDraining)
		}
		time.Sleep(time.Second)
		c := d.call(0, 1000)
		is.True(d.read(c).Reset)
		explanation := d.explainFlow(1000)
		is.True(strings.Contains(explanation, "no backend server of the service took new flows"))
		is.True(strings.Contains(explanation, "to=draining")) // the state changes around that time show the cause
	})
}

func TestExplainAFlowWithoutARoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := deploy(t, 2, 2)
		// Cut one balancer off from all other members.
		isolated := balancerAddr(1)
		d.net.SetLinks(func(from, to netip.Addr) memnet.Link {
			inside := from.As4()[0] == 10 && to.As4()[0] == 10
			return memnet.Link{Delay: 2 * time.Millisecond, Cut: inside && (from == isolated) != (to == isolated)}
		})
		d.store.setDown(true)
		time.Sleep(time.Second)
		d.store.set(route.State{Version: 30, IdleTimeout: time.Minute})
		d.store.setDown(false)
		time.Sleep(3 * time.Second)
		d.call(0, 1000)
		explanation := d.explainFlow(1000)
		is.True(strings.Contains(explanation, "has no route for the address"))
		is.True(strings.Contains(explanation, "version=30"))
		is.True(strings.Contains(explanation, "desired state in force")) // when the state was received, and from which process
	})
}
