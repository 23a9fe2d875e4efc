package platform

import "time"

// Fault is a fault that is injected into one call.
type Fault int

// Faults of one call.
const (
	// None serves the call normally.
	None Fault = iota
	// Refuse fails the call before it is sent, as a closed port does. Over a
	// socket, where the connection is already open, it acts as LoseRequest.
	Refuse
	// LoseRequest drops the call after it was sent; it never takes effect.
	LoseRequest
	// LoseAnswer lets the call take effect and drops the answer.
	LoseAnswer
	// Reject answers 429 without effect.
	Reject
	// FailBefore answers 503 without effect.
	FailBefore
	// FailAfter lets the call take effect and answers 503.
	FailAfter
	// Late drops the connection at once and lets the call take effect after Faults.LateBy.
	Late
	// Stall delays the call by Faults.LateBy; then it takes effect and is
	// answered, even if its caller has given up.
	Stall
)

// Faults configures fault injection. The zero value serves every call normally.
type Faults struct {
	// Down refuses every call and ends the watches.
	Down bool `json:"down"`
	// Slow delays every call. A write takes effect even if its caller has given up.
	Slow time.Duration `json:"slowNanos"`
	// LoseAnswers is the number of further writes that take effect but get no answer.
	LoseAnswers int `json:"loseAnswers"`
	// SilentWatches keeps watches open but sends nothing on them.
	SilentWatches bool `json:"silentWatches"`
	// Limited refuses calls beyond WritesPerSecond and ReadsPerSecond.
	Limited bool `json:"limited"`
	// LateBy is the delay of calls with the fault Late or Stall.
	LateBy time.Duration `json:"lateByNanos"`
	// Script, if set, decides the fault of each call by its path. It must be
	// safe for concurrent use.
	Script func(path string) Fault `json:"-"`
}

// SetFaults replaces the fault settings.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeLocked()
}

// Faults returns the current fault settings.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ExpireLeases ends every lease now, even if its lifetime is not over.
func (p *Platform) ExpireLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.leases {
		p.dropLeaseLocked(id)
	}
	p.wakeLocked()
}

// Compact discards all revisions before the current one. Current values stay.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data.compact(p.data.revision)
	p.wakeLocked()
}

// Revision returns the current revision.
func (p *Platform) Revision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.data.revision
}

// Restore returns to the state of an older revision and ends all watches, as
// restoring a snapshot does.
func (p *Platform) Restore(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data.restore(revision)
	p.epoch++
	p.wakeLocked()
}

// nextFault returns the fault to inject into a call, and counts LoseAnswers down
// when it applies to the call.
func (p *Platform) nextFault(path string, write bool) Fault {
	p.mu.Lock()
	script := p.faults.Script
	down := p.faults.Down
	lose := write && p.faults.LoseAnswers > 0
	if lose && !down {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	switch {
	case down:
		return Refuse
	case script != nil:
		return script(path)
	case lose:
		return LoseAnswer
	default:
		return None
	}
}
