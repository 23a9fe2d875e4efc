package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/load"
)

// loadCmd generates load on running services or on a deployment of its own.
type loadCmd struct {
	Target         []string      `placeholder:"NAME=IP:PORT" help:"Running service under load; may be repeated."`
	Place          string        `placeholder:"NAME" help:"Instead of targets, start a deployment: birlik or majlis."`
	Binary         string        `placeholder:"FILE" help:"The almondledge binary of the deployment."`
	ServerName     string        `default:"" help:"Host name in requests; by default the name of the service."`
	CA             string        `placeholder:"FILE" type:"existingfile" help:"PEM file of the trusted authority."`
	Insecure       bool          `help:"Trust any certificate."`
	Duration       time.Duration `default:"30s" help:"Time during which new requests start."`
	RequestTimeout time.Duration `default:"20s" help:"Timeout of each request."`
	IdleTimeout    time.Duration `default:"30s" help:"Time without packets after which a connection counts as broken."`
	Seed           uint64        `default:"1" help:"Seed of the arrivals."`
	Flows          int           `default:"200" help:"Long-lived flows for each service."`
	Poll           time.Duration `default:"1s" help:"Time between two requests of a long-lived flow."`
	Feeds          int           `default:"0" help:"How many of the long-lived flows read feeds instead of polling."`
	FeedLines      int           `default:"20" help:"Lines of a feed."`
	FeedInterval   time.Duration `default:"250ms" help:"Time between two lines of a feed."`
	Sheets         float64       `default:"20" help:"Downloads per second for each service, each on its own flow."`
	SheetBytes     int64         `default:"200000" help:"Size of a download."`
	Bookings       float64       `default:"20" help:"Bookings per second for each service."`
	Work           time.Duration `default:"5ms" help:"Time that a backend server takes for a booking."`
	Servers        int           `help:"Backend servers of each service; by default the number that answered."`
	Ledger         []string      `placeholder:"FILE" help:"Ledger file of a backend server; may be repeated."`
	Metrics        []string      `placeholder:"ROLE=URL" help:"Metrics endpoint of a process; may be repeated."`
	MetricsToken   string        `help:"Bearer token of the metrics endpoints."`
	Report         string        `default:"report" placeholder:"DIR" help:"Folder for report.json and the plots."`
}

// Run generates the load, writes the report, and returns an error if a guarantee was
// violated.
func (c *loadCmd) Run() error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Place != "" {
		d, err := c.startDeployment(ctx)
		if err != nil {
			return err
		}
		defer d.Stop()
		cfg.TLS = d.TLS()
		cfg.Targets = d.Targets(c.mix())
		cfg.Ledgers = d.Ledgers()
		cfg.Metrics = d.MetricsSources()
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return writeReport(report, c.Report)
}

// startDeployment starts a deployment whose files go into the report folder.
func (c *loadCmd) startDeployment(ctx context.Context) (*deploy.Deployment, error) {
	places, err := deploy.Places(c.Place)
	if err != nil {
		return nil, err
	}
	lab, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return deploy.Start(ctx, deploy.Config{
		Place: places[0], Binary: c.Binary, Lab: lab, Dir: filepath.Join(c.Report, places[0].Name), Seed: c.Seed,
	})
}

func writeReport(report *load.Report, dir string) error {
	if err := report.WriteJSON(dir); err != nil {
		return err
	}
	if err := report.WritePlots(dir); err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%d guarantees violated; see %s/report.json", n, dir)
	}
	return nil
}

func (c *loadCmd) config() (load.Config, error) {
	cfg := load.Config{
		TLS:            &tls.Config{InsecureSkipVerify: c.Insecure},
		Duration:       c.Duration,
		RequestTimeout: c.RequestTimeout,
		IdleTimeout:    c.IdleTimeout,
		Seed:           c.Seed,
		Ledgers:        c.Ledger,
		Progress:       func(line string) { fmt.Println(line) },
	}
	if c.CA != "" {
		text, err := os.ReadFile(c.CA)
		if err != nil {
			return cfg, err
		}
		cfg.TLS.RootCAs = x509.NewCertPool()
		cfg.TLS.RootCAs.AppendCertsFromPEM(text)
	}
	for _, text := range c.Target {
		name, address, _ := strings.Cut(text, "=")
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			return cfg, errkind.Wrap(err, errkind.Invalid, "invalid target "+text, "write it as NAME=IP:PORT")
		}
		cfg.Targets = append(cfg.Targets, c.target(name, addr))
	}
	for _, text := range c.Metrics {
		role, url, ok := strings.Cut(text, "=")
		if !ok {
			return cfg, errkind.New(errkind.Invalid, "invalid metrics endpoint "+text, "write it as ROLE=URL")
		}
		cfg.Metrics = append(cfg.Metrics, load.MetricsSource{Role: role, URL: url, Token: c.MetricsToken})
	}
	return cfg, nil
}

func (c *loadCmd) target(name string, addr netip.AddrPort) load.Target {
	serverName := c.ServerName
	if serverName == "" {
		serverName = name
	}
	return load.Target{Name: name, Address: addr, ServerName: serverName, Servers: c.Servers, Mix: c.mix()}
}

func (c *loadCmd) mix() load.Mix {
	return load.Mix{
		LongFlows:         c.Flows,
		PollInterval:      c.Poll,
		Feeds:             c.Feeds,
		FeedLines:         c.FeedLines,
		FeedInterval:      c.FeedInterval,
		SheetsPerSecond:   c.Sheets,
		SheetBytes:        c.SheetBytes,
		BookingsPerSecond: c.Bookings,
		BookingWork:       c.Work,
	}
}
