package main

import (
	"errors"
	"os"
	"time"

	"github.com/almondledge/almondledge/internal/lab/spread"
)

// spreadCmd compares policies that spread flows and requests over backend servers.
type spreadCmd struct {
	Load           float64       `help:"Offered load as a share of the connections and of the slots." default:"0.7"`
	SlotQueryShare float64       `name:"askable" help:"Share of requests that may query a peer for a free slot (GET and HEAD)." default:"0.8"`
	Span           time.Duration `help:"Measured virtual time of each run." default:"120s"`
	Seed           uint64        `help:"Seed of all random choices." default:"1"`
	Workers        int           `help:"Number of concurrent runs." default:"3"`
	JSON           string        `help:"File to write the results to as JSON." type:"path"`
}

// Run measures and prints the comparison.
func (c spreadCmd) Run() error {
	results := spread.Run(spread.Options{Load: c.Load, SlotQueryShare: c.SlotQueryShare, Span: c.Span, Seed: c.Seed, Workers: c.Workers})
	if err := spread.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	file, err := os.Create(c.JSON)
	if err != nil {
		return err
	}
	return errors.Join(spread.WriteJSON(file, results), file.Close())
}
