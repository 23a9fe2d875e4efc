package adminapi

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/ticket"
)

// maxLoad is the value of member.Member.Load for a fully loaded backend server.
const maxLoad = 255

func (a *api) state(w http.ResponseWriter, r *http.Request) {
	revision, services := a.Configuration.Services()
	answer := State{Instance: a.Instance, Ready: true, Revision: revision, Services: len(services)}
	if err := a.Ready(); err != nil {
		answer.Ready = false
		answer.Reason = err.Error()
	}
	if a.Tickets != nil && r.URL.Query().Has("spread") {
		answer.Spread, answer.SpreadProblem = a.spread(r, revision)
	}
	writeJSON(w, http.StatusOK, answer)
}

// spread queries which processes have applied a revision. If the query fails, it
// returns the text of the error, so that the answer can still contain the rest of
// the state.
func (a *api) spread(r *http.Request, revision int64) (*Spread, string) {
	spread, err := a.Configuration.Spread(r.Context(), revision)
	if err != nil {
		return nil, err.Error()
	}
	return &spread, ""
}

func (a *api) services(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after", 0)
	if err != nil {
		writeProblem(w, err)
		return
	}
	revision, services := a.Configuration.Services()
	first := sort.Search(len(services), func(i int) bool { return int64(services[i].ID) > after })
	rest := services[first:]
	answer := ServiceList{Revision: revision, Services: rest}
	if len(rest) > MaxServices {
		answer.Services = rest[:MaxServices]
		answer.Next = rest[MaxServices-1].ID
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *api) presence(w http.ResponseWriter, _ *http.Request) {
	answer := Presence{Members: []Member{}}
	for _, m := range a.Members.Members() {
		answer.Members = append(answer.Members, memberOf(m))
	}
	writeJSON(w, http.StatusOK, answer)
}

func memberOf(m member.Member) Member {
	return Member{
		Address:     m.Addr,
		Stream:      m.Stream,
		Role:        m.Kind.String(),
		State:       m.State.String(),
		Incarnation: m.Incarnation,
		DataCentre:  m.DataCentre,
		Service:     m.Service,
		Capacity:    m.Capacity,
		LoadPercent: int(m.Load) * 100 / maxLoad,
	}
}

func (a *api) submit(w http.ResponseWriter, r *http.Request) {
	var request TicketRequest
	if err := readBody(r, &request); err != nil {
		writeProblem(w, err)
		return
	}
	if request.DryRun {
		preview, err := a.Tickets.DryRun(r.Context(), request.Ticket)
		if err != nil {
			writeProblem(w, err)
			return
		}
		writeJSON(w, http.StatusOK, TicketResult{Preview: &preview})
		return
	}
	outcome, err := a.submitAndLog(r, request.Ticket)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, TicketResult{Outcome: &outcome})
}

// submitAndLog submits a ticket and logs its outcome.
func (a *api) submitAndLog(r *http.Request, t ticket.Ticket) (ticket.Outcome, error) {
	logger := a.Logger.WithField("ticket_id", t.ID).WithField("submitter", t.Submitter).WithField("remote", r.RemoteAddr)
	outcome, err := a.Tickets.Submit(r.Context(), t)
	if err != nil {
		logging.WithError(logger, err).Warn("ticket not accepted")
		return outcome, err
	}
	logger.WithField(logging.FieldTicket, outcome.Number).WithField("repeated", outcome.Repeated).Info("ticket accepted")
	return outcome, nil
}

func (a *api) showTicket(w http.ResponseWriter, r *http.Request) {
	record, err := a.findRecord(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, record)
}

// findRecord returns the audit record of the ticket in the path, which is a number
// or an ID. Digits are taken as an ID if no ticket has that number.
func (a *api) findRecord(r *http.Request) (ticket.Record, error) {
	reference := r.PathValue("ticket")
	number, err := strconv.ParseInt(reference, 10, 64)
	if err != nil {
		return a.Tickets.Show(r.Context(), reference)
	}
	record, err := a.Tickets.ShowNumber(r.Context(), number)
	if !errkind.Is(err, errkind.NotFound) {
		return record, err
	}
	if byID, idErr := a.Tickets.Show(r.Context(), reference); idErr == nil {
		return byID, nil
	}
	return record, err
}

func (a *api) ticketStatus(w http.ResponseWriter, r *http.Request) {
	record, err := a.findRecord(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	spread, err := a.Configuration.Spread(r.Context(), record.Revision)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, TicketStatus{
		Number: record.Number, ID: record.ID, Revision: record.Revision,
		ActiveEverywhere: spread.IsActiveEverywhere(), Spread: spread,
	})
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	from, err := queryNumber(r, "from", 0)
	if err != nil {
		writeProblem(w, err)
		return
	}
	count, err := queryNumber(r, "count", DefaultHistory)
	if err != nil {
		writeProblem(w, err)
		return
	}
	if count < 1 || count > ticket.MaxHistory {
		writeProblem(w, invalidQuery("count", count, fmt.Sprintf("use 1 to %d", ticket.MaxHistory)))
		return
	}
	records, err := a.Tickets.List(r.Context(), from, int(count))
	if err != nil {
		writeProblem(w, err)
		return
	}
	if records == nil {
		records = []ticket.Record{}
	}
	writeJSON(w, http.StatusOK, History{Tickets: records})
}

// queryNumber returns a query parameter as a number, or fallback if it is missing.
func queryNumber(r *http.Request, name string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, invalidQuery(name, text, "use an integer of at least 0")
	}
	return number, nil
}

func invalidQuery(name string, value any, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("query parameter %s has the invalid value %v", name, value), remedy)
}

// findService returns the service with this name in the active configuration of
// this process.
func (a *api) findService(name string) (Service, bool) {
	_, services := a.Configuration.Services()
	for _, s := range services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// currentService returns the state of a service from the states in a ConflictError.
func currentService(states []ticket.ServiceState, id service.ID) (Service, bool) {
	for _, state := range states {
		if state.ID == id && state.Spec != nil {
			return Service{Spec: *state.Spec, Revision: state.Revision}, true
		}
	}
	return Service{}, false
}
