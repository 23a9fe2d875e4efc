// Command almondledge is the layer-4 load balancer: one binary for every role.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/almondledge/almondledge/internal/cli"
)

// commands lists the commands of the binary: the commands that start processes
// and the operators' commands.
type commands struct {
	Balancer balancerCmd `cmd:"" help:"Run a balancer."`
	Agent    agentCmd    `cmd:"" help:"Run an agent beside a backend server."`
	Platform platformCmd `cmd:"" help:"Run a balancer or an agent on the operators' platform (ALMONDLEDGE_SETTINGS is the path of the settings file)."`
	Demo     demoCmd     `cmd:"" help:"Run a small deployment in this process, with traffic and failures, for half a minute."`
	cli.Commands
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], &commands{}, cli.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
