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

// networkOffset separates the addresses of the second deployment from those of the first.
const networkOffset = 1

// compareCmd runs two builds side by side: two deployments of the same place, at the same
// time and with the same arrivals.
type compareCmd struct {
	A        string        `arg:"" help:"First almondledge binary." type:"existingfile"`
	B        string        `arg:"" help:"Second almondledge binary." type:"existingfile"`
	Place    string        `default:"birlik" help:"Deployment: birlik or majlis."`
	Duration time.Duration `default:"30s" help:"Time during which new requests start."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals."`
	Flows    int           `default:"60" help:"Long-lived flows for each service."`
	Poll     time.Duration `default:"500ms" help:"Time between two requests of a long-lived flow."`
	Sheets   float64       `default:"10" help:"Downloads per second for each service."`
	Bookings float64       `default:"15" help:"Bookings per second for each service."`
	Report   string        `default:"report" placeholder:"DIR" help:"Folder for both reports."`
}

// Run puts both deployments under load and prints their results side by side.
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
		if sessions[i], err = load.Open(ctx, c.loadConfig(d)); err != nil {
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

func (c *compareCmd) loadConfig(d *deploy.Deployment) load.Config {
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

// driveAll runs the load of all sessions at the same time.
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

// writeComparison prints the results of A and B side by side.
func writeComparison(a, b *load.Report) error {
	var text strings.Builder
	fmt.Fprintln(&text, "service\tmeasure\tA\tB")
	for i, targetA := range a.Targets {
		targetB := b.Targets[i]
		row := func(measure string, valueA, valueB any) {
			fmt.Fprintf(&text, "%s\t%s\t%v\t%v\n", targetA.Name, measure, valueA, valueB)
		}
		row("flows broken", targetA.FlowsBroken, targetB.FlowsBroken)
		row("requests cut", targetA.RequestsCut, targetB.RequestsCut)
		row("max/mean", round(targetA.Imbalance.MaxOverMean), round(targetB.Imbalance.MaxOverMean))
		for j, classA := range targetA.Classes {
			if j >= len(targetB.Classes) || targetB.Classes[j].Class != classA.Class {
				continue
			}
			classB := targetB.Classes[j]
			row(string(classA.Class)+" answered", classA.Latency.Count, classB.Latency.Count)
			row(string(classA.Class)+" p50 ms", round(classA.Latency.P50), round(classB.Latency.P50))
			row(string(classA.Class)+" p99 ms", round(classA.Latency.P99), round(classB.Latency.P99))
		}
	}
	for i, roleA := range a.Roles {
		if i < len(b.Roles) && b.Roles[i].Role == roleA.Role {
			fmt.Fprintf(&text, "%s\tCPU s\t%.2f\t%.2f\n", roleA.Role, roleA.CPUSeconds, b.Roles[i].CPUSeconds)
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
