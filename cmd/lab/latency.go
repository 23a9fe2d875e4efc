package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/almondledge/almondledge/internal/lab/latency"
)

// latencyCmd compares request times with those of direct HTTP/3 requests.
type latencyCmd struct {
	Binary   string `required:"" placeholder:"FILE" type:"existingfile" help:"The almondledge binary."`
	Dir      string `required:"" placeholder:"DIR" help:"Folder for settings and logs."`
	Requests int    `default:"4000" help:"Requests on each path."`
}

// Run measures and prints the percentiles.
func (c latencyCmd) Run() error {
	lab, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := latency.Run(ctx, latency.Config{Binary: c.Binary, Lab: lab, Dir: c.Dir, Requests: c.Requests})
	if err != nil {
		return err
	}
	return report.Print(os.Stdout)
}
