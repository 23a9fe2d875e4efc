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

// drainAttempts bounds how often a drain is submitted if other tickets keep
// changing the service first.
const drainAttempts = 4

// drainByTicket submits a ticket that changes only the draining backend servers of
// the service.
func (a *api) drainByTicket(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if err := readBody(r, &request); err != nil {
		writeProblem(w, err)
		return
	}
	result, err := a.submitDrain(r, request)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (a *api) submitDrain(r *http.Request, request DrainRequest) (DrainResult, error) {
	if !request.Agent.IsValid() {
		return DrainResult{}, errkind.New(errkind.Invalid, "the drain request has no agent", "set agent to the address of the agent as IP:port, as GET /v1/presence lists it")
	}
	target, found := a.findService(request.Service)
	if !found {
		return DrainResult{}, errkind.New(errkind.NotFound, "service "+request.Service+" is not in the active configuration of this process", "check the name in the list of services")
	}
	if request.ID == "" {
		request.ID = "drain-" + rand.Text()
	}
	for attempt := 1; ; attempt++ {
		result, err := a.submitDrainOnce(r, request, target)
		// A ticket with a conflict was certainly not applied, so its ID can be used
		// again for the same change of the current state.
		var conflict *ticket.ConflictError
		if !errors.As(err, &conflict) || attempt == drainAttempts {
			return result, err
		}
		if target, found = currentService(conflict.Current, target.ID); !found {
			return DrainResult{}, err
		}
	}
}

// submitDrainOnce submits the drain as a change of target. If target needs no
// change, it checks with a dry run whether target is the current state in the
// store, because the configuration of this process may be outdated.
func (a *api) submitDrainOnce(r *http.Request, request DrainRequest, target Service) (DrainResult, error) {
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

// ticketFor returns a ticket that changes one service from the given base revision.
func ticketFor(spec service.Spec, base int64, id, submitter string) ticket.Ticket {
	return ticket.Ticket{
		ID:        id,
		Submitter: submitter,
		Services:  []service.Spec{spec},
		Bases:     []ticket.Base{{Service: spec.Name, Revision: base}},
	}
}

// drainSelf drains the backend server of this agent.
func (a *api) drainSelf(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if err := readBody(r, &request); err != nil {
		writeProblem(w, err)
		return
	}
	if err := checkSelfDrain(request, a.Instance.Address); err != nil {
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

// checkSelfDrain refuses requests that the agent at address own cannot serve.
func checkSelfDrain(request DrainRequest, own netip.AddrPort) error {
	const remedy = "send it to the administration address of a balancer"
	if request.Submitter == "" {
		return errkind.New(errkind.Invalid, "the drain request has no submitter", "set submitter")
	}
	if request.Undo {
		return errkind.New(errkind.Invalid, "an agent cannot undo a drain", remedy)
	}
	if request.Agent.IsValid() && request.Agent != own {
		return errkind.New(errkind.Invalid, "this agent is "+own.String()+", not "+request.Agent.String(), remedy)
	}
	return nil
}
