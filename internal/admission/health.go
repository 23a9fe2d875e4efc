package admission

import "time"

// Settings of the OutlierDetector.
const (
	// outlierFailures is the number of consecutive failures that makes a backend server an outlier.
	outlierFailures = 5
	firstEjection   = 5 * time.Second
	maxEjection     = time.Minute
)

// OutlierDetector detects a broken backend server from the results of its requests, because its
// health endpoint can be outdated or wrong. An outlier is ejected: until the ejection ends, its
// requests should go to peers. It is not safe for concurrent use.
type OutlierDetector struct {
	// failures counts consecutive failures.
	failures int
	// ejection is the duration of the latest ejection, or zero after a success outside of an
	// ejection.
	ejection time.Duration
	until    time.Time
}

// Observe records whether one request failed. A request fails if its answer does not arrive in time
// or indicates a broken backend server.
func (d *OutlierDetector) Observe(now time.Time, failed bool) {
	if !failed {
		d.failures = 0
		if !now.Before(d.until) {
			d.ejection = 0
		}
		return
	}
	d.failures++
	if d.failures < outlierFailures || now.Before(d.until) {
		return
	}
	// Each consecutive ejection lasts twice as long as the one before, up to maxEjection. After an
	// ejection the count starts at one below the bound, so a single failure causes the next ejection.
	d.ejection = min(max(2*d.ejection, firstEjection), maxEjection)
	d.until = now.Add(d.ejection)
	d.failures = outlierFailures - 1
}

// IsOutlier reports whether requests should go to peers if possible. After the ejection the backend
// server receives requests again.
func (d *OutlierDetector) IsOutlier(now time.Time) bool {
	return now.Before(d.until)
}

// EjectedUntil returns the end of the latest ejection. It is in the past for a healthy backend
// server.
func (d *OutlierDetector) EjectedUntil() time.Time { return d.until }
