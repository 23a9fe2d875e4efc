// Package telemetry serves the metrics, health checks and profiles of one process over HTTP.
package telemetry

import (
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Paths that Register serves.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	ProfilePath = "/debug/pprof/"
)

// Ready returns nil if the process is ready to serve, and otherwise an error with the reason.
type Ready func() error

// Process holds the metrics of one balancer or agent. The default set of the
// metrics library is not used, because the demo and tests run several balancers
// and agents in one operating system process.
type Process struct {
	set   *metrics.Set
	ready Ready
}

// New returns the telemetry of a process. The process is reported as ready while ready returns nil.
func New(ready Ready) *Process {
	return &Process{set: metrics.NewSet(), ready: ready}
}

// Set returns the set in which the components of the process register their metrics.
func (p *Process) Set() *metrics.Set { return p.set }

// Register registers the handlers of this package on mux. Metrics and health checks need no authentication; guard
// wraps the handlers of the profiles and must authenticate their requests.
func (p *Process) Register(mux *http.ServeMux, guard func(http.Handler) http.Handler) {
	mux.HandleFunc("GET "+MetricsPath, p.serveMetrics)
	mux.HandleFunc("GET "+HealthPath, serveHealth)
	mux.HandleFunc("GET "+ReadyPath, p.serveReady)
	mux.Handle("GET "+ProfilePath, guard(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET "+ProfilePath+"cmdline", guard(http.HandlerFunc(pprof.Cmdline)))
	mux.Handle("GET "+ProfilePath+"profile", guard(http.HandlerFunc(pprof.Profile)))
	mux.Handle("GET "+ProfilePath+"symbol", guard(http.HandlerFunc(pprof.Symbol)))
	mux.Handle("GET "+ProfilePath+"trace", guard(http.HandlerFunc(pprof.Trace)))
}

func (p *Process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	p.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// serveHealth responds with status 200 whenever it is called: a response shows that the process runs.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeLine(w, http.StatusOK, "ok")
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.ready(); err != nil {
		writeLine(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeLine(w, http.StatusOK, "ready")
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(line + "\n"))
}

// NotReady returns an error for a Ready function. The argument missing describes what the process lacks.
func NotReady(missing, remedy string) error {
	return errkind.New(errkind.Unavailable, "not ready: "+missing, remedy)
}
