package main

import (
	"errors"
	"os"
	"time"

	"github.com/almondledge/almondledge/internal/lab/spread"
)

// spreadCmd compares policies that spread work over backend servers.
type spreadCmd struct {
	Load    float64       `help:"Offered share of connections and slots." default:"0.7"`
	Askable float64       `help:"Share of requests that may ask a peer for a free slot (GET and HEAD)." default:"0.8"`
	Span    time.Duration `help:"Measured virtual time of each run." default:"120s"`
	Seed    uint64        `help:"Seed of all random choices." default:"1"`
	Workers int           `help:"Runs at a time." default:"3"`
	JSON    string        `help:"File to write the results to as JSON." type:"path"`
}

// Run measures and prints the comparison.
func (c spreadCmd) Run() error {
	results := spread.Run(spread.Options{Load: c.Load, SlotQueryShare: c.Askable, Span: c.Span, Seed: c.Seed, Workers: c.Workers})
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
