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
	// Started is when requests began.
	Started time.Time `json:"started"`
	// Seconds is the configured duration.
	Seconds float64 `json:"seconds"`
	// Seed is the seed of the arrivals.
	Seed uint64 `json:"seed"`
	// Targets are the results of each service.
	Targets []TargetReport `json:"targets"`
	// Roles are the resources that each role used, if metrics were given.
	Roles []RoleUsage `json:"roles,omitempty"`
	// Violations are the broken promises, in words.
	Violations []string `json:"violations"`
}

// TargetReport is the result of one service.
type TargetReport struct {
	// Name is the name of the service.
	Name string `json:"name"`
	// LongFlows is the number of long flows that were opened.
	LongFlows int `json:"longFlows"`
	// FlowsNotOpened is the number of long flows that could not be opened.
	FlowsNotOpened int `json:"flowsNotOpened"`
	// FlowsBroken counts connections, long and short, that ended without a graceful reason.
	FlowsBroken int `json:"flowsBroken"`
	// FlowsBrokenBy counts them by the agent that answered last.
	FlowsBrokenBy map[string]int `json:"flowsBrokenBy"`
	// FlowsBrokenInUse counts those with requests under way.
	FlowsBrokenInUse int `json:"flowsBrokenInUse"`
	// FlowsMoved counts connections that ended gracefully.
	FlowsMoved int `json:"flowsMoved"`
	// RequestsCut counts requests that broke off or whose answers did.
	RequestsCut int `json:"requestsCut"`
	// WrongAnswers counts answers that were not the caller's own or not whole.
	WrongAnswers int `json:"wrongAnswers"`
	// Skipped counts arrivals that the tool did not send, since too many were under way.
	Skipped int `json:"skipped"`
	// Classes are the results of each kind of request.
	Classes []ClassReport `json:"classes"`
	// Imbalance says how work was spread.
	Imbalance Imbalance `json:"imbalance"`
	// Bookings compares bookings with the ledgers.
	Bookings BookingCheck `json:"bookings"`
	// Breaks are samples of broken flows.
	Breaks []BrokenFlow `json:"breaks,omitempty"`
	// Errors are samples of other errors.
	Errors []string `json:"errors,omitempty"`
}

// ClassReport is the result of one kind of request.
type ClassReport struct {
	// Class is the kind of request.
	Class Class `json:"class"`
	// Verdicts counts requests by what they came to; each try counts.
	Verdicts map[caller.Verdict]int `json:"verdicts"`
	// Bytes is the size of all answers.
	Bytes int64 `json:"bytes"`
	// Latency is from the intended start to the end of the answer.
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

// report returns the result of one target.
func (r *recorder) report(t Target, flows map[string]int, opened, notOpened int, runs map[string]int) TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := TargetReport{
		Name:             t.Name,
		LongFlows:        opened,
		FlowsNotOpened:   notOpened,
		FlowsBroken:      r.broken,
		FlowsBrokenBy:    r.brokenBy,
		FlowsBrokenInUse: r.inUse,
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

// violations returns the promises that a target's result breaks whatever
// failed meanwhile. Broken flows and cut requests are judged by the caller of
// the run, since an unplanned stop of a backend server may cause them.
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

// WriteTable writes the report as tables for people.
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
				others(c.Verdicts), c.Latency.P50, c.Latency.P99, c.Latency.P999, c.Latency.Max)
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

func others(verdicts map[caller.Verdict]int) string {
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
