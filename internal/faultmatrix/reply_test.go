package faultmatrix

import (
	"context"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// replyFlows is the number of flows, so that some reply through each balancer.
	replyFlows = 9
	// replyBound is the time for an answer while a balancer cannot reach the
	// fabric; it is shorter than the fault.
	replyBound = 5 * time.Second
)

// TestRepliesLeaveABalancerThatCannotReachTheFabric asks on open flows while one
// balancer delivers callers' packets and loses all answers.
func TestRepliesLeaveABalancerThatCannotReachTheFabric(t *testing.T) {
	run(t, 12, func(f *fleet) {
		c := &cell{fleet: f, bookings: map[string]caller.Answer{}}
		var flows []*caller.Flow
		for range replyFlows {
			flow := c.open()
			c.sheet(flow, "first")
			flows = append(flows, flow)
		}
		faultNamed("balancer cut from the fabric").strike(f, 0)
		var asks []func()
		for _, flow := range flows {
			asks = append(asks, func() {
				ctx, cancel := context.WithTimeout(c.ctx, replyBound)
				defer cancel()
				c.note("during", flow.Sheet(ctx, "during", sheetSize, 0), false)
			})
		}
		c.together(asks...)()
		time.Sleep(faultSpan)
		c.verifyAnswers(0)
		c.verifyFlows(0)
	})
}
