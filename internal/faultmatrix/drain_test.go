package faultmatrix

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/service"
)

const (
	// drainBound is the time after which a leaving backend server must receive no new
	// requests.
	drainBound = 3 * time.Second
	// probeFlows is the number of new flows that must not reach a leaving backend server.
	probeFlows = 24
)

// drainWays are the ways in which a backend server leaves.
var drainWays = []struct {
	name  string
	begin func(c *cell)
}{
	{"by ticket", func(c *cell) {
		c.change("drain", func(spec *service.Spec) { spec.Draining = []netip.AddrPort{agentAddr(c.target)} })
	}},
	{"by its own announcement", func(c *cell) { c.stopBackend(c.target) }},
	{"by stopping its agent", func(c *cell) { c.agentProcesses[c.target].drain() }},
}

// drainFaults are the faults that could keep a balancer or an agent from learning of
// a drain. They are injected right after it has begun.
var drainFaults = []string{
	"none", "balancer killed", "balancer joins", "uneven updates", "store down", "link lossy", "link slow",
	"data centres cut both ways", "data centres cut one way",
}

// faultNamed returns the fault of a name; an unknown name panics.
func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

// TestLeavingBackendServerGetsNoNewWork checks that a leaving backend server serves no
// request of a new flow and no new request of an old flow after drainBound, although a
// fault may keep some processes from learning of the drain.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	for i, way := range drainWays {
		for k, name := range drainFaults {
			t.Run(way.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				runFleet(t, uint64(100*i+k), func(f *fleet) {
					is := is.NewRelaxed(t)
					c := &cell{fleet: f, faults: []fault{faultNamed(name)}, target: (i + k) % bookingAgents, bookings: map[string]caller.Answer{}}
					old, target := c.openOnTarget()
					wait := c.startAll(func() { c.feed(old, "held", 70) })
					time.Sleep(time.Second)
					way.begin(c)
					time.Sleep(50 * time.Millisecond) // some process has learned of the drain
					c.inject(target)
					time.Sleep(drainBound)
					before := f.backends[target].Load().Served
					c.sheet(old, "new request of an old flow")
					for range probeFlows {
						c.sheet(c.open(), "new flow")
					}
					is.Equal(f.backends[target].Load().Served, before) // the leaving backend server served nothing new
					wait()
					c.verifyAnswers(target)
					c.verifyFlows(target)
				})
			})
		}
	}
}

// TestDrainingAllBackendServersCutsNothing drains every backend server of a service:
// running requests must be answered completely, and a new request must be answered,
// or refused as not run.
func TestDrainingAllBackendServersCutsNothing(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 1, bookings: map[string]caller.Answer{}}
		flow, _ := c.openOnTarget()
		wait := c.startAll(func() { c.feed(flow, "held", 30) })
		time.Sleep(time.Second)
		c.change("drain-all", func(spec *service.Spec) {
			for i := range bookingAgents {
				spec.Draining = append(spec.Draining, agentAddr(i))
			}
		})
		time.Sleep(drainBound)
		ctx, cancel := c.requestContext()
		defer cancel()
		after := flow.Sheet(ctx, "after", sheetSize, 0)
		is.True(after.Verdict == caller.Answered || after.Verdict == caller.NotRun) // its outcome is known
		wait()
		c.verifyAnswers(1)
		c.verifyFlows(1)
	})
}

// TestRemovedServiceEndsItsRunningRequests removes a service by ticket: running
// requests must be answered completely, and no new flow may open.
func TestRemovedServiceEndsItsRunningRequests(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 0, bookings: map[string]caller.Answer{}}
		flow, _ := c.openOnTarget()
		wait := c.startAll(
			func() { c.feed(flow, "running", 40) },
			// Large enough to need acknowledgements of the caller after the removal.
			func() { c.largeSheet(flow, "large", 6*time.Second) },
		)
		time.Sleep(time.Second)
		f.remove(booking)
		time.Sleep(drainBound)
		ctx, cancel := c.requestContext()
		defer cancel()
		late := c.open().Sheet(ctx, "too late", sheetSize, 0)
		is.True(late.Verdict != caller.Answered) // no new flow to a removed service
		wait()
		c.verifyAnswers(0)
	})
}

// TestServicesNeverCross makes the fabric deliver packets of one service's flow under
// the address of the other service: the request must not be answered, and the other
// service must not receive it.
func TestServicesNeverCross(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 2, bookings: map[string]caller.Answer{}}
		flow, _ := c.openOnTarget()
		other := f.flow(bulletinAddr)
		is.Equal(other.Sheet(f.ctx, "bulletin", sheetSize, 0).Server, "dalga-bulten/3")
		f.swapServices.Store(true) // the fabric swaps the service addresses
		bulletinServed := f.backends[3].Load().Served
		ctx, cancel := c.requestContext()
		defer cancel()
		crossing := flow.Sheet(ctx, "crossing", sheetSize, 0)
		is.True(crossing.Verdict != caller.Answered)
		is.Equal(f.backends[3].Load().Served, bulletinServed) // the other service received nothing
	})
}
