package demo

import (
	"context"
	"time"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/ticket"
)

const (
	// submitter is the submitter of the demo's tickets.
	submitter = "demo"
	// plannedTickets is the number of tickets that the demo submits.
	plannedTickets = 3
)

// submit submits a ticket to a balancer and waits until it is active at all processes
// that r watches.
func (d *deployment) submit(ctx context.Context, r *revisions, what string, t ticket.Ticket) (ticketResult, error) {
	since := time.Now()
	result, err := d.operator.Submit(ctx, adminapi.TicketRequest{Ticket: t})
	if err != nil {
		return ticketResult{}, err
	}
	if result.Outcome == nil {
		return ticketResult{}, errkind.New(errkind.Unknown, "the answer holds no outcome", "run the demo again")
	}
	return r.await(ctx, what, since, result.Outcome.Revision), nil
}

// createServices submits the first ticket.
func (d *deployment) createServices(ctx context.Context, r *revisions) (ticketResult, error) {
	t := ticket.Ticket{ID: "create-services", Submitter: submitter}
	for _, s := range services {
		t.Services = append(t.Services, s.spec(d.ports))
	}
	return d.submit(ctx, r, "create both services", t)
}

// changeLimits submits a ticket with other limits for the booking service, based on
// its current state.
func (d *deployment) changeLimits(ctx context.Context, r *revisions) (ticketResult, error) {
	current, err := d.current(ctx, bookingService)
	if err != nil {
		return ticketResult{}, err
	}
	spec := current.Spec
	spec.Limits.Connections = newConnections
	spec.Limits.Slots = newSlots
	return d.submit(ctx, r, "change the limits of "+bookingService, ticket.Ticket{
		ID: "change-limits", Submitter: submitter, Services: []service.Spec{spec},
		Bases: []ticket.Base{{Service: spec.Name, Revision: current.Revision}},
	})
}

// Limits that the last ticket sets.
const (
	newConnections = 1500
	newSlots       = 6
)

// current returns the current state of a service.
func (d *deployment) current(ctx context.Context, name string) (adminapi.Service, error) {
	list, err := d.operator.Services(ctx, 0)
	if err != nil {
		return adminapi.Service{}, err
	}
	for _, s := range list.Services {
		if s.Name == name {
			return s, nil
		}
	}
	return adminapi.Service{}, errkind.New(errkind.NotFound, "no service "+name+" is in force", "run the demo again")
}

// drain takes a backend server out of service by a ticket.
func (d *deployment) drain(ctx context.Context, r *revisions, h *host) (ticketResult, error) {
	since := time.Now()
	result, err := d.operator.Drain(ctx, adminapi.DrainRequest{
		ID: "drain-" + h.name, Submitter: submitter, Service: h.plan.name, Agent: h.addr,
	})
	if err != nil {
		return ticketResult{}, err
	}
	if result.Outcome == nil {
		return ticketResult{}, errkind.New(errkind.Unknown, "the answer holds no outcome", "run the demo again")
	}
	return r.await(ctx, "drain "+h.name, since, result.Outcome.Revision), nil
}
