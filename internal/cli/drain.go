package cli

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/errkind"
)

// drainCommand submits a ticket that drains a backend server or ends its drain.
type drainCommand struct {
	connection
	Service   string `arg:"" help:"Name of the service."`
	Agent     string `arg:"" help:"Address of the agent beside the backend server, as IP:port; see status."`
	Submitter string `help:"Who is responsible for the change." required:"" env:"USER"`
	ID        string `help:"ID of the ticket, to look it up if the response is lost. Chosen by the balancer if left out." name:"id" placeholder:"ID"`
	Undo      bool   `help:"End the drain."`
}

// Run submits the drain.
func (c drainCommand) Run(ctx context.Context, streams Streams) error {
	agent, err := parseAgent(c.Agent)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := client.Drain(ctx, adminapi.DrainRequest{
		ID: c.ID, Submitter: c.Submitter, Service: c.Service, Agent: agent, Undo: c.Undo,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams.Out, result)
	}
	if result.Unchanged {
		_, err := fmt.Fprintln(streams.Out, "nothing to change")
		return err
	}
	return printOutcome(streams.Out, result.Outcome)
}

func parseAgent(text string) (netip.AddrPort, error) {
	agent, err := netip.ParseAddrPort(text)
	if err != nil {
		return agent, errkind.Wrap(err, errkind.Invalid, "address of the agent is invalid", "give it as IP:port, such as 10.1.2.3:7000; see status")
	}
	return agent, nil
}
