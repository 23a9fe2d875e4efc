package spread

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the moving mean of a Meter. The number of
// occupied slots changes with every request while flows last much longer, so flows are
// placed by the moving mean of the slots.
const meterTimeConstant = 60 * time.Second

// Meter computes the moving mean over time of a share that changes in steps.
type Meter struct {
	mean, current float64
	last          time.Time
}

// NewMeter returns a Meter of a share that is 0 at now.
func NewMeter(now time.Time) Meter {
	return Meter{last: now}
}

// Set changes the current share at now.
func (m *Meter) Set(now time.Time, share float64) {
	m.mean = m.Value(now)
	m.current = share
	if now.After(m.last) {
		m.last = now
	}
}

// Value returns the moving mean at now.
func (m *Meter) Value(now time.Time) float64 {
	elapsed := max(now.Sub(m.last), 0)
	return m.current + (m.mean-m.current)*math.Exp(-float64(elapsed)/float64(meterTimeConstant))
}
