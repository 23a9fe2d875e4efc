package load

import (
	"context"
	"time"
)

// ResourceUsage is the resource usage of one process since its start, as of At.
type ResourceUsage struct {
	At           time.Time
	CPUSeconds   float64
	MemoryBytes  float64
	ControlBytes float64
}

// ReadUsage reads the metrics of one process. It returns false if the process did not answer.
func ReadUsage(ctx context.Context, source MetricsSource) (ResourceUsage, bool) {
	u := scrape(ctx, source)
	return ResourceUsage{At: u.at, CPUSeconds: u.cpu, MemoryBytes: u.memory, ControlBytes: u.controlBytes}, u.ok
}
