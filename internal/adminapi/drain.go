package adminapi

import (
	"crypto/rand"
	"errors"
	"net/http"
	"net/netip"
	"slices"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/ticket"
)

// drainAttempts bounds the tries when other tickets win against a drain.
const drainAttempts = 4

// drainByTicket submits a ticket that changes nothing of the service but its
// draining backend servers.
func (a *api) drainByTicket(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if err := readBody(r, &request); err != nil {
		writeProblem(w, err)
		return
	}
	result, err := a.drain(r, request)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (a *api) drain(r *http.Request, request DrainRequest) (DrainResult, error) {
	if !request.Agent.IsValid() {
		return DrainResult{}, errkind.New(errkind.Invalid, "the drain names no agent", "give the address of the agent as IP:port; see presence")
	}
	target, found := a.find(request.Service)
	if !found {
		return DrainResult{}, errkind.New(errkind.NotFound, "no service "+request.Service+" is in force here", "see the list of services")
	}
	if request.ID == "" {
		request.ID = "drain-" + rand.Text()
	}
	for attempt := 1; ; attempt++ {
		change, needed := drainTicket(request, target)
		if !needed {
			return DrainResult{Unchanged: true}, nil
		}
		outcome, err := a.submitAndLog(r, change)
		if err == nil {
			return DrainResult{Outcome: &outcome}, nil
		}
		// A conflict is certainly not in force, so the same ID may carry the
		// change again, on top of the state that won.
		var conflict *ticket.ConflictError
		if !errors.As(err, &conflict) || attempt == drainAttempts {
			return DrainResult{}, err
		}
		if target, found = current(conflict.Current, target.ID); !found {
			return DrainResult{}, err
		}
	}
}

// drainTicket returns the ticket for a drain of target, and whether one is needed.
func drainTicket(request DrainRequest, target Service) (change ticket.Ticket, needed bool) {
	if slices.Contains(target.Draining, request.Agent) != request.Undo {
		return ticket.Ticket{}, false
	}
	spec := target.Spec
	if request.Undo {
		spec.Draining = slices.DeleteFunc(slices.Clone(spec.Draining), func(a netip.AddrPort) bool { return a == request.Agent })
	} else {
		spec.Draining = append(slices.Clone(spec.Draining), request.Agent)
	}
	change = ticket.Ticket{ID: request.ID, Submitter: request.Submitter}
	change.Services = append(change.Services, spec)
	change.Bases = append(change.Bases, ticket.Base{Service: spec.Name, Revision: target.Revision})
	return change, true
}

// drainOwn drains the backend server beside this agent.
func (a *api) drainOwn(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if err := readBody(r, &request); err != nil {
		writeProblem(w, err)
		return
	}
	if err := checkOwn(request, a.Instance.Address); err != nil {
		writeProblem(w, err)
		return
	}
	if err := a.Drainer.Drain(request.Submitter); err != nil {
		logging.Failure(a.Logger, err).Warn("drain refused")
		writeProblem(w, err)
		return
	}
	a.Logger.WithField("submitter", request.Submitter).WithField("remote", r.RemoteAddr).Info("drain requested")
	writeJSON(w, http.StatusAccepted, DrainResult{})
}

// checkOwn refuses drains that an agent cannot carry out.
func checkOwn(request DrainRequest, own netip.AddrPort) error {
	const remedy = "send it to the administration address of a balancer"
	if request.Submitter == "" {
		return errkind.New(errkind.Invalid, "the drain does not name its submitter", "set submitter")
	}
	if request.Undo {
		return errkind.New(errkind.Invalid, "an agent cannot undo a drain", remedy)
	}
	if request.Agent.IsValid() && request.Agent != own {
		return errkind.New(errkind.Invalid, "this agent is "+own.String()+", not "+request.Agent.String(), remedy)
	}
	return nil
}
