package faultmatrix

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

// keyPair is a used and an unused idempotency key that the target agent issued.
type keyPair struct {
	used, unused string
}

func (c *cell) issueKeyPair() keyPair {
	flow, _ := c.openOnTarget()
	keys := keyPair{used: c.issueKey(flow), unused: c.issueKey(flow)}
	c.bookWithKey(flow, "used", keys.used)
	return keys
}

func (c *cell) bookOnce(flow *caller.Flow, name, key string) caller.Answer {
	ctx, cancel := c.requestContext()
	defer cancel()
	return flow.Book(ctx, name, key, bookingWork)
}

func (c *cell) runs(name string) int {
	var runs []backend.Run
	for _, server := range c.backends {
		runs = append(runs, server.Ledger().Runs()...)
	}
	return backend.CountRuns(runs)[name]
}

// TestKeysOutliveTheirAgentsPlannedStop checks that after a planned stop of an agent a
// repeat with a used key gets the recorded answer without a second run, and a booking
// with an unused key is refused as not run.
func TestKeysOutliveTheirAgentsPlannedStop(t *testing.T) {
	runFleet(t, 5, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 1, bookings: map[string]caller.Answer{}}
		keys := c.issueKeyPair()
		f.agentProcesses[1].drain()
		<-f.agentProcesses[1].done
		time.Sleep(2 * time.Second)
		flow := c.open()
		is.Equal(c.bookOnce(flow, "used", keys.used).Verdict, caller.Answered) // the recorded answer
		is.Equal(c.runs("used"), 1)
		refused := c.bookOnce(flow, "unused", keys.unused)
		is.Equal(refused.Verdict, caller.NotRun)
		is.Equal(c.bookOnce(flow, "unused", refused.Key).Verdict, caller.Answered) // with the fresh key
		is.Equal(c.runs("unused"), 1)
	})
}

// TestKeysOutliveTheirAgentsRestart repeats the checks of
// TestKeysOutliveTheirAgentsPlannedStop for an agent that is restarted at its
// address, with requests through the restarted agent itself.
func TestKeysOutliveTheirAgentsRestart(t *testing.T) {
	runFleet(t, 7, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 1, bookings: map[string]caller.Answer{}}
		keys := c.issueKeyPair()
		f.agentProcesses[1].drain()
		<-f.agentProcesses[1].done
		f.startAgent(1)
		time.Sleep(20 * time.Second) // until the backend server has warmed up
		flow, _ := c.openOnTarget()
		is.Equal(c.bookOnce(flow, "used", keys.used).Verdict, caller.Answered)
		is.Equal(c.runs("used"), 1)
		is.Equal(c.bookOnce(flow, "unused", keys.unused).Verdict, caller.NotRun)
		is.Equal(c.runs("unused"), 0)
	})
}

// TestKeysOfADrainingAgentWork checks that a draining agent still serves requests with the
// keys that it issued.
func TestKeysOfADrainingAgentWork(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 2, bookings: map[string]caller.Answer{}}
		keys := c.issueKeyPair()
		c.change("drain", func(spec *service.Spec) { spec.Draining = []netip.AddrPort{agentAddr(2)} })
		time.Sleep(15 * time.Second) // by then no other agent has the draining agent in its sample of peers
		flow := c.open()
		is.Equal(c.bookOnce(flow, "used", keys.used).Verdict, caller.Answered)
		is.Equal(c.bookOnce(flow, "unused", keys.unused).Verdict, caller.Answered)
		is.Equal(c.runs("used"), 1)
		is.Equal(c.runs("unused"), 1)
	})
}
