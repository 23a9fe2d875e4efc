package load

import (
	"context"
	"time"
)

// Reading is what one process has used up to a time.
type Reading struct {
	At           time.Time
	CPUSeconds   float64
	MemoryBytes  float64
	ControlBytes float64
}

// Read reads the metrics of one process, or reports false if it did not answer.
func Read(ctx context.Context, source MetricsSource) (Reading, bool) {
	u := scrape(ctx, source)
	return Reading{At: u.at, CPUSeconds: u.cpu, MemoryBytes: u.memory, ControlBytes: u.controlBytes}, u.ok
}
