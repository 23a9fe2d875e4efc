package faultmatrix

import (
	"testing"
	"time"
)

// leaveBound is the time in which a balancer that was told to stop has left,
// when the fabric has stopped spraying at it.
const leaveBound = 8 * time.Second

// TestStoppedBalancerLeavesSoon stops a balancer while flows are busy: agents
// must stop replying through it, or it could not tell that it is quiet.
func TestStoppedBalancerLeavesSoon(t *testing.T) {
	run(t, 9, func(f *fleet) {
		c := &cell{fleet: f, target: 0}
		for range 4 {
			flow := c.open()
			c.after(0, func() { c.feed(flow, "busy", 50) })
		}
		time.Sleep(time.Second)
		f.leaveBalancer(2)
		time.Sleep(leaveBound)
		if !c.gone(f.balancerAt[2]) {
			t.Errorf("the balancer has not left after %v: %d packets so far", leaveBound, f.balancers[2].Packets())
		}
		time.Sleep(20 * time.Second)
		c.verifyAnswers(0)
		c.verifyFlows(0)
	})
}
