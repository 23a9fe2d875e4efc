// Command lab is the developers' tool: stand-ins, load, fault runs and
// measurements. It is not shipped.
package main

import (
	"github.com/alecthomas/kong"
)

// cli lists the sub-commands; each has a file of its own.
type cli struct {
	Standin  standinCmd  `cmd:"" help:"Run a stand-in for an outside system."`
	Load     loadCmd     `cmd:"" help:"Drive callers against running services and report."`
	Compare  compareCmd  `cmd:"" help:"Run two builds side by side under the same load."`
	Faults   faultsCmd   `cmd:"" help:"Bring about faults in deployments while load runs, and judge the promises."`
	Version  versionCmd  `cmd:"" help:"Print the version of the tool."`
	Settings settingsCmd `cmd:"" help:"Write the settings of a small fleet on loopback."`
	Ticket   ticketCmd   `cmd:"" help:"Submit a change ticket straight to the store."`
	Get      getCmd      `cmd:"" help:"Fetch a URL over HTTP/3."`
	Forward  forwardCmd  `cmd:"" help:"Compare forwarding with a bare UDP relay."`
	Flows    flowsCmd    `cmd:"" help:"Measure what flows and requests cost an agent and its balancers."`
	Latency  latencyCmd  `cmd:"" help:"Compare request times with a direct HTTP/3 call."`
	Slopes   slopesCmd   `cmd:"" help:"Measure how control grows with the number of nodes."`
	Spread   spreadCmd   `cmd:"" help:"Compare policies that spread work over backend servers."`
	Soak     soakCmd     `cmd:"" help:"Play random faults against real processes on the users' platform stand-in."`
	Outage   outageCmd   `cmd:"" help:"Bound what callers can get while all machines are lost."`
	State    stateCmd    `cmd:"" help:"Measure what one balancer holds at the design size."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("lab"), kong.Description("Developers' tool of almondledge."))
	ctx.FatalIfErrorf(ctx.Run())
}
