// Package cli implements the operators' commands of the almondledge binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/ticket"
)

// Exit codes of the binary.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Commands holds the operators' commands. The binary embeds it in a struct that
// also has the commands that start processes.
type Commands struct {
	Ticket   ticketCommands   `cmd:"" help:"Submit change tickets and show their state."`
	Drain    drainCommand     `cmd:"" help:"Take a backend server out of service, by a change ticket."`
	Status   statusCommand    `cmd:"" help:"Show the active configuration, which processes have applied it, and which processes are present."`
	Settings settingsCommands `cmd:"" help:"Check settings files and generate keys."`
	Explain  explainCommand   `cmd:"" help:"Show the timeline of one flow from the logs of several processes."`
	Version  versionCommand   `cmd:"" help:"Print the version."`
}

// Streams are the output streams of commands.
type Streams struct {
	// Out receives results, Err receives errors and progress.
	Out, Err io.Writer
}

// Run parses args into grammar, a pointer to a struct that embeds Commands, runs the selected command and returns the
// exit code. The command ends when ctx ends.
func Run(ctx context.Context, args []string, grammar any, streams Streams, options ...kong.Option) int {
	code := -1
	options = append([]kong.Option{
		kong.Name("almondledge"),
		kong.Description("Layer-4 load balancer for shared services.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage. Errors name the remedy."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(status int) { code = status }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(streams),
	}, options...)
	parser, err := kong.New(grammar, options...)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "almondledge: %v\n", err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if code >= 0 { // help was printed
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "almondledge: %v (remedy: see almondledge --help)\n", err)
		return ExitUsage
	}
	if err := command.Run(); err != nil {
		printError(streams.Err, err)
		return ExitFailure
	}
	return ExitOK
}

// printError prints an error, and for a conflict the current states of the services concerned.
func printError(w io.Writer, err error) {
	_, _ = fmt.Fprintf(w, "almondledge: %v\n", err)
	var problem *adminapi.Problem
	if !errors.As(err, &problem) || problem.Kind != errkind.Conflict || len(problem.Current) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "current states:")
	printTable(w, []string{"SERVICE", "ID", "REVISION", "TICKET", "STATE"}, problem.Current, func(s ticket.ServiceState) []any {
		state := "in force"
		if s.Spec == nil {
			state = "removed"
		}
		return []any{s.Name, s.ID, s.Revision, s.Ticket, state}
	})
}
