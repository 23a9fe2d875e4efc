package flowproc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
)

const (
	// checkPeriod is the interval at which the agent tests whether a check of the backend server is due.
	checkPeriod = 50 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 400 * time.Millisecond
	// checkRetry is the pause after an inconclusive check.
	checkRetry = time.Second
	// reportSilence is the time without a report after which the backend server is checked.
	reportSilence = 2600 * time.Millisecond
	// defaultSlots is the number of slots that is assumed until the backend server reports its own number.
	defaultSlots = 4
)

// checkBackend runs HTTP health checks while the state of the backend server is unknown, as at the start of
// the agent, and after its reports have ceased. It returns when ctx ends.
func (a *Agent) checkBackend(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return a.opt.Network.DialTCP(ctx, address)
		},
	}}
	for ctx.Err() == nil {
		path, due := a.checkDue(time.Now())
		if !due {
			waitFor(ctx, checkPeriod)
			continue
		}
		ready, err := a.requestHealth(ctx, client, path)
		if !a.handleCheckResult(time.Now(), ready, err) {
			waitFor(ctx, checkRetry)
		}
	}
}

// checkDue reports whether a health check is due and returns its path.
func (a *Agent) checkDue(now time.Time) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	service := a.follower.Table().Service(a.cfg.Service)
	if service == nil || a.leaving {
		return "", false
	}
	switch a.agent.Backend().State {
	case fleet.BackendUnknown:
		return service.HealthPath, true
	case fleet.BackendGone:
		return "", false
	default:
		return service.HealthPath, a.reports.SinceLastReport(now) >= reportSilence
	}
}

func (a *Agent) requestHealth(ctx context.Context, client *http.Client, path string) (ready bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.cfg.Backend.String()+path, http.NoBody)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK, nil
}

// handleCheckResult applies the result of a check and reports whether it was conclusive. Only a
// refused connection proves that the backend server has ended.
func (a *Agent) handleCheckResult(now time.Time, ready bool, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.agent.Backend()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		a.setBackend(now, a.reports.MarkGone(), "")
		return true
	case err == nil && ready && b.State == fleet.BackendUnknown:
		a.setBackend(now, a.reports.ApplyHealthCheck(fleet.BackendReady, defaultSlots), "")
		return true
	default:
		a.log.event("backend server checked", fields{"ready": ready, "result": err, "state": b.State, "silence": a.reports.SinceLastReport(now)})
		return false
	}
}
