package spread

import (
	"math"
	"time"
)

// meterMemory is the time constant of the moving mean of a Meter. Slots fill
// and empty with every request; flows last much longer, so they are placed by
// the mean.
const meterMemory = 60 * time.Second

// Meter is the moving mean over time of a share that changes in steps.
type Meter struct {
	mean, current float64
	last          time.Time
}

// NewMeter returns a Meter of a share that is 0 at now.
func NewMeter(now time.Time) Meter {
	return Meter{last: now}
}

// Set notes the share from now on.
func (m *Meter) Set(now time.Time, share float64) {
	m.mean = m.Value(now)
	m.current = share
	if now.After(m.last) {
		m.last = now
	}
}

// Value returns the moving mean at now.
func (m *Meter) Value(now time.Time) float64 {
	passed := max(now.Sub(m.last), 0)
	return m.current + (m.mean-m.current)*math.Exp(-float64(passed)/float64(meterMemory))
}
