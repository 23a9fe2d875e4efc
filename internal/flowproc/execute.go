package flowproc

import (
	"time"

	"github.com/almondledge/almondledge/internal/flowagent"
)

// emptyQueue passes the opening packets that wait at this agent on to other agents.
func (a *Agent) emptyQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, d := range a.agent.EmptyQueue(now) {
		a.execute(now, d)
	}
}

// releaseQueued executes the decisions about the opening packets that can leave the agent's queue.
func (a *Agent) releaseQueued(now time.Time) {
	for {
		d, released := a.agent.ReleaseQueued(now)
		if !released {
			return
		}
		a.execute(now, d)
	}
}

// execute sends the packets of a decision, counts its outcome and logs it.
func (a *Agent) execute(now time.Time, d flowagent.Decision) {
	a.metrics.outcomes[d.Outcome].Inc()
	if d.AnswerLatency > 0 {
		a.metrics.answerTime.Update(d.AnswerLatency.Seconds())
	}
	if d.Waited > 0 {
		a.metrics.waitTime.Update(d.Waited.Seconds())
	}
	if d.JudgementChanged {
		a.log.event("judgement on the backend server changed", fields{"avoided": a.agent.Avoided(), "backend": a.cfg.Backend, "active": a.agent.Load().Active})
	}
	if d.ToBackend != nil {
		if err := a.fromBackend.WriteTo(d.ToBackend, a.cfg.Backend); err != nil {
			a.metrics.sendErrors.Inc()
		}
	}
	for _, r := range d.Replies {
		a.reply(r.Caller, r.Packet)
	}
	for _, s := range d.Sends {
		a.send(s.To, s.Payload)
	}
	switch d.Outcome {
	case flowagent.Opened:
		a.log.flow(now, d.Key, d.Outcome.String(), false, fields{
			"open": a.agent.Load().Flows, "active": a.agent.Load().Active, "waited": d.Waited,
			"copy": d.Opening.Copy, "version": a.follower.Table().Version(), "sender_version": d.Opening.SenderVersion,
		})
	case flowagent.Queued:
		a.log.flow(now, d.Key, d.Outcome.String(), true, fields{"reason": d.Reason, "active": a.agent.Load().Active, "open": a.agent.Load().Flows})
	case flowagent.Refused, flowagent.FlowReset, flowagent.Unresolved, flowagent.Probed, flowagent.Duplicate:
		a.log.flow(now, d.Key, d.Outcome.String(), true, fields{"reason": d.Reason, "backend": a.agent.Backend().State, "born": a.agent.Backend().StartMillis})
	case flowagent.Forwarded:
		a.log.flow(now, d.Key, d.Outcome.String(), true, fields{"reason": d.Reason, "to": d.Sends[len(d.Sends)-1].To, "version": a.follower.Table().Version()})
	}
}
