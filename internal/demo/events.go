package demo

import (
	"context"
	"time"
)

// Times of the events, counted from the start of traffic.
const (
	drainAt       = 2 * time.Second
	stopAgentAt   = 6500 * time.Millisecond
	killAt        = 9 * time.Second
	fabricNotices = time.Second
	limitsAt      = 12 * time.Second
	// disturbance is the time after the kill in which latency shows its effect.
	disturbance = 3 * time.Second
	// leaveBound is the time in which the graceful stop of an agent must end.
	leaveBound = 8 * time.Second
)

// Which host is drained, and which balancer is killed.
const (
	drainedHost    = 1
	killedBalancer = balancers - 1
)

// event is something that the demo does while traffic runs.
type event struct {
	at time.Duration
	do func(ctx context.Context) error
}

// playEvents brings about the events at their times. A failure is a problem of
// the result; the events after it are played all the same.
func (r *run) playEvents(ctx context.Context) {
	events := []event{
		{drainAt, r.drainHost},
		{drainAt + drainGrace, r.markWork},
		{stopAgentAt, r.stopAgent},
		{killAt, r.killBalancer},
		{killAt + fabricNotices, r.stopSpraying},
		{limitsAt, r.setLimits},
		{trafficTime, r.countLateWork},
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
	r.ticket(t)
	return nil
}

// markWork notes what the drained backend server has served so far.
func (r *run) markWork(context.Context) error {
	r.servedBefore = r.hosts[drainedHost].server.Load().Served
	return nil
}

// countLateWork counts what the drained backend server got after the grace.
func (r *run) countLateWork(context.Context) error {
	r.result.lateWork = r.hosts[drainedHost].server.Load().Served - r.servedBefore
	return nil
}

// stopAgent stops the agent of the drained backend server gracefully, while
// flows are open on it.
func (r *run) stopAgent(ctx context.Context) error {
	h := r.hosts[drainedHost]
	r.out.event("graceful stop of the agent of %s", h.name)
	ctx, cancel := context.WithTimeout(ctx, leaveBound)
	defer cancel()
	since := time.Now()
	r.result.left = h.leave(ctx)
	if r.result.left {
		r.out.event("the agent of %s left after %v, when its flows had moved", h.name, time.Since(since).Round(time.Millisecond))
	}
	return h.errorAfterEnd()
}

// killBalancer ends a balancer without a word to anyone.
func (r *run) killBalancer(context.Context) error {
	b := r.balancers[killedBalancer]
	b.kill()
	r.out.event("%s in %s killed without warning; the fabric goes on spraying to it for %v", b.name, b.dataCentre, fabricNotices)
	return nil
}

// stopSpraying lets the fabric notice the death of the balancer.
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
	r.ticket(t)
	return nil
}
