package adminapi

import (
	"crypto/rand"
	"errors"
	"net/http"
	"net/netip"
	"slices"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/service"
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
		result, err := a.drainFrom(r, request, target)
		// A conflict is certainly not in force, so the same ID may carry the
		// change again, on top of the state that won.
		var conflict *ticket.ConflictError
		if !errors.As(err, &conflict) || attempt == drainAttempts {
			return result, err
		}
		if target, found = current(conflict.Current, target.ID); !found {
			return DrainResult{}, err
		}
	}
}

// drainFrom submits the drain on top of target. If target needs no change, it
// asks the store whether target is still the current state, because this
// process may lag behind.
func (a *api) drainFrom(r *http.Request, request DrainRequest, target Service) (DrainResult, error) {
	if slices.Contains(target.Draining, request.Agent) != request.Undo {
		check := ticketFor(target.Spec, target.Revision, "check-"+rand.Text(), request.Submitter)
		_, err := a.Tickets.DryRun(r.Context(), check)
		return DrainResult{Unchanged: err == nil}, err
	}
	spec := target.Spec
	if request.Undo {
		spec.Draining = slices.DeleteFunc(slices.Clone(spec.Draining), func(a netip.AddrPort) bool { return a == request.Agent })
	} else {
		spec.Draining = append(slices.Clone(spec.Draining), request.Agent)
	}
	outcome, err := a.submitAndLog(r, ticketFor(spec, target.Revision, request.ID, request.Submitter))
	if err != nil {
		return DrainResult{}, err
	}
	return DrainResult{Outcome: &outcome}, nil
}

// ticketFor returns a ticket that sets one service, against one base.
func ticketFor(spec service.Spec, base int64, id, submitter string) ticket.Ticket {
	return ticket.Ticket{
		ID:        id,
		Submitter: submitter,
		Services:  []service.Spec{spec},
		Bases:     []ticket.Base{{Service: spec.Name, Revision: base}},
	}
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
		logging.WithError(a.Logger, err).Warn("drain refused")
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
