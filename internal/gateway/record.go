package gateway

import (
	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/request"
)

// begin asks the records of this agent whether the request may run.
func (x *exchange) begin(s request.RecordID) idempotency.Decision {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	decision := x.g.shared.records.Begin(now, s, x.print)
	if decision.Verdict == idempotency.Run {
		x.subject = s
	}
	return decision
}

// settleRefused records that the request was not run and never will be.
func (x *exchange) settleRefused() {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.Refuse(now, x.subject)
}

// settleFinished records the answer of the request.
func (x *exchange) settleFinished(o idempotency.Outcome) {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.Finish(now, x.subject, o)
}

// settleUnknown records that the outcome of the request is unknown, unless it
// was settled before.
func (x *exchange) settleUnknown() {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.MarkUnknown(now, x.subject)
}
