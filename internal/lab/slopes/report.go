package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/almondledge/almondledge/internal/control"
)

// Fit is a straight line fitted to the points of one measure.
type Fit struct {
	Measure string `json:"measure"`
	// X names the independent variable: "nodes" or "log2(nodes)".
	X         string  `json:"x"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
}

// Fits returns the fitted lines of costs over the number of nodes and of convergence times
// over the logarithm of that number.
func Fits(points []Point) []Fit {
	linear := []struct {
		name string
		get  func(Point) float64
	}{
		{"balancer sent, bytes/s", func(p Point) float64 { return p.Balancer.TotalSent }},
		{"balancer received, bytes/s", func(p Point) float64 { return p.Balancer.Received }},
		{"balancer CPU, percent of a core", func(p Point) float64 { return p.Balancer.CPU }},
		{"agent sent, bytes/s", func(p Point) float64 { return p.Agent.TotalSent }},
		{"agent CPU, percent of a core", func(p Point) float64 { return p.Agent.CPU }},
		{"heap, bytes/node", func(p Point) float64 { return p.HeapBytesPerNode }},
		{"store watchers", func(p Point) float64 { return float64(p.Watchers) }},
	}
	var fits []Fit
	for _, m := range linear {
		fits = append(fits, fit(m.name, "nodes", points, func(p Point) float64 { return float64(p.Nodes) }, m.get))
	}
	logNodes := func(p Point) float64 { return math.Log2(float64(p.Nodes)) }
	fits = append(fits,
		fit("ticket in force everywhere, s", "log2(nodes)", points, logNodes, func(p Point) float64 { return p.Ticket.Max }),
		fit("drain known everywhere, s", "log2(nodes)", points, logNodes, func(p Point) float64 { return p.Drain.Max }),
		fit("death known everywhere, s", "log2(nodes)", points, logNodes, func(p Point) float64 { return p.Death.Max }),
	)
	return fits
}

// fit returns the least-squares line of y over x.
func fit(measure, xName string, points []Point, x, y func(Point) float64) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += x(p)
		sy += y(p)
		sxx += x(p) * x(p)
		sxy += x(p) * y(p)
	}
	f := Fit{Measure: measure, X: xName}
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		f.Intercept = (sy - f.Slope*sx) / n
	}
	return f
}

// WriteTable writes the points and fits to w as tables.
func WriteTable(w io.Writer, points []Point, fits []Fit) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(t, pointRows(points)); err != nil {
		return err
	}
	if err := t.Flush(); err != nil {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, classRows(points)+fitRows(fits)); err != nil {
		return err
	}
	return t.Flush()
}

func pointRows(points []Point) string {
	var b strings.Builder
	b.WriteString("nodes\tbalancers\tb.sent B/s\tb.most\tb.recv\tb.stream\tb.cpu %\ta.sent B/s\ta.cpu %\t" +
		"ticket s (max)\tdrain s (max)\tdeath s (max)\twatchers\theap B/node\tfalse susp.\tlate\t\n")
	for _, p := range points {
		fmt.Fprintf(&b, "%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%.4f\t%s\t%s\t%s\t%d\t%.0f\t%d\t%d\t\n",
			p.Nodes, p.Balancers, p.Balancer.TotalSent, p.Balancer.MostSent, p.Balancer.Received, p.Balancer.StreamSent,
			p.Balancer.CPU, p.Agent.TotalSent, p.Agent.CPU, p.Ticket, p.Drain, p.Death, p.Watchers,
			p.HeapBytesPerNode, p.FalseSuspicions, p.Ticket.Late+p.Drain.Late+p.Death.Late)
	}
	return b.String()
}

func classRows(points []Point) string {
	var b strings.Builder
	b.WriteString("\nbalancer bytes/s by class:\n")
	for _, p := range points {
		fmt.Fprintf(&b, "%d nodes", p.Nodes)
		for class := range control.Classes {
			fmt.Fprintf(&b, "\t%v %.0f", class, p.Balancer.SentBytes[class.String()])
		}
		b.WriteString("\n")
	}
	return b.String()
}

func fitRows(fits []Fit) string {
	var b strings.Builder
	b.WriteString("\nslopes:\n")
	for _, f := range fits {
		fmt.Fprintf(&b, "%s\t= %.4g + %.4g * %s\n", f.Measure, f.Intercept, f.Slope, f.X)
	}
	return b.String()
}

// String returns the median and the maximum in seconds.
func (c Convergence) String() string { return fmt.Sprintf("%.1f (%.1f)", c.Median, c.Max) }

// WriteJSON writes the points and fits to w as JSON.
func WriteJSON(w io.Writer, points []Point, fits []Fit) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		Points []Point `json:"points"`
		Fits   []Fit   `json:"fits"`
	}{points, fits})
}
