package spread

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the results for people.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "case\tservice (hosts)\tpolicy\tflows mean\tflows p99\tslots mean\tslots p99\tslots whole"+
		"\tpasses/flow\trelays/request\tflows refused\trequests refused\twait ms\twait p99 ms")
	for _, result := range results {
		m := result.Measures
		fmt.Fprintf(t, "%s\t%s (%d)\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.1f\t%.0f\n",
			result.Scenario, result.Place, result.Hosts, result.Policy,
			m.Flows.Mean, m.Flows.P99, m.Slots.Mean, m.Slots.P99, m.SlotsWhole,
			m.PassesPerFlow, m.RelaysPerRequest, m.FlowsRefused, m.RequestsRefused, m.WaitMean, m.WaitP99)
	}
	return t.Flush()
}

// WriteJSON prints the results for programs.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}
