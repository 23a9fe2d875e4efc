package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/service"
)

// statusCommand shows the state of the fleet.
type statusCommand struct {
	connection
}

// fleetStatus is the JSON output of the command.
type fleetStatus struct {
	State    adminapi.State     `json:"state"`
	Services []adminapi.Service `json:"services"`
	Members  []adminapi.Member  `json:"members"`
}

// Run prints the state of the fleet as reported by one balancer.
func (c statusCommand) Run(ctx context.Context, streams Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	status, err := c.collect(ctx, client)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams.Out, status)
	}
	status.print(streams.Out)
	return nil
}

// collect queries the balancer.
func (c statusCommand) collect(ctx context.Context, client *adminapi.Client) (fleetStatus, error) {
	var status fleetStatus
	var err error
	if status.State, err = client.State(ctx, true); err != nil {
		return status, err
	}
	if status.Services, err = allServices(ctx, client); err != nil {
		return status, err
	}
	presence, err := client.Presence(ctx)
	status.Members = presence.Members
	slices.SortFunc(status.Members, func(a, b adminapi.Member) int {
		return cmp.Or(
			cmp.Compare(b.Role, a.Role), // balancers first
			cmp.Compare(a.DataCentre, b.DataCentre),
			a.Address.Compare(b.Address),
		)
	})
	return status, err
}

// allServices reads the list of services page by page.
func allServices(ctx context.Context, client *adminapi.Client) ([]adminapi.Service, error) {
	var all []adminapi.Service
	var after service.ID
	for {
		list, err := client.Services(ctx, after)
		if err != nil {
			return nil, err
		}
		all = append(all, list.Services...)
		if list.Next <= after {
			return all, nil
		}
		after = list.Next
	}
}

func (s fleetStatus) print(w io.Writer) {
	ready := "ready"
	if !s.State.Ready {
		ready = s.State.Reason
	}
	_, _ = fmt.Fprintf(w, "%s %v in %s: %s, revision %d, %d services\n\n", s.State.Instance.Role, s.State.Instance.Address,
		s.State.Instance.DataCentre, ready, s.State.Revision, s.State.Services)
	if s.State.Spread != nil {
		printSpread(w, *s.State.Spread)
	} else {
		_, _ = fmt.Fprintf(w, "which processes have applied the revision is unknown: %s\n", s.State.SpreadProblem)
	}
	_, _ = fmt.Fprintln(w)
	printTable(w, []string{"SERVICE", "ID", "ADDRESS", "REVISION", "SLOTS", "CONNECTIONS", "DRAINING"}, s.Services,
		func(s adminapi.Service) []any {
			return []any{s.Name, s.ID, s.Address, s.Revision, s.Limits.Slots, s.Limits.Connections, addressList(s.Draining)}
		})
	_, _ = fmt.Fprintln(w)
	printTable(w, []string{"PROCESS", "ADDRESS", "DATA CENTRE", "STATE", "SERVICE", "CAPACITY", "LOAD"}, s.Members,
		func(m adminapi.Member) []any {
			if m.Role != "agent" {
				return []any{m.Role, m.Address, m.DataCentre, m.State, "", "", ""}
			}
			return []any{m.Role, m.Address, m.DataCentre, m.State, serviceText(m.Service), m.Capacity, fmt.Sprintf("%d %%", m.LoadPercent)}
		})
}

// printSpread prints for each data centre the number of processes and the number
// of processes that have not applied a revision.
func printSpread(w io.Writer, spread adminapi.Spread) {
	heading := []string{"DATA CENTRE", "ANSWERED", "BALANCERS", "AGENTS", "LAGGING", "SILENT", "SUCH AS"}
	printTable(w, heading, spread.DataCentres, func(d adminapi.DataCentreSpread) []any {
		answered := "yes"
		if !d.Complete {
			answered = "no"
		}
		return []any{d.Name, answered, d.Balancers, d.Agents, d.Lagging, d.Silent, addressList(d.Sample)}
	})
}

func addressList(addresses []netip.AddrPort) string {
	var texts []string
	for _, address := range addresses {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

// serviceText returns the ID of an agent's service, or an empty string if it has none.
func serviceText(id service.ID) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprint(id)
}
