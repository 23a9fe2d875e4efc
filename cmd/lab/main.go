// Command lab is the developers' tool: stand-ins, load, fault runs and
// measurements. It is not shipped.
package main

import (
	"github.com/alecthomas/kong"
)

// cli lists the sub-commands; each has a file of its own.
type cli struct {
	Version versionCmd `cmd:"" help:"Print the version of the tool."`
	Slopes  slopesCmd  `cmd:"" help:"Measure how control grows with the number of nodes."`
	State   stateCmd   `cmd:"" help:"Measure what one balancer holds at the design size."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("lab"), kong.Description("Developers' tool of almondledge."))
	ctx.FatalIfErrorf(ctx.Run())
}
