package deploy

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/ticket"
)

// conflictingTickets is the number of tickets that SubmitConflictingTickets submits at once.
const conflictingTickets = 4

// SubmitTicket applies change to the specifications of all services, submits them
// as one ticket, and returns the ticket's revision in the store.
func (d *Deployment) SubmitTicket(ctx context.Context, change func([]*service.Spec)) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.newTicket(change)
	submitter := ticket.Submitter{Store: d.store}
	outcome, err := submitter.Submit(ctx, t)
	if err != nil {
		return 0, err
	}
	d.recordAccepted(t, outcome.Revision)
	return outcome.Revision, nil
}

// newTicket returns a ticket with changed copies of all specifications; the caller holds d.mu.
func (d *Deployment) newTicket(change func([]*service.Spec)) ticket.Ticket {
	d.tickets++
	t := ticket.Ticket{ID: fmt.Sprintf("%s-%d-%d", d.cfg.Place.Name, os.Getpid(), d.tickets), Submitter: "lab"}
	var specs []*service.Spec
	for _, s := range d.cfg.Place.Services {
		spec := d.specs[s.Name]
		spec.Draining = slices.Clone(spec.Draining)
		specs = append(specs, &spec)
	}
	change(specs)
	for _, spec := range specs {
		t.Services = append(t.Services, *spec)
	}
	return t
}

// recordAccepted stores the specifications and revision of an accepted ticket; the
// caller holds d.mu.
func (d *Deployment) recordAccepted(t ticket.Ticket, revision int64) {
	for _, spec := range t.Services {
		d.specs[spec.Name] = spec
	}
	d.revision = revision
}

// SetDraining submits a ticket that starts or ends the drain of a host.
func (d *Deployment) SetDraining(ctx context.Context, h *Host, draining bool) (int64, error) {
	return d.SubmitTicket(ctx, func(specs []*service.Spec) {
		for _, spec := range specs {
			if spec.Name != h.Service {
				continue
			}
			spec.Draining = slices.DeleteFunc(spec.Draining, func(a netip.AddrPort) bool { return a == h.AgentAddr })
			if draining {
				spec.Draining = append(spec.Draining, h.AgentAddr)
			}
		}
	})
}

// SubmitConflictingTickets concurrently submits several different tickets based on
// the same revision, and returns how many were accepted and how many were rejected
// with a conflict.
func (d *Deployment) SubmitConflictingTickets(ctx context.Context) (accepted, conflicts int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	tickets := make([]ticket.Ticket, conflictingTickets)
	outcomes := make([]ticket.Outcome, conflictingTickets)
	errs := make([]error, conflictingTickets)
	for i := range tickets {
		tickets[i] = d.newTicket(func(specs []*service.Spec) {
			for _, spec := range specs {
				spec.Limits.QueueLength = conflictingQueueLength + i
			}
		})
		for _, spec := range tickets[i].Services {
			tickets[i].Bases = append(tickets[i].Bases, ticket.Base{Service: spec.Name, Revision: d.revision})
		}
	}
	var group errgroup.Group
	for i := range tickets {
		group.Go(func() error {
			submitter := ticket.Submitter{Store: d.store}
			outcomes[i], errs[i] = submitter.Submit(ctx, tickets[i])
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for i, err := range errs {
		switch {
		case err == nil:
			accepted++
			d.recordAccepted(tickets[i], outcomes[i].Revision)
		case errkind.Is(err, errkind.Conflict):
			conflicts++
		default:
			return accepted, conflicts, err
		}
	}
	return accepted, conflicts, nil
}

// conflictingQueueLength is the queue length in the first of the conflicting tickets; the
// length in each further ticket is one higher.
const conflictingQueueLength = 101

// AcceptedRevision returns the revision of the last accepted ticket.
func (d *Deployment) AcceptedRevision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// AppliedRevisions returns the revision that is active in each running balancer and agent,
// by process name. The revision of a process that does not answer is 0.
func (d *Deployment) AppliedRevisions(ctx context.Context) map[string]int64 {
	revisions := make(map[string]int64)
	read := func(p *Process, admin netip.AddrPort) {
		if !p.Running() {
			return
		}
		client := adminapi.NewClient(adminapi.ClientOptions{
			Endpoints: []string{"http://" + admin.String()}, Token: d.fleet.AdminToken, Timeout: controlTimeout,
		})
		defer client.Close()
		state, err := client.State(ctx, false)
		if err != nil {
			state.Revision = 0
		}
		revisions[p.Name] = state.Revision
	}
	for _, b := range d.Balancers() {
		read(b.Process, b.admin)
	}
	for _, h := range d.Hosts {
		read(h.Agent, h.admin)
	}
	return revisions
}
