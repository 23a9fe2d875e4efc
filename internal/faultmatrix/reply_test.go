package faultmatrix

import (
	"context"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

const (
	// replyFlows is the number of flows. It is large enough that some flows get
	// their replies through each balancer.
	replyFlows = 9
	// replyBound is the time limit of an answer while a balancer cannot reach the fabric.
	// It is shorter than the fault.
	replyBound = 5 * time.Second
)

// TestRepliesAvoidABalancerThatCannotReachTheFabric sends requests on open flows while one
// balancer forwards callers' packets but loses all replies: agents must soon send replies
// through other balancers.
func TestRepliesAvoidABalancerThatCannotReachTheFabric(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		c := &cell{fleet: f, bookings: map[string]caller.Answer{}}
		var flows []*caller.Flow
		for range replyFlows {
			flow := c.open()
			c.sheet(flow, "first")
			flows = append(flows, flow)
		}
		faultNamed("balancer cut from the fabric").inject(f, 0)
		var requests []func()
		for _, flow := range flows {
			requests = append(requests, func() {
				ctx, cancel := context.WithTimeout(c.ctx, replyBound)
				defer cancel()
				c.record("during", flow.Sheet(ctx, "during", sheetSize, 0), false)
			})
		}
		c.startAll(requests...)()
		time.Sleep(faultSpan)
		c.verifyAnswers(0)
		c.verifyFlows(0)
	})
}
