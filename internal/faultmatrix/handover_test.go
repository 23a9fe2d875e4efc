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

// keyHolder is a caller that holds one used and one unused key of the target agent.
type keyHolder struct {
	used, unused string
}

func (c *cell) holdKeys() keyHolder {
	flow, _ := c.established()
	holder := keyHolder{used: c.key(flow), unused: c.key(flow)}
	c.bookUnder(flow, "used", holder.used)
	return holder
}

func (c *cell) bookOn(flow *caller.Flow, name, key string) caller.Answer {
	ctx, cancel := c.bounded()
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

// TestKeysOutliveTheirAgentsPlannedStop: after a planned stop a caller learns
// what became of a used key, and that an unused one was not run.
func TestKeysOutliveTheirAgentsPlannedStop(t *testing.T) {
	run(t, 5, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 1, bookings: map[string]caller.Answer{}}
		holder := c.holdKeys()
		f.agentAt[1].drain()
		<-f.agentAt[1].done
		time.Sleep(2 * time.Second)
		flow := c.open()
		is.Equal(c.bookOn(flow, "used", holder.used).Verdict, caller.Answered) // the kept answer
		is.Equal(c.runs("used"), 1)
		refused := c.bookOn(flow, "unused", holder.unused)
		is.Equal(refused.Verdict, caller.NotRun)
		is.Equal(c.bookOn(flow, "unused", refused.Key).Verdict, caller.Answered) // with the fresh key
		is.Equal(c.runs("unused"), 1)
	})
}

// TestKeysOutliveTheirAgentsRestart is the same for an agent that comes back at
// its address, asked through the new agent itself.
func TestKeysOutliveTheirAgentsRestart(t *testing.T) {
	run(t, 7, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 1, bookings: map[string]caller.Answer{}}
		holder := c.holdKeys()
		f.agentAt[1].drain()
		<-f.agentAt[1].done
		f.startAgent(1)
		time.Sleep(20 * time.Second) // warm
		flow, _ := c.established()
		is.Equal(c.bookOn(flow, "used", holder.used).Verdict, caller.Answered)
		is.Equal(c.runs("used"), 1)
		is.Equal(c.bookOn(flow, "unused", holder.unused).Verdict, caller.NotRun)
		is.Equal(c.runs("unused"), 0)
	})
}

// TestKeysOfADrainingAgentWork: a draining agent still answers for its keys.
func TestKeysOfADrainingAgentWork(t *testing.T) {
	run(t, 6, func(f *fleet) {
		is := is.NewRelaxed(t)
		c := &cell{fleet: f, target: 2, bookings: map[string]caller.Answer{}}
		holder := c.holdKeys()
		c.change("drain", func(spec *service.Spec) { spec.Draining = []netip.AddrPort{agentAddr(2)} })
		time.Sleep(15 * time.Second) // peers no longer sample it
		flow := c.open()
		is.Equal(c.bookOn(flow, "used", holder.used).Verdict, caller.Answered)
		is.Equal(c.bookOn(flow, "unused", holder.unused).Verdict, caller.Answered)
		is.Equal(c.runs("used"), 1)
		is.Equal(c.runs("unused"), 1)
	})
}
