package main

import (
	"context"
	"io"
	stdlog "log"

	"github.com/almondledge/almondledge/internal/cli"
	"github.com/almondledge/almondledge/internal/demo"
)

// demoCmd runs a small deployment in this process, with traffic and failures.
type demoCmd struct {
	Port    uint16 `help:"First of the seven ports to use on addresses 127.1.x.y. By default the first free ones from 7000 on." placeholder:"PORT"`
	Verbose bool   `help:"Write the logs of all processes to the standard error."`
}

// Run runs the demo.
func (c demoCmd) Run(ctx context.Context, streams cli.Streams) error {
	options := demo.Options{Port: c.Port, Out: streams.Out}
	if c.Verbose {
		options.Logs = streams.Err
	} else {
		// Libraries write hints about socket buffer sizes to the standard logger.
		stdlog.SetOutput(io.Discard)
	}
	return demo.Run(ctx, options)
}
