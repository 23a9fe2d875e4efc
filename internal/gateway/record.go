package gateway

import (
	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/request"
)

// beginRecord asks the records of this agent whether the request may run.
func (x *exchange) beginRecord(id request.RecordID) idempotency.Decision {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	decision := x.g.shared.records.Begin(now, id, x.fingerprint)
	if decision.Verdict == idempotency.Run {
		x.record = id
	}
	return decision
}

// recordNotRun records that the request was not run and never will be.
func (x *exchange) recordNotRun() {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.Refuse(now, x.record)
}

// recordAnswer records the answer of the request.
func (x *exchange) recordAnswer(o idempotency.Outcome) {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.Finish(now, x.record, o)
}

// recordUnknown records that the outcome of the request is unknown, unless an outcome is already
// recorded.
func (x *exchange) recordUnknown() {
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.MarkUnknown(now, x.record)
}
