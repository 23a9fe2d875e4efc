package demo

import (
	"context"
	"time"
)

// Times of the events, counted from the start of traffic.
const (
	drainAt     = 2 * time.Second
	stopAgentAt = 6500 * time.Millisecond
	killAt      = 9 * time.Second
	// fabricDetection is the time from the kill of a balancer until the fabric stops
	// sending to it.
	fabricDetection = time.Second
	limitsAt        = 12 * time.Second
	// killEffect is how long the kill of a balancer may affect latency.
	killEffect = 3 * time.Second
	// leaveBound is the time in which the graceful stop of an agent must end.
	leaveBound = 8 * time.Second
)

// Indexes of the host that is drained and of the balancer that is killed.
const (
	drainedHost    = 1
	killedBalancer = balancers - 1
)

// event is a step of the demo while traffic runs, at a time from the start of traffic.
type event struct {
	at time.Duration
	do func(ctx context.Context) error
}

// runEvents runs the events at their times. It records a failure as a problem of the
// result and continues with the next event.
func (r *run) runEvents(ctx context.Context) {
	events := []event{
		{drainAt, r.drainHost},
		{drainAt + drainGrace, r.recordServed},
		{stopAgentAt, r.stopAgent},
		{killAt, r.killBalancer},
		{killAt + fabricDetection, r.stopSpraying},
		{limitsAt, r.setLimits},
		{trafficTime, r.countLateRequests},
	}
	for _, e := range events {
		if !sleepUntil(ctx, r.began.Add(e.at)) {
			return
		}
		if err := e.do(ctx); err != nil {
			r.result.problems = append(r.result.problems, err.Error())
		}
	}
}

// drainHost takes a backend server out of service by a ticket.
func (r *run) drainHost(ctx context.Context) error {
	h := r.hosts[drainedHost]
	r.result.drained = h.name
	r.drainedAt = time.Now()
	t, err := r.drain(ctx, r.revisions, h)
	if err != nil {
		return err
	}
	r.recordTicket(t)
	return nil
}

// recordServed records how many requests the drained backend server has served so far.
func (r *run) recordServed(context.Context) error {
	r.servedAtGrace = r.hosts[drainedHost].server.Load().Served
	return nil
}

// countLateRequests counts the requests that the drained backend server received after
// drainGrace.
func (r *run) countLateRequests(context.Context) error {
	r.result.lateRequests = r.hosts[drainedHost].server.Load().Served - r.servedAtGrace
	return nil
}

// stopAgent stops the agent of the drained backend server gracefully, while it has
// open flows.
func (r *run) stopAgent(ctx context.Context) error {
	h := r.hosts[drainedHost]
	r.out.event("graceful stop of the agent of %s", h.name)
	ctx, cancel := context.WithTimeout(ctx, leaveBound)
	defer cancel()
	since := time.Now()
	r.result.agentLeft = h.leave(ctx)
	if r.result.agentLeft {
		r.out.event("the agent of %s left after %v, when its flows had moved", h.name, time.Since(since).Round(time.Millisecond))
	}
	return h.errorAfterEnd()
}

// killBalancer kills a balancer without a graceful stop, so that other processes
// are not informed.
func (r *run) killBalancer(context.Context) error {
	b := r.balancers[killedBalancer]
	b.kill()
	r.out.event("%s in %s killed without warning; the fabric goes on spraying to it for %v", b.name, b.dataCentre, fabricDetection)
	return nil
}

// stopSpraying removes killed balancers from the fabric, as its health checks would.
func (r *run) stopSpraying(context.Context) error {
	var running []*balancerHost
	for _, b := range r.balancers {
		if b.running() {
			running = append(running, b)
		}
	}
	return r.sprayTo(running)
}

// setLimits changes the limits of a service by a ticket.
func (r *run) setLimits(ctx context.Context) error {
	t, err := r.changeLimits(ctx, r.revisions)
	if err != nil {
		return err
	}
	r.recordTicket(t)
	return nil
}
