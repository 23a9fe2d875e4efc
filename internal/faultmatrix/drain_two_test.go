package faultmatrix

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/service"
)

// TestDrainingTwoAtOnceKeepsOutcomesKnown drains two of three backend servers by one
// ticket while callers make bookings: no booking may end with an unknown outcome.
func TestDrainingTwoAtOnceKeepsOutcomesKnown(t *testing.T) {
	runFleet(t, 11, func(f *fleet) {
		c := &cell{fleet: f, bookings: map[string]caller.Answer{}}
		var callers []func()
		for i := range 9 {
			flow := c.open()
			callers = append(callers, func() {
				key := c.issueKey(flow)
				for k := range 25 {
					name := fmt.Sprintf("booking-%d-%d", i, k)
					answer := c.bookShort(flow, name, key)
					if answer.Verdict != caller.Answered && answer.Verdict != caller.NotRun {
						t.Errorf("%s got %v: %v", name, answer.Verdict, answer.Err)
					}
					key = answer.Key
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		wait := c.startAll(callers...)
		time.Sleep(1500 * time.Millisecond)
		c.change("drain-two", func(spec *service.Spec) {
			spec.Draining = []netip.AddrPort{agentAddr(0), agentAddr(1)}
		})
		time.Sleep(2 * time.Second)
		c.change("undrain", func(spec *service.Spec) { spec.Draining = nil })
		wait()
		c.verifyFlows(0)
	})
}

// bookShort sends a booking that takes 20 ms, once, with a key.
func (c *cell) bookShort(flow *caller.Flow, name, key string) caller.Answer {
	ctx, cancel := c.requestContext()
	defer cancel()
	return flow.Book(ctx, name, key, 20*time.Millisecond)
}
