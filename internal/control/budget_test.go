package control_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/control/memnet"
	"github.com/almondledge/almondledge/internal/member"
)

const ceiling = 20_000 // bytes per second

// changeAgents changes the capacity and load of all agents, and the state of every
// second agent. Called in every tick, it causes far more updates than the budget
// allows.
func (f *fleet) changeAgents(step int, agents []*memnet.Host) {
	for i, a := range agents {
		f.Perform(a, a.Node.SetCapacity(f.Now, uint16(1+step%7)))
		a.Node.SetLoad(uint8(step * 50))
		if i%2 == 0 {
			state := member.Serving
			if step%4 < 2 {
				state = member.Draining
			}
			f.Perform(a, a.Node.SetState(f.Now, state))
		}
	}
}

// sentBytes returns the bytes that a node has sent so far.
func sentBytes(h *memnet.Host) uint64 {
	var total uint64
	for _, u := range h.Node.Usage() {
		total += u.Bytes
	}
	return total
}

func TestSaturationDelaysNoSafetyTraffic(t *testing.T) {
	is := is.New(t)
	f := newFleet(31, 2, 6, 40)
	f.Loss = 0.05
	const ticksPerSecond = int(time.Second / control.TickPeriod)
	history := map[*memnet.Host][]uint64{}
	changing, steady := f.agents[10:], f.agents[:10]
	step := 0
	advance := func() {
		f.changeAgents(step, changing)
		step++
		f.Run(control.TickPeriod)
		for _, h := range f.Hosts {
			history[h] = append(history[h], sentBytes(h))
			if n := len(history[h]); n > ticksPerSecond {
				is.True(history[h][n-1]-history[h][n-1-ticksPerSecond] <= ceiling) // the limit holds in every second
			}
		}
	}
	for range 100 {
		advance()
	}
	is.NoErr(f.applyTicket(f.balancers[0], 0, 3))
	ticketAt := f.Now
	for _, a := range steady[:5] {
		f.Perform(a, a.Node.SetState(f.Now, member.Draining))
		drained := f.Now
		for !f.noneOffers(a) {
			advance()
			is.True(f.Now.Sub(drained) <= 3*time.Second) // the drain reaches all balancers in time
		}
		t.Log("drain known after", f.Now.Sub(drained))
	}
	for !f.allApplied(3)() {
		advance()
		is.True(f.Now.Sub(ticketAt) <= 16*time.Second) // the ticket is applied everywhere in time
	}
	t.Log("ticket applied everywhere after", f.Now.Sub(ticketAt))
	var deferred uint64
	for _, b := range f.balancers {
		deferred += b.Node.Usage()[control.ClassMember].Deferred + b.Node.Usage()[control.ClassUrgent].Deferred
		is.Equal(b.Node.Counters().Suspicions, uint64(0)) // probes and heartbeats are still sent
	}
	t.Log("deferred", deferred)
	for _, a := range steady[5:] {
		is.True(f.allOffer(a))
	}
}
