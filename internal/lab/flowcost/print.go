package flowcost

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	microseconds = 1e6
	kilobyte     = 1000
	megabyte     = 1e6
	columnGap    = 2
)

// Print writes the points to w, and the slopes between the first and the last point.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	rows := [][]any{{"flows", "agent MB", "balancers MB", "agent core % held", "balancers core % held", "agent s to open", "balancers s to open"}}
	for _, p := range r.Points {
		rows = append(rows, []any{
			p.Flows, round(p.AgentMemoryBytes / megabyte), round(p.BalancerMemoryBytes / megabyte),
			round(100 * p.AgentHoldShare), round(100 * p.BalancerHoldShare), round(p.AgentOpenSeconds), round(p.BalancerOpenSeconds),
		})
	}
	for _, row := range rows {
		for _, cell := range row {
			if _, err := fmt.Fprintf(table, "%v\t", cell); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(table); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.printSlopes(w)
}

func (r Report) printSlopes(w io.Writer) error {
	first, last := r.Points[0], r.Points[len(r.Points)-1]
	flows := float64(last.Flows - first.Flows)
	var agentOpen, balancerOpen float64
	for _, p := range r.Points[1:] {
		agentOpen += p.AgentOpenSeconds
		balancerOpen += p.BalancerOpenSeconds
	}
	requests := float64(r.Requests)
	_, err := fmt.Fprintf(w, `per open flow: agent %.1f KB, balancers %.1f KB; agent %.2f us of processor a second, balancers %.2f us
per new flow with one request: agent %.0f us, both balancers %.0f us
per request: agent %.0f us, both balancers %.0f us
`,
		(last.AgentMemoryBytes-first.AgentMemoryBytes)/flows/kilobyte,
		(last.BalancerMemoryBytes-first.BalancerMemoryBytes)/flows/kilobyte,
		(last.AgentHoldShare-first.AgentHoldShare)/flows*microseconds,
		(last.BalancerHoldShare-first.BalancerHoldShare)/flows*microseconds,
		agentOpen/flows*microseconds, balancerOpen/flows*microseconds,
		r.AgentRequestSeconds/requests*microseconds, r.BalancerRequestSeconds/requests*microseconds)
	return err
}

func round(value float64) string {
	return fmt.Sprintf("%.2f", value)
}
