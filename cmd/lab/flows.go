package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/almondledge/almondledge/internal/lab/flowcost"
)

// flowsCmd measures what flows and requests cost an agent and its balancers.
type flowsCmd struct {
	Binary   string `required:"" placeholder:"FILE" type:"existingfile" help:"The almondledge binary."`
	Dir      string `required:"" placeholder:"DIR" help:"Folder for settings and logs."`
	Flows    []int  `default:"100,400,800,1600" help:"Numbers of open flows to measure at, ascending."`
	Requests int    `default:"20000" help:"Requests to measure with."`
}

// Run measures and prints the points and slopes.
func (c flowsCmd) Run() error {
	lab, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := flowcost.Run(ctx, flowcost.Config{
		Binary: c.Binary, Lab: lab, Dir: c.Dir, Flows: c.Flows, Requests: c.Requests,
	}, os.Stderr)
	if err != nil {
		return err
	}
	return report.Print(os.Stdout)
}
