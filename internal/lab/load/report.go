package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// Report is the result of a run.
type Report struct {
	// Started is the time when the run began to send requests.
	Started time.Time `json:"started"`
	// Seconds is the configured duration.
	Seconds float64 `json:"seconds"`
	// Seed is the seed of the arrivals.
	Seed uint64 `json:"seed"`
	// Targets are the results for each service.
	Targets []TargetReport `json:"targets"`
	// Roles is the resource usage of each role, if metrics were configured.
	Roles []RoleUsage `json:"roles,omitempty"`
	// Violations describes the violated guarantees.
	Violations []string `json:"violations"`
}

// TargetReport is the result for one service.
type TargetReport struct {
	// Name is the name of the service.
	Name string `json:"name"`
	// LongFlows is the number of long flows that were opened.
	LongFlows int `json:"longFlows"`
	// FlowsNotOpened is the number of long flows that could not be opened.
	FlowsNotOpened int `json:"flowsNotOpened"`
	// FlowsBroken counts the connections of long and short flows that were not closed
	// gracefully.
	FlowsBroken int `json:"flowsBroken"`
	// FlowsBrokenBy counts broken flows by the agent that answered last.
	FlowsBrokenBy map[string]int `json:"flowsBrokenBy"`
	// FlowsBrokenInUse counts broken flows with requests in flight.
	FlowsBrokenInUse int `json:"flowsBrokenInUse"`
	// FlowsMoved counts connections that were closed gracefully.
	FlowsMoved int `json:"flowsMoved"`
	// RequestsCut counts requests with the verdict caller.Cut: the request or its answer was
	// interrupted.
	RequestsCut int `json:"requestsCut"`
	// WrongAnswers counts answers that belong to another request or have the wrong content.
	WrongAnswers int `json:"wrongAnswers"`
	// Skipped counts arrivals for which no request was sent because too many requests were
	// in flight or no socket could be opened.
	Skipped int `json:"skipped"`
	// Classes are the results for each kind of request.
	Classes []ClassReport `json:"classes"`
	// Imbalance describes how answers and flows were spread over backend servers.
	Imbalance Imbalance `json:"imbalance"`
	// Bookings holds the result of comparing the bookings with the ledgers.
	Bookings BookingCheck `json:"bookings"`
	// Breaks lists the first broken flows.
	Breaks []BrokenFlow `json:"breaks,omitempty"`
	// Errors lists the first errors of requests.
	Errors []string `json:"errors,omitempty"`
}

// ClassReport is the result for one kind of request.
type ClassReport struct {
	// Class is the kind of request.
	Class Class `json:"class"`
	// Verdicts counts requests by verdict, including each retry.
	Verdicts map[caller.Verdict]int `json:"verdicts"`
	// Bytes is the total size of all answer bodies.
	Bytes int64 `json:"bytes"`
	// Latency is the time from the intended start to the end of the answer.
	Latency Latency `json:"latency"`

	histogram *hdrhistogram.Histogram
}

// Latency holds percentiles of answered requests in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   millis(h.ValueAtPercentile(50)),
		P90:   millis(h.ValueAtPercentile(90)),
		P99:   millis(h.ValueAtPercentile(99)),
		P999:  millis(h.ValueAtPercentile(99.9)),
		Max:   millis(h.Max()),
	}
}

// report returns the result for target t. runs counts the runs of each booking attempt
// in the ledgers.
func (r *recorder) report(t Target, flows map[string]int, opened, notOpened int, runs map[string]int) TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := TargetReport{
		Name:             t.Name,
		LongFlows:        opened,
		FlowsNotOpened:   notOpened,
		FlowsBroken:      r.broken,
		FlowsBrokenBy:    r.brokenBy,
		FlowsBrokenInUse: r.brokenInUse,
		FlowsMoved:       r.graceful,
		Skipped:          r.skipped,
		Imbalance:        newImbalance(t.Servers, r.servers, r.windows, flows),
		Bookings:         checkBookings(r.bookings, runs),
		Breaks:           r.breaks,
		Errors:           r.errors,
	}
	for _, c := range Classes {
		record := r.classes[c]
		if len(record.verdicts) == 0 {
			continue
		}
		out.RequestsCut += record.verdicts[caller.Cut]
		out.WrongAnswers += record.verdicts[caller.Wrong]
		out.Classes = append(out.Classes, ClassReport{
			Class:     c,
			Verdicts:  record.verdicts,
			Bytes:     record.bytes,
			Latency:   newLatency(record.latency),
			histogram: record.latency,
		})
	}
	return out
}

// violations returns the violations of guarantees that hold under any fault. It excludes
// broken flows and cut requests, since an unplanned stop of a backend server may cause
// both; the code that starts the run evaluates them.
func (t TargetReport) violations() []string {
	var out []string
	add := func(n int, what string, samples []string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s: %d %s %v", t.Name, n, what, samples[:min(len(samples), 5)]))
		}
	}
	add(t.WrongAnswers, "answers were not the caller's own or not whole", t.Errors)
	add(len(t.Bookings.Twice), "bookings ran more than once", t.Bookings.Twice)
	add(len(t.Bookings.NotRunThatRan), "bookings ran that were said not to", t.Bookings.NotRunThatRan)
	add(len(t.Bookings.ConfirmedWithoutRun), "bookings were answered that did not run", t.Bookings.ConfirmedWithoutRun)
	return out
}

// WriteJSON writes the report to report.json in dir.
func (r *Report) WriteJSON(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644)
}

// WriteTable writes the report as human-readable tables.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintln(&text, "service\tlong flows\tbroken\tmoved\tcut\twrong\tbooked twice\t\"not run\" that ran\tmax/mean\tp99 max/mean")
	for _, t := range r.Targets {
		fmt.Fprintf(&text, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\n", t.Name, t.LongFlows, t.FlowsBroken,
			t.FlowsMoved, t.RequestsCut, t.WrongAnswers, len(t.Bookings.Twice), len(t.Bookings.NotRunThatRan),
			t.Imbalance.MaxOverMean, t.Imbalance.WindowP99)
	}
	fmt.Fprintln(&text, "\nservice\trequest\tanswered\tothers\tp50 ms\tp99 ms\tp99.9 ms\tmax ms")
	for _, t := range r.Targets {
		for _, c := range t.Classes {
			fmt.Fprintf(&text, "%s\t%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\n", t.Name, c.Class, c.Verdicts[caller.Answered],
				otherVerdicts(c.Verdicts), c.Latency.P50, c.Latency.P99, c.Latency.P999, c.Latency.Max)
		}
	}
	if len(r.Roles) > 0 {
		fmt.Fprintln(&text, "\nrole\tprocesses\tCPU s\tmost memory MB\tcontrol bytes/s a process")
		for _, u := range r.Roles {
			fmt.Fprintf(&text, "%s\t%d\t%.2f\t%.0f\t%.0f\n", u.Role, u.Processes, u.CPUSeconds, u.MostMemoryBytes/1e6, u.ControlBytesPerSecond)
		}
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&text, "\nbroken promise:", v)
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(tab, text.String()); err != nil {
		return err
	}
	return tab.Flush()
}

// otherVerdicts formats the counts of all verdicts except Answered.
func otherVerdicts(verdicts map[caller.Verdict]int) string {
	text := ""
	for _, v := range caller.Verdicts {
		if n := verdicts[v]; n > 0 && v != caller.Answered {
			text += fmt.Sprintf("%s=%d ", v, n)
		}
	}
	if text == "" {
		return "-"
	}
	return text[:len(text)-1]
}
