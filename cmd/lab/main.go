// Command lab is the developers' tool: stand-ins, load, fault runs and measurements. It is
// not part of the release.
package main

import (
	"github.com/alecthomas/kong"
)

// cli lists the subcommands; each has a file of its own.
type cli struct {
	Standin  standinCmd  `cmd:"" help:"Run a stand-in for an outside system."`
	Load     loadCmd     `cmd:"" help:"Generate load on running services and report the results."`
	Compare  compareCmd  `cmd:"" help:"Run two builds side by side under the same load."`
	Faults   faultsCmd   `cmd:"" help:"Inject faults into deployments under load and check the guarantees."`
	Version  versionCmd  `cmd:"" help:"Print the version of the tool."`
	Settings settingsCmd `cmd:"" help:"Write the settings of a small fleet on loopback."`
	Ticket   ticketCmd   `cmd:"" help:"Submit a change ticket directly to the store."`
	Get      getCmd      `cmd:"" help:"Fetch a URL over HTTP/3."`
	Forward  forwardCmd  `cmd:"" help:"Compare forwarding with a bare UDP relay."`
	Flows    flowsCmd    `cmd:"" help:"Measure what flows and requests cost an agent and its balancers."`
	Latency  latencyCmd  `cmd:"" help:"Compare request times with a direct HTTP/3 call."`
	Slopes   slopesCmd   `cmd:"" help:"Measure how the cost and convergence of the control protocol grow with the number of nodes."`
	Spread   spreadCmd   `cmd:"" help:"Compare policies that spread work over backend servers."`
	Soak     soakCmd     `cmd:"" help:"Inject random faults into real processes on the platform stand-in and check the guarantees."`
	Outage   outageCmd   `cmd:"" help:"Compute the best possible service to callers when all machines are lost for some time."`
	State    stateCmd    `cmd:"" help:"Measure the state of one balancer at the design size."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("lab"), kong.Description("Developers' tool of almondledge."))
	ctx.FatalIfErrorf(ctx.Run())
}
