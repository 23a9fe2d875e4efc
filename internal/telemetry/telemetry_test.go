package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPaths(t *testing.T) {
	var reason error
	process := New(func() error { return reason })
	process.Set().NewCounter(`almondledge_test_total{a="b"}`).Inc()
	mux := http.NewServeMux()
	process.Register(mux, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	})
	waiting := NotReady("no configuration is known", "check the store")
	cases := []struct {
		method, path string
		reason       error
		status       int
		body         string
	}{
		{"GET", MetricsPath, nil, 200, `almondledge_test_total{a="b"} 1`},
		{"GET", MetricsPath, nil, 200, "process_resident_memory_bytes"},
		{"GET", HealthPath, waiting, 200, "ok\n"},
		{"GET", ReadyPath, nil, 200, "ready\n"},
		{"GET", ReadyPath, waiting, 503, "not ready: no configuration is known (remedy: check the store)\n"},
		{"POST", ReadyPath, nil, 405, ""},
		{"GET", ProfilePath, nil, 401, ""},
		{"GET", ProfilePath + "heap", nil, 401, ""},
		{"GET", ProfilePath + "cmdline", nil, 401, ""},
		{"GET", ProfilePath + "profile", nil, 401, ""},
		{"GET", ProfilePath + "symbol", nil, 401, ""},
		{"GET", ProfilePath + "trace", nil, 401, ""},
	}
	for _, c := range cases {
		t.Run(c.method+c.path, func(t *testing.T) {
			is := is.New(t)
			reason = c.reason
			recorder := httptest.NewRecorder()
			mux.ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, nil))
			is.Equal(recorder.Code, c.status)
			is.True(strings.Contains(recorder.Body.String(), c.body))
		})
	}
}
