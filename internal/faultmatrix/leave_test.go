package faultmatrix

import (
	"testing"
	"time"
)

// leaveBound is the time in which a gracefully stopped balancer must end, given that the
// fabric has stopped sending to it.
const leaveBound = 8 * time.Second

// TestStoppedBalancerLeavesSoon stops a balancer gracefully while flows are busy. A
// balancer ends when no more packets pass through it, so agents must stop
// sending replies through it.
func TestStoppedBalancerLeavesSoon(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		c := &cell{fleet: f, target: 0}
		for range 4 {
			flow := c.open()
			c.after(0, func() { c.feed(flow, "busy", 50) })
		}
		time.Sleep(time.Second)
		f.leaveBalancer(2)
		time.Sleep(leaveBound)
		if !c.hasEnded(f.balancerProcesses[2]) {
			t.Errorf("the balancer has not ended after %v: %d packets so far", leaveBound, f.balancers[2].Packets())
		}
		time.Sleep(20 * time.Second)
		c.verifyAnswers(0)
		c.verifyFlows(0)
	})
}

// Guards against a harness that sends callers' packets to balancers that have ended: when a second balancer left, the
// fabric began to send to the first one again, and flows could not open.
func TestFabricSendsToNoBalancerThatHasLeft(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		c := &cell{fleet: f, target: 0}
		f.leaveBalancer(0)
		time.Sleep(100 * time.Millisecond)
		f.leaveBalancer(2)
		time.Sleep(leaveBound)
		for _, i := range f.sprayTargets() {
			if c.hasEnded(f.balancerProcesses[i]) {
				t.Errorf("the fabric sends to balancer %d, which has ended", i)
			}
		}
		if len(f.sprayTargets()) == 0 {
			t.Error("the fabric sends to no balancer")
		}
	})
}
