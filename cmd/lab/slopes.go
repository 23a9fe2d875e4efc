package main

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/almondledge/almondledge/internal/lab/slopes"
)

// slopesCmd measures how the cost and convergence of the control protocol grow with the
// number of nodes.
type slopesCmd struct {
	Nodes             []int         `default:"50,100,200,400" help:"Numbers of nodes to measure."`
	AgentsPerBalancer float64       `default:"6.4" help:"Mix of roles; 0 measures balancers alone."`
	DataCentres       int           `default:"2" help:"Data centres that the nodes are spread over."`
	Services          int           `default:"8" help:"Services that the agents serve."`
	Loss              float64       `default:"0.01" help:"Share of datagrams lost."`
	Window            time.Duration `default:"60s" help:"Virtual time for which traffic is measured."`
	Churn             float64       `default:"0" help:"Factor on the event rates of the design size; 0 disables the events."`
	Trials            int           `default:"10" help:"Events of each kind whose convergence is measured."`
	BytesPerSecond    int           `default:"20000" help:"Limit on the control bytes that each node sends per second."`
	Seed              uint64        `default:"1" help:"Seed of all random choices."`
	JSON              string        `help:"File to write the results to as JSON." type:"path"`
}

// Run measures and prints the points and fits.
func (c slopesCmd) Run() error {
	points := slopes.Measure(slopes.Options{
		Nodes:             c.Nodes,
		AgentsPerBalancer: c.AgentsPerBalancer,
		DataCentres:       c.DataCentres,
		Services:          c.Services,
		Loss:              c.Loss,
		Window:            c.Window,
		Churn:             c.Churn,
		Trials:            c.Trials,
		BytesPerSecond:    c.BytesPerSecond,
		Seed:              c.Seed,
	}, func(p slopes.Point) {
		fmt.Fprintf(os.Stderr, "measured %d nodes\n", p.Nodes)
	})
	fits := slopes.Fits(points)
	if err := slopes.WriteTable(os.Stdout, points, fits); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	var report bytes.Buffer
	if err := slopes.WriteJSON(&report, points, fits); err != nil {
		return err
	}
	return os.WriteFile(c.JSON, report.Bytes(), 0o644)
}
