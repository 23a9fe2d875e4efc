package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/almondledge/almondledge/internal/lab/load"
)

// Report is the result of a fault run.
type Report struct {
	// Place is the name of the deployment.
	Place string `json:"place"`
	// Seed determined all random choices.
	Seed uint64 `json:"seed"`
	// Results holds a result for each step, in the order of injection.
	Results []Result `json:"results"`
	// Load is the report of the load during the run.
	Load *load.Report `json:"load"`
	// Violations lists the violations of all steps and of the load.
	Violations []string `json:"violations"`
}

// Result holds the violations and the counts of a step. The counts begin with the injection
// of the fault, or the pair. They end after the pause that follows cleanup, once the last
// ticket is active in all processes or late.
type Result struct {
	// Name is the name of the fault, or both names of a pair.
	Name string `json:"name"`
	// Planned marks a change that operators make on purpose.
	Planned bool `json:"planned"`
	// Seconds is the duration of the step, including cleanup and settling.
	Seconds float64 `json:"seconds"`
	// Answered, NotRun, NotSent, Unknown, TimedOut and Failed count requests.
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	NotSent  int `json:"notSent"`
	Unknown  int `json:"unknown"`
	TimedOut int `json:"timedOut"`
	Failed   int `json:"failed"`
	// Moved counts connections that were closed gracefully.
	Moved int `json:"moved"`
	// FlowsBroken counts the broken flows that the fault does not allow.
	FlowsBroken int `json:"flowsBroken"`
	// FlowsBrokenAllowed counts the broken flows of killed agents and backend servers and,
	// if any was killed, the flows that broke before their first answer.
	FlowsBrokenAllowed int `json:"flowsBrokenAllowed"`
	// RequestsCut counts the cut requests that the fault does not allow.
	RequestsCut int `json:"requestsCut"`
	// RequestsCutAllowed counts the cut requests that the fault allows, by the rule of
	// FlowsBrokenAllowed.
	RequestsCutAllowed int `json:"requestsCutAllowed"`
	// SlowestMs is the longest latency of an answered request in milliseconds, excluding
	// feeds.
	SlowestMs float64 `json:"slowestMs"`
	// Errors lists the first errors that callers saw.
	Errors []string `json:"errors,omitempty"`
	// TicketLagMs is the time in milliseconds, after cleanup and settling, until the
	// last accepted ticket was active in all processes.
	TicketLagMs float64 `json:"ticketLagMs"`
	// Violations describes the guarantees that the step violated.
	Violations []string `json:"broken"`
}

// verdict returns the text for the last column of the summary table.
func (r Result) verdict() string {
	if len(r.Violations) == 0 {
		return "held"
	}
	return "BROKEN: " + strings.Join(r.Violations, "; ")
}

// progressLine returns a one-line summary.
func (r Result) progressLine() string {
	return fmt.Sprintf("%-40s %5.1fs answered=%d %s", r.Name, r.Seconds, r.Answered, r.verdict())
}

// collectViolations collects the violations of all steps and of the load.
func (r *Report) collectViolations() {
	for _, result := range r.Results {
		for _, what := range result.Violations {
			r.Violations = append(r.Violations, result.Name+": "+what)
		}
	}
	r.Violations = append(r.Violations, r.Load.Violations...)
}

// WriteJSON writes the report to faults.json in dir.
func (r *Report) WriteJSON(dir string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "faults.json"), append(text, '\n'), 0o644)
}

// WriteTable writes the summary table.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d; numbers in brackets are allowed by the fault\n", r.Place, r.Seed)
	fmt.Fprintln(&text, "fault\tplanned\tanswered\tflows broken\tmoved\tcut\tnot run\tnot sent\tunknown\ttimed out\tfailed\tslowest ms\tticket lag ms\tpromises")
	for _, x := range r.Results {
		fmt.Fprintf(&text, "%s\t%v\t%d\t%d (%d)\t%d\t%d (%d)\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%s\n", x.Name, x.Planned, x.Answered,
			x.FlowsBroken, x.FlowsBrokenAllowed, x.Moved, x.RequestsCut, x.RequestsCutAllowed,
			x.NotRun, x.NotSent, x.Unknown, x.TimedOut, x.Failed, x.SlowestMs, x.TicketLagMs, x.verdict())
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(tab, text.String()); err != nil {
		return err
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return r.Load.WriteTable(w)
}
