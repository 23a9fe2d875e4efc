package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/admission"
	"github.com/almondledge/almondledge/internal/request"
)

// health is the driver of the health by outcomes.
type health struct {
	cfg Config
	// changed is called with each new state, with mu held.
	changed func(outlier bool)

	mu      sync.Mutex
	judge   admission.OutlierDetector
	outlier bool
}

func newHealth(cfg Config, changed func(bool)) *health {
	return &health{cfg: cfg, changed: changed}
}

// observe counts the outcome of one dispatched request.
func (h *health) observe(failed bool) {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.judge.Observe(now, failed)
	h.report(now)
}

// isOutlier reports whether requests should go to peers if they can.
func (h *health) isOutlier() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outlier
}

func (h *health) report(now time.Time) {
	outlier := h.judge.IsOutlier(now)
	if outlier == h.outlier {
		return
	}
	h.outlier = outlier
	h.cfg.Log.WithField("outlier", outlier).WithField("backend", h.cfg.Backend.Host).Warn("backend server health changed")
	h.changed(outlier)
	if outlier {
		time.AfterFunc(h.judge.EjectedUntil().Sub(now), h.recheck)
	}
}

func (h *health) recheck() {
	now := h.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report(now)
}

// isFailure reports whether the end of a local attempt counts against the
// backend server. An answer of 503 is a backend server that sheds load.
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
