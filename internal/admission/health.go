package admission

import "time"

// Settings of the health by outcomes.
const (
	// outlierFailures is the number of failures in a row that makes a backend
	// server an outlier.
	outlierFailures = 5
	firstEjection   = 5 * time.Second
	maxEjection     = time.Minute
)

// OutlierDetector judges a backend server by the outcomes of its requests, because its
// health endpoint lags or misleads. It is not safe for concurrent use.
type OutlierDetector struct {
	failures int
	ejection time.Duration
	until    time.Time
}

// Observe counts the outcome of one request. A failure is a request without an
// answer in time, or with an answer that only a broken backend server gives.
func (h *OutlierDetector) Observe(now time.Time, failed bool) {
	if !failed {
		h.failures = 0
		if !now.Before(h.until) {
			h.ejection = 0
		}
		return
	}
	h.failures++
	if h.failures < outlierFailures || now.Before(h.until) {
		return
	}
	// Each ejection in a row lasts twice as long. One failure after it is
	// enough for the next, since the count starts at the bound less one.
	h.ejection = min(max(2*h.ejection, firstEjection), maxEjection)
	h.until = now.Add(h.ejection)
	h.failures = outlierFailures - 1
}

// IsOutlier reports whether requests should go elsewhere if they can. After the
// ejection the backend server is tried again.
func (h *OutlierDetector) IsOutlier(now time.Time) bool {
	return now.Before(h.until)
}

// EjectedUntil returns when the ejection ends; it is in the past for a healthy backend server.
func (h *OutlierDetector) EjectedUntil() time.Time { return h.until }
