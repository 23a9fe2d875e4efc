package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/ticket"
)

// statusInterval is the time between two queries of ticket status --wait.
const statusInterval = time.Second

// ticketCommands are the commands under "ticket".
type ticketCommands struct {
	Submit  submitCommand       `cmd:"" help:"Submit a change ticket. Submitting the same ticket again is safe."`
	Show    showCommand         `cmd:"" help:"Show a ticket with the states before and after it."`
	History historyCommand      `cmd:"" help:"List accepted tickets, newest first."`
	Status  ticketStatusCommand `cmd:"" help:"Show which processes have applied a ticket. Fails until all have."`
}

// submitCommand submits a ticket or previews it.
type submitCommand struct {
	connection
	File   string `arg:"" help:"JSON file with the ticket; see examples/ticket.json." placeholder:"FILE"`
	DryRun bool   `help:"Check the ticket and show what it would change, without submitting it."`
}

// Run submits the ticket.
func (c submitCommand) Run(ctx context.Context, streams Streams) error {
	change, err := loadTicket(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := client.Submit(ctx, adminapi.TicketRequest{Ticket: change, DryRun: c.DryRun})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams.Out, result)
	}
	if result.Preview != nil {
		return printPreview(streams.Out, *result.Preview)
	}
	return printOutcome(streams.Out, result.Outcome)
}

// loadTicket reads a ticket and refuses unknown fields.
func loadTicket(file string) (ticket.Ticket, error) {
	var change ticket.Ticket
	raw, err := readBounded(file, adminapi.MaxBodyBytes)
	if err != nil {
		return change, errkind.Wrap(err, errkind.Invalid, "ticket file cannot be read", "give the path of a JSON file with a ticket")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return change, errkind.Wrap(err, errkind.Invalid, "invalid ticket file "+file, "correct it; examples/ticket.json is an example")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return change, errkind.New(errkind.Invalid, "ticket file "+file+" has data after the ticket", "keep one ticket in the file")
	}
	return change, change.Validate(nil)
}

// readBounded reads a file of at most bound bytes.
func readBounded(file string, bound int64) ([]byte, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	raw, err := io.ReadAll(io.LimitReader(opened, bound+1))
	if err == nil && int64(len(raw)) > bound {
		err = fmt.Errorf("%s is longer than %d bytes", file, bound)
	}
	return raw, err
}

func printPreview(w io.Writer, preview ticket.Preview) error {
	if len(preview.Differences) == 0 {
		_, err := fmt.Fprintln(w, "the ticket would change nothing")
		return err
	}
	printTable(w, []string{"SERVICE", "FIELD", "BEFORE", "AFTER"}, preview.Differences, func(d ticket.Difference) []any {
		return []any{d.Service, d.Field, d.Before, d.After}
	})
	return nil
}

func printOutcome(w io.Writer, outcome *ticket.Outcome) error {
	if outcome == nil {
		return errkind.New(errkind.Unknown, "the response has no outcome", "look up the ticket with ticket show")
	}
	repeated := ""
	if outcome.Repeated {
		repeated = ", as before"
	}
	_, err := fmt.Fprintf(w, "ticket %d (%s) accepted at revision %d%s\n", outcome.Number, outcome.ID, outcome.Revision, repeated)
	return err
}

// showCommand shows one ticket.
type showCommand struct {
	connection
	Ticket string `arg:"" help:"Number or ID of the ticket."`
}

// Run prints the ticket.
func (c showCommand) Run(ctx context.Context, streams Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	record, err := client.Ticket(ctx, c.Ticket)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams.Out, record)
	}
	printRecords(streams.Out, []ticket.Record{record})
	_, _ = fmt.Fprintln(streams.Out)
	return printPreview(streams.Out, ticket.Preview{Differences: ticket.Diff(record.Changes)})
}

// historyCommand lists tickets.
type historyCommand struct {
	connection
	From  int64 `help:"Number of the newest ticket to list; 0 is the last." default:"0"`
	Count int   `help:"Number of tickets to list, at most 200." default:"20"`
}

// Run prints the tickets.
func (c historyCommand) Run(ctx context.Context, streams Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	history, err := client.History(ctx, c.From, c.Count)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams.Out, history)
	}
	printRecords(streams.Out, history.Tickets)
	return nil
}

func printRecords(w io.Writer, records []ticket.Record) {
	heading := []string{"TICKET", "ID", "TIME", "SUBMITTER", "OUTCOME", "REVISION", "SERVICES"}
	printTable(w, heading, records, func(r ticket.Record) []any {
		services := ""
		for i, change := range r.Changes {
			if i > 0 {
				services += ","
			}
			services += change.Service + changeMark(change)
		}
		return []any{r.Number, r.ID, r.Time.UTC().Format(time.RFC3339), r.Submitter, r.Outcome, r.Revision, services}
	})
}

// changeMark returns "+" for a created service, "-" for a removed service and ""
// for a changed service.
func changeMark(change ticket.Change) string {
	switch {
	case change.Before == nil:
		return "+"
	case change.After == nil:
		return "-"
	default:
		return ""
	}
}

// ticketStatusCommand shows which processes have applied a ticket.
type ticketStatusCommand struct {
	connection
	Ticket string        `arg:"" help:"Number or ID of the ticket."`
	Wait   time.Duration `help:"Query repeatedly until all processes have applied the ticket, for at most this long." placeholder:"16s"`
}

// Run prints how many processes of each data centre have applied the ticket. It
// returns an error unless all processes have applied it.
func (c ticketStatusCommand) Run(ctx context.Context, streams Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := c.poll(ctx, client)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(streams.Out, status); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(streams.Out, "ticket %d (%s) at revision %d\n\n", status.Number, status.ID, status.Revision)
		printSpread(streams.Out, status.Spread)
	}
	if !status.ActiveEverywhere {
		return errkind.New(errkind.Unavailable, fmt.Sprintf("ticket %d is not in force at every process yet", status.Number),
			"wait with --wait; if that does not help, check the processes named above")
	}
	return nil
}

// poll queries the status once, and then repeatedly until all processes have applied the ticket or c.Wait is over.
func (c ticketStatusCommand) poll(ctx context.Context, client *adminapi.Client) (adminapi.TicketStatus, error) {
	deadline := time.Now().Add(c.Wait)
	for {
		status, err := client.TicketStatus(ctx, c.Ticket)
		if err != nil || status.ActiveEverywhere || time.Now().Add(statusInterval).After(deadline) {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, nil
		case <-time.After(statusInterval):
		}
	}
}
