package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/almondledge/almondledge/internal/lab/outage"
)

// printedWindows is the number of windows that are printed, from the start of the outage.
const printedWindows = 4

// outageCmd computes upper bounds on the credit that callers can earn when all machines are
// lost for some time.
type outageCmd struct {
	File string `arg:"" help:"JSON file with the kinds of request and the outages." type:"existingfile"`
}

// Run prints the upper bound for each window, and the mean of the two lowest bounds. If the file lists services,
// it prints the same for the best order of the requests that wait for the services' capacity.
func (c outageCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var input outage.Input
	if err := json.Unmarshal(text, &input); err != nil {
		return err
	}
	if err := input.Check(); err != nil {
		return err
	}
	for _, o := range input.Outages {
		printWindows(o.Name, o.Windows(input.Kinds, printedWindows))
		if len(input.Services) > 0 {
			printWindows("  with the capacity of the services", input.Schedule(o, printedWindows))
		}
	}
	return nil
}

func printWindows(name string, windows []float64) {
	fmt.Printf("%-38s", name)
	for _, share := range windows {
		fmt.Printf(" %.3f", share)
	}
	slices.Sort(windows)
	fmt.Printf("  mean of the two lowest %.3f\n", (windows[0]+windows[1])/2)
}
