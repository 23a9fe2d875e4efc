package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const examples = "../../examples/"

// run runs a command and returns its exit code and output.
func run(args ...string) (code int, out, errors string) {
	var stdout, stderr bytes.Buffer
	var grammar struct{ Commands }
	code = Run(context.Background(), args, &grammar, Streams{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

// startFakeBalancer starts an administration server with fixed responses by method and path. It returns the path of
// an operator's settings file for it.
func startFakeBalancer(t *testing.T, answers map[string]string) (operator string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"dryRun":true`) {
			r.URL.Path += "?dry-run"
		}
		answer, known := answers[r.Method+" "+r.URL.Path]
		if !known || r.Header.Get("Authorization") != "Bearer sixteen-characters" {
			answer = `{"kind":"not_found","status":404,"detail":"nothing here","remedy":"look elsewhere"}`
		}
		if strings.HasPrefix(answer, `{"kind"`) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(server.Close)
	raw, err := json.Marshal(map[string]any{"role": "operator", "endpoints": []string{server.URL}, "adminToken": "sixteen-characters"})
	if err != nil {
		t.Fatal(err)
	}
	operator = filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operator, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return operator
}

const (
	completeSpread = `"spread":{"dataCentres":[{"name":"cesme","complete":true,"balancers":3,"agents":7}]}`
	laggingSpread  = `"spread":{"dataCentres":[{"name":"cesme","complete":true,"balancers":3,"lagging":1,"sample":["127.0.1.3:7000"]}]}`
	record         = `{"number":7,"id":"tide-7","submitter":"ayse\u001b[2J","time":"2026-05-01T08:00:00Z","outcome":"accepted","revision":41,
		"changes":[{"service":"counter","id":3,"before":{"name":"counter","limits":{"slots":5}},"after":{"name":"counter","limits":{"slots":6}}},{"service":"catalogue","id":4}]}`
)

func TestCommands(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "ticket.json")
	if err := os.WriteFile(broken, []byte(`{"id":"x","submiter":"y"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	operator := startFakeBalancer(t, map[string]string{
		"POST /v1/tickets":           `{"outcome":{"id":"create-rezervasyon","number":8,"revision":42}}`,
		"POST /v1/tickets?dry-run":   `{"preview":{"differences":[{"service":"rezervasyon","field":"limits.slots","after":"5"}]}}`,
		"GET /v1/tickets/7":          record,
		"GET /v1/history":            `{"tickets":[` + record + `]}`,
		"GET /v1/tickets/7/status":   `{"number":7,"id":"tide-7","inForce":true,` + completeSpread + `}`,
		"GET /v1/tickets/8/status":   `{"number":8,"id":"late","inForce":false,` + laggingSpread + `}`,
		"POST /v1/drain":             `{"kind":"conflict","detail":"another ticket won","remedy":"look","current":[{"name":"counter","id":3,"revision":50,"ticket":9}]}`,
		"GET /v1/state":              `{"instance":{"address":"127.0.1.1:7000","role":"balancer","dataCentre":"cesme"},"ready":false,"reason":"no configuration",` + completeSpread + `}`,
		"GET /v1/services":           `{"services":[{"name":"counter","id":3,"address":"127.0.10.1:443","draining":["127.0.2.2:7000"]}]}`,
		"GET /v1/presence":           `{"members":[{"address":"127.0.2.1:7000","role":"agent","state":"serving","loadPercent":40},{"address":"127.0.1.1:7000","role":"balancer"}]}`,
		"GET /v1/tickets/removed":    `{"kind":"unavailable","detail":"store is down","remedy":"wait"}`,
		"GET /v1/tickets/odd%2Fname": record,
	})
	with := func(args ...string) []string { return append(args, "--settings", operator) }
	cases := []struct {
		name string
		args []string
		code int
		want []string // substrings of the output, in order
	}{
		{"help", []string{"--help"}, ExitOK, []string{"Usage: almondledge", "ticket", "settings"}},
		{"no command", nil, ExitUsage, []string{"expected one of"}},
		{"unknown flag", []string{"status", "--colour"}, ExitUsage, []string{"unknown flag --colour"}},
		{"missing argument", []string{"ticket", "show"}, ExitUsage, []string{"<ticket>"}},
		{"version", []string{"version"}, ExitOK, []string{"almondledge "}},
		{"no settings", []string{"status", "--settings", "no-such-file"}, ExitFailure, []string{"cannot be read", "remedy"}},
		{"check refuses", []string{"settings", "check", examples + "agent.json"}, ExitFailure, []string{"refused", "packetKeys", "1 of 1"}},
		{"submit", with("ticket", "submit", examples+"ticket.json"), ExitOK, []string{"ticket 8 (create-rezervasyon) accepted at revision 42"}},
		{"dry run", with("ticket", "submit", "--dry-run", examples+"ticket.json"), ExitOK, []string{"rezervasyon", "limits.slots", "-", "5"}},
		{"unknown field in ticket", with("ticket", "submit", broken), ExitFailure, []string{"submiter", "remedy"}},
		{"not a ticket", with("ticket", "submit", examples+"agent.json"), ExitFailure, []string{"unknown field"}},
		{"show", with("ticket", "show", "7"), ExitOK, []string{"tide-7", "ayse?[2J", "counter,catalogue+", "limits.slots", "5", "6"}},
		{"show as JSON", with("ticket", "show", "7", "--json"), ExitOK, []string{`"number": 7`}},
		{"show unknown", with("ticket", "show", "9"), ExitFailure, []string{"nothing here (remedy: look elsewhere)"}},
		{"history", with("ticket", "history"), ExitOK, []string{"TICKET", "7", "tide-7", "2026-05-01T08:00:00Z", "accepted", "41"}},
		{"in force", with("ticket", "status", "7"), ExitOK, []string{"ticket 7", "cesme", "yes"}},
		{"not in force", with("ticket", "status", "8"), ExitFailure, []string{"127.0.1.3:7000", "not in force"}},
		{"drain loses", with("drain", "counter", "127.0.2.1:7000", "--submitter", "ayse"), ExitFailure, []string{"another ticket won", "counter", "50", "9", "removed"}},
		{"drain of a name", with("drain", "counter", "host-1", "--submitter", "ayse"), ExitFailure, []string{"IP:port"}},
		{"status", with("status"), ExitOK, []string{"no configuration", "cesme", "counter", "127.0.2.2:7000", "balancer", "agent", "40 %"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errors := run(c.args...)
			is.Equal(code, c.code)
			rest := out + errors
			for _, part := range c.want {
				_, after, found := strings.Cut(rest, part)
				if !found {
					t.Fatalf("no %q in the rest of the output:\n%s", part, out+errors)
				}
				rest = after
			}
		})
	}
}

func TestFilledSettingsPassTheCheck(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	keys, filled := filepath.Join(dir, "keys.json"), filepath.Join(dir, "settings")
	files := []string{examples + "balancer.json", examples + "agent.json", examples + "operator.json"}

	code, _, _ := run("settings", "keys", keys, "--add-key")
	is.Equal(code, ExitFailure) // nothing to rotate
	code, _, _ = run(append([]string{"settings", "keys", keys}, files...)...)
	is.Equal(code, ExitFailure) // no directory for the filled files
	code, _, _ = run(append([]string{"settings", "keys", keys, "--out", filled, "--caller-name", "rezervasyon.test"}, files...)...)
	is.Equal(code, ExitOK)
	code, out, _ := run("settings", "check", filepath.Join(filled, "balancer.json"), filepath.Join(filled, "agent.json"), filepath.Join(filled, "operator.json"))
	is.Equal(code, ExitOK)
	is.Equal(strings.Count(out, "valid settings of role"), 3)

	before, err := os.ReadFile(keys)
	is.NoErr(err)
	code, _, _ = run("settings", "keys", keys)
	is.Equal(code, ExitOK)
	same, err := os.ReadFile(keys)
	is.NoErr(err)
	is.Equal(before, same) // existing keys are kept
	for _, step := range []string{"--add-key", "--promote-key=1", "--remove-key=0"} {
		code, _, _ = run("settings", "keys", keys, step)
		is.Equal(code, ExitOK)
	}
	code, _, _ = run("settings", "keys", keys, "--promote-key=0")
	is.Equal(code, ExitFailure)
	code, _, _ = run("settings", "keys", keys, "--add-key", "--remove-key=0")
	is.Equal(code, ExitUsage) // one step at a time
}
