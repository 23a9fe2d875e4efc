// Command lab is the developers' tool: stand-ins, load, fault runs and
// measurements. It is not shipped.
package main

import (
	"github.com/alecthomas/kong"
)

// cli lists the sub-commands; each has a file of its own.
type cli struct {
	Standin standinCmd `cmd:"" help:"Run a stand-in for an outside system."`
	Load    loadCmd    `cmd:"" help:"Drive callers against running services and report."`
	Version versionCmd `cmd:"" help:"Print the version of the tool."`
	Forward forwardCmd `cmd:"" help:"Compare forwarding with a bare UDP relay."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("lab"), kong.Description("Developers' tool of almondledge."))
	ctx.FatalIfErrorf(ctx.Run())
}
