package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/load"
)

// networkOffset keeps the addresses of the second deployment apart.
const networkOffset = 1

// compareCmd runs two builds side by side: two deployments of one place, at the
// same time and under the same arrivals.
type compareCmd struct {
	A        string        `arg:"" help:"First almondledge binary." type:"existingfile"`
	B        string        `arg:"" help:"Second almondledge binary." type:"existingfile"`
	Place    string        `default:"birlik" help:"Deployment: birlik or majlis."`
	Duration time.Duration `default:"30s" help:"Time in which requests begin."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`
	Flows    int           `default:"60" help:"Long flows for each service."`
	Poll     time.Duration `default:"500ms" help:"Time between two requests of a long flow."`
	Sheets   float64       `default:"10" help:"Downloads a second for each service."`
	Bookings float64       `default:"15" help:"Bookings a second for each service."`
	Report   string        `default:"report" placeholder:"DIR" help:"Folder for both reports."`
}

// Run drives both and prints their results next to each other.
func (c *compareCmd) Run() error {
	places, err := deploy.Places(c.Place)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	binaries := []string{c.A, c.B}
	sessions := make([]*load.Session, len(binaries))
	for i, binary := range binaries {
		place := places[0]
		place.Network += byte(i * networkOffset)
		d, err := c.start(ctx, place, binary, c.dir(i))
		if err != nil {
			return err
		}
		defer d.Stop()
		if sessions[i], err = load.Open(ctx, c.load(d)); err != nil {
			return err
		}
	}
	reports, err := driveAll(ctx, sessions)
	if err != nil {
		return err
	}
	for i, report := range reports {
		err = errors.Join(err, report.WriteJSON(c.dir(i)), report.WritePlots(c.dir(i)))
	}
	return errors.Join(err, writeComparison(reports[0], reports[1]))
}

func (c *compareCmd) dir(i int) string { return filepath.Join(c.Report, string(rune('a'+i))) }

func (c *compareCmd) start(ctx context.Context, place deploy.Place, binary, dir string) (*deploy.Deployment, error) {
	lab, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return deploy.Start(ctx, deploy.Config{Place: place, Binary: binary, Lab: lab, Dir: dir, Seed: c.Seed})
}

func (c *compareCmd) load(d *deploy.Deployment) load.Config {
	return load.Config{
		TLS:            d.TLS(),
		Duration:       c.Duration,
		RequestTimeout: 20 * time.Second,
		IdleTimeout:    30 * time.Second,
		Seed:           c.Seed,
		Ledgers:        d.Ledgers(),
		Metrics:        d.MetricsSources(),
		Targets: d.Targets(load.Mix{
			LongFlows:         c.Flows,
			PollInterval:      c.Poll,
			SheetsPerSecond:   c.Sheets,
			SheetBytes:        faultSheetBytes,
			BookingsPerSecond: c.Bookings,
			BookingWork:       5 * time.Millisecond,
		}),
	}
}

// driveAll drives all sessions at the same time.
func driveAll(ctx context.Context, sessions []*load.Session) ([]*load.Report, error) {
	reports := make([]*load.Report, len(sessions))
	group, ctx := errgroup.WithContext(ctx)
	for i, s := range sessions {
		group.Go(func() (err error) {
			s.Drive(ctx)
			reports[i], err = s.Finish(ctx)
			return err
		})
	}
	return reports, group.Wait()
}

// writeComparison prints the results of A and B next to each other.
func writeComparison(a, b *load.Report) error {
	var text strings.Builder
	fmt.Fprintln(&text, "service\tmeasure\tA\tB")
	for i, x := range a.Targets {
		y := b.Targets[i]
		row := func(measure string, va, vb any) { fmt.Fprintf(&text, "%s\t%s\t%v\t%v\n", x.Name, measure, va, vb) }
		row("flows broken", x.FlowsBroken, y.FlowsBroken)
		row("requests cut", x.RequestsCut, y.RequestsCut)
		row("max/mean", round(x.Imbalance.MaxOverMean), round(y.Imbalance.MaxOverMean))
		for j, cx := range x.Classes {
			if j >= len(y.Classes) || y.Classes[j].Class != cx.Class {
				continue
			}
			cy := y.Classes[j]
			row(string(cx.Class)+" answered", cx.Latency.Count, cy.Latency.Count)
			row(string(cx.Class)+" p50 ms", round(cx.Latency.P50), round(cy.Latency.P50))
			row(string(cx.Class)+" p99 ms", round(cx.Latency.P99), round(cy.Latency.P99))
		}
	}
	for i, x := range a.Roles {
		if i < len(b.Roles) && b.Roles[i].Role == x.Role {
			fmt.Fprintf(&text, "%s\tCPU s\t%.2f\t%.2f\n", x.Role, x.CPUSeconds, b.Roles[i].CPUSeconds)
		}
	}
	fmt.Fprintf(&text, "all\tbroken promises\t%d\t%d\n", len(a.Violations), len(b.Violations))
	tab := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if _, err := tab.Write([]byte(text.String())); err != nil {
		return err
	}
	return tab.Flush()
}

func round(v float64) string { return fmt.Sprintf("%.3f", v) }
