package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/faults"
	"github.com/almondledge/almondledge/internal/lab/load"
)

// faultsCmd starts deployments and injects faults into them under load.
type faultsCmd struct {
	Binary   string        `required:"" placeholder:"FILE" type:"existingfile" help:"The almondledge binary."`
	Place    string        `default:"both" help:"Deployment: birlik, majlis or both, one after the other."`
	Only     []string      `placeholder:"PART" help:"Inject only faults whose names contain this; may be repeated."`
	Pairs    int           `default:"6" help:"Random pairs of faults to inject after the single ones."`
	Seed     uint64        `default:"1" help:"Seed of all random choices."`
	Flows    int           `default:"60" help:"Long-lived flows for each service."`
	Poll     time.Duration `default:"500ms" help:"Time between two requests of a long-lived flow."`
	Feeds    int           `default:"2" help:"How many of the long-lived flows read feeds instead of polling."`
	Sheets   float64       `default:"10" help:"Downloads per second for each service, each on its own flow."`
	Bookings float64       `default:"15" help:"Bookings per second for each service."`
	Bound    time.Duration `default:"20m" help:"Longest run of one deployment."`
	Report   string        `default:"report" placeholder:"DIR" help:"Folder for reports and logs."`
	List     bool          `help:"List the faults and exit."`
}

const faultSheetBytes = 150_000

// Run runs each deployment and returns an error if a guarantee was violated.
func (c *faultsCmd) Run() error {
	selected := faults.Select(c.Only)
	if len(selected) == 0 {
		return errkind.New(errkind.Invalid, "no fault matches --only", "list the names with lab faults --list")
	}
	if c.List {
		for _, f := range selected {
			fmt.Println(f.Name)
		}
		return nil
	}
	places, err := deploy.Places(c.Place)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	violations := 0
	for _, place := range places {
		report, err := c.runPlace(ctx, place, selected)
		if err != nil {
			return err
		}
		violations += len(report.Violations)
	}
	if violations > 0 {
		return fmt.Errorf("%d guarantees violated; see %s", violations, c.Report)
	}
	return nil
}

func (c *faultsCmd) runPlace(ctx context.Context, place deploy.Place, selected []faults.Fault) (*faults.Report, error) {
	lab, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(c.Report, place.Name)
	fmt.Printf("%s: starting %d balancers and %d services\n", place.Name, place.Balancers, len(place.Services))
	d, err := deploy.Start(ctx, deploy.Config{Place: place, Binary: c.Binary, Lab: lab, Dir: dir, Seed: c.Seed})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	report, err := faults.Run(ctx, faults.Config{
		Deployment: d,
		Load:       c.loadConfig(d),
		Faults:     selected,
		Pairs:      c.Pairs,
		Seed:       c.Seed,
		Progress:   func(line string) { fmt.Println(line) },
	})
	if err != nil {
		return nil, err
	}
	report.Place = place.Name
	fmt.Println()
	if err := report.WriteTable(os.Stdout); err != nil {
		return nil, err
	}
	return report, report.WriteJSON(dir)
}

func (c *faultsCmd) loadConfig(d *deploy.Deployment) load.Config {
	return load.Config{
		TLS:            d.TLS(),
		Duration:       c.Bound,
		RequestTimeout: 20 * time.Second,
		IdleTimeout:    faults.IdleTimeout,
		Seed:           c.Seed,
		Ledgers:        d.Ledgers(),
		Metrics:        d.MetricsSources(),
		Targets: d.Targets(load.Mix{
			LongFlows:         c.Flows,
			PollInterval:      c.Poll,
			Feeds:             c.Feeds,
			FeedLines:         20,
			FeedInterval:      200 * time.Millisecond,
			SheetsPerSecond:   c.Sheets,
			SheetBytes:        faultSheetBytes,
			BookingsPerSecond: c.Bookings,
			BookingWork:       5 * time.Millisecond,
		}),
	}
}
