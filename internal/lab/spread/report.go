package spread

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the results to w as a table.
func WriteTable(w io.Writer, results []Result) error {
	var text bytes.Buffer
	t := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = t.Write([]byte("case\tservice (hosts)\tpolicy\tflows\tp99\tslots\tp99\twhole run\tpasses/flow\trelays/request" +
		"\tasks refused/request\tflows refused\trequests refused\twait ms\tp99\n"))
	for _, result := range results {
		_, _ = t.Write(result.row())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := text.WriteTo(w)
	return err
}

func (r Result) row() []byte {
	m := r.Metrics
	return fmt.Appendf(nil, "%s\t%s (%d)\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.1f\t%.0f\n",
		r.Scenario, r.Service, r.Hosts, r.Policy,
		m.Flows.Mean, m.Flows.P99, m.Slots.Mean, m.Slots.P99, m.SlotsWholeRun,
		m.ForwardsPerFlow, m.RelaysPerRequest, m.FailedQueriesPerRequest, m.FlowsRefused, m.RequestsRefused,
		m.WaitMean, m.WaitP99)
}

// WriteJSON writes the results to w as JSON.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}
