package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
	"github.com/almondledge/almondledge/internal/request"
)

// health decides from the results of requests whether the backend server is an outlier. It adds a
// lock and a timer to an admission.OutlierDetector.
type health struct {
	cfg Config
	// onChange is called with each new state. The caller holds mu.
	onChange func(outlier bool)

	mu       sync.Mutex
	detector admission.OutlierDetector
	outlier  bool
}

func newHealth(cfg Config, onChange func(bool)) *health {
	return &health{cfg: cfg, onChange: onChange}
}

// observe records whether one dispatched request failed.
func (h *health) observe(failed bool) {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detector.Observe(now, failed)
	h.update(now)
}

// isOutlier reports whether requests should go to peers if possible.
func (h *health) isOutlier() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outlier
}

// update logs and reports a changed state, and schedules a recheck for the end of an ejection. The
// caller must hold mu.
func (h *health) update(now time.Time) {
	outlier := h.detector.IsOutlier(now)
	if outlier == h.outlier {
		return
	}
	h.outlier = outlier
	h.cfg.Log.WithField("outlier", outlier).WithField("backend", h.cfg.Backend.Host).Warn("backend server health changed")
	h.onChange(outlier)
	if outlier {
		time.AfterFunc(h.detector.EjectedUntil().Sub(now), h.recheck)
	}
}

func (h *health) recheck() {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(now)
}

// isFailure reports whether a local attempt counts as a failure of the backend server. An answer
// with status 503 does not count: the backend server sheds load.
func isFailure(e request.Event, response *http.Response) bool {
	switch e.Kind {
	case request.BackendUnreached, request.BackendFailed, request.DeadlinePassed:
		return true
	case request.AnswerStarted:
		code := response.StatusCode
		return code == http.StatusInternalServerError || code == http.StatusBadGateway || code == http.StatusGatewayTimeout
	default:
		return false
	}
}
