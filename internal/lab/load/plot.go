package load

import (
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of each plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// plottedPercentiles are the percentiles on a latency curve.
var plottedPercentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9}

// WritePlots writes latency.png and servers.png to dir.
func (r *Report) WritePlots(dir string) error {
	if err := r.plotLatency(filepath.Join(dir, "latency.png")); err != nil {
		return err
	}
	return r.plotServers(filepath.Join(dir, "servers.png"))
}

// plotLatency draws the latency at each percentile for each kind of request.
func (r *Report) plotLatency(path string) error {
	p := plot.New()
	p.Title.Text = "Latency from the intended start"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, t := range r.Targets {
		for _, c := range t.Classes {
			if c.histogram == nil || c.Latency.Count == 0 {
				continue
			}
			lines = append(lines, t.Name+" "+string(c.Class), latencyCurve(c))
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// latencyCurve returns the latency in milliseconds at each of plottedPercentiles.
func latencyCurve(c ClassReport) plotter.XYs {
	points := make(plotter.XYs, len(plottedPercentiles))
	for i, percentile := range plottedPercentiles {
		points[i].X = percentile
		points[i].Y = float64(c.histogram.ValueAtPercentile(percentile)) / 1000
	}
	return points
}

// plotServers draws the answers of each backend server, grouped by service.
func (r *Report) plotServers(path string) error {
	p := plot.New()
	p.Title.Text = "Answers of each backend server"
	p.Y.Label.Text = "answers"
	p.Legend.Top = true
	var names []string
	for i, t := range r.Targets {
		servers := sortedNames(t.Imbalance.Servers)
		if len(servers) == 0 {
			continue
		}
		values := make(plotter.Values, len(names)+len(servers))
		for j, name := range servers {
			values[len(names)+j] = float64(t.Imbalance.Servers[name])
		}
		bars, err := plotter.NewBarChart(values, vg.Points(14))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		p.Add(bars)
		p.Legend.Add(t.Name, bars)
		names = append(names, servers...)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func sortedNames(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
