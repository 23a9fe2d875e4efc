// Command almondledge is the layer-4 load balancer: one binary for every role.
package main

import (
	"github.com/alecthomas/kong"
)

// cli lists the sub-commands; each has a file of its own.
type cli struct {
	Balancer balancerCmd `cmd:"" help:"Run a balancer."`
	Agent    agentCmd    `cmd:"" help:"Run an agent beside a backend server."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("almondledge"), kong.Description("Layer-4 load balancer for long flows."))
	ctx.FatalIfErrorf(ctx.Run())
}
