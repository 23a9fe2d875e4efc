// Package adminapi implements the administration API of balancers and agents: HTTP
// with JSON, with the same message types for server, client and command line.
//
// Every process serves GET /v1/state and GET /v1/presence. Balancers also serve
// services, tickets, the history of tickets and drains by ticket; agents serve the
// drain of their own backend server. Errors are Problem Details (RFC 9457) with
// the kind and the remedy of package errkind.
package adminapi

import (
	"context"
	"net/netip"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/ticket"
)

// Paths of the API.
const (
	PathServices = "/v1/services"
	PathState    = "/v1/state"
	PathTickets  = "/v1/tickets"
	PathHistory  = "/v1/history"
	PathPresence = "/v1/presence"
	PathDrain    = "/v1/drain"
)

// Bounds of lists.
const (
	// DefaultHistory is the number of tickets that GET /v1/history returns by default.
	DefaultHistory = 20
	// MaxServices is the maximum number of services in one answer to GET /v1/services.
	MaxServices = 1000
)

// Instance identifies the process that answered.
type Instance struct {
	Address    netip.AddrPort `json:"address"`
	Role       string         `json:"role"`
	DataCentre string         `json:"dataCentre"`
	Region     string         `json:"region"`
}

// Service is a service of the active configuration.
type Service struct {
	service.Spec
	// Revision is the store revision that last changed the service.
	Revision int64 `json:"revision"`
}

// ServiceList is the answer to GET /v1/services?after=ID.
type ServiceList struct {
	// Revision is the store revision that is active at the process that answered.
	Revision int64 `json:"revision"`
	// Services are sorted by ID.
	Services []Service `json:"services"`
	// Next is the value of "after" for the next page; zero on the last page.
	Next service.ID `json:"next,omitempty"`
}

// State is the answer to GET /v1/state?spread.
type State struct {
	Instance Instance `json:"instance"`
	// Ready is false while the process is not ready; Reason says why.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// Revision is the store revision that is active at this process.
	Revision int64 `json:"revision"`
	// Services is the number of services in its active configuration.
	Services int `json:"services"`
	// Spread says which processes have applied the revision, if the query has
	// "spread" and the process is a balancer. If the query of the other processes
	// failed, SpreadProblem is the error.
	Spread        *Spread `json:"spread,omitempty"`
	SpreadProblem string  `json:"spreadProblem,omitempty"`
}

// Spread says which processes have applied a revision.
type Spread struct {
	Revision    int64              `json:"revision"`
	DataCentres []DataCentreSpread `json:"dataCentres"`
}

// DataCentreSpread is the Spread within one data centre.
type DataCentreSpread struct {
	Name string `json:"name"`
	// Complete is false if the data centre has not answered in time.
	Complete bool `json:"complete"`
	// Balancers and Agents count the processes that answered the query.
	Balancers int `json:"balancers"`
	Agents    int `json:"agents"`
	// Lagging counts the processes that answered but have not applied the
	// revision yet.
	Lagging int `json:"lagging"`
	// Silent counts balancers that did not answer.
	Silent int `json:"silent"`
	// Sample holds the addresses of some lagging or silent processes.
	Sample []netip.AddrPort `json:"sample,omitempty"`
}

// IsActiveEverywhere reports whether every process of every data centre answered
// and has applied the revision.
func (s Spread) IsActiveEverywhere() bool {
	for _, dataCentre := range s.DataCentres {
		if !dataCentre.Complete || dataCentre.Lagging > 0 || dataCentre.Silent > 0 {
			return false
		}
	}
	return len(s.DataCentres) > 0
}

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Ticket ticket.Ticket `json:"ticket"`
	// DryRun requests a preview of the changes without submitting the ticket.
	DryRun bool `json:"dryRun,omitempty"`
}

// TicketResult is the answer to POST /v1/tickets. Preview is set for a dry run,
// Outcome otherwise.
type TicketResult struct {
	Outcome *ticket.Outcome `json:"outcome,omitempty"`
	Preview *ticket.Preview `json:"preview,omitempty"`
}

// TicketStatus is the answer to GET /v1/tickets/{number or ID}/status.
type TicketStatus struct {
	Number   int64  `json:"number"`
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	// ActiveEverywhere reports that every process has applied the ticket.
	ActiveEverywhere bool   `json:"inForce"`
	Spread           Spread `json:"spread"`
}

// History is the answer to GET /v1/history?from=NUMBER&count=N, newest first.
type History struct {
	Tickets []ticket.Record `json:"tickets"`
}

// Presence is the answer to GET /v1/presence.
type Presence struct {
	Members []Member `json:"members"`
}

// Member is one process as known to the process that answered.
type Member struct {
	Address     netip.AddrPort `json:"address"`
	Stream      netip.AddrPort `json:"stream"`
	Role        string         `json:"role"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
	DataCentre  string         `json:"dataCentre"`
	// Service is the ID of the service that an agent serves.
	Service service.ID `json:"service,omitempty"`
	// Capacity is the relative weight of an agent's backend server, in slots.
	Capacity uint16 `json:"capacity,omitempty"`
	// LoadPercent is the occupied share of an agent's backend server, in percent.
	LoadPercent int `json:"loadPercent,omitempty"`
}

// DrainRequest is the body of POST /v1/drain. On a balancer it becomes a change
// ticket; an agent drains its own backend server and reads Submitter only.
type DrainRequest struct {
	// ID is the ID of the ticket. Set it to be able to query the outcome if the
	// answer is lost. If it is empty, the balancer generates one.
	ID string `json:"id,omitempty"`
	// Submitter names the person who is responsible for the change.
	Submitter string `json:"submitter"`
	// Service is the name of the service.
	Service string `json:"service,omitempty"`
	// Agent is the address of the backend server's agent.
	Agent netip.AddrPort `json:"agent,omitzero"`
	// Undo ends the drain.
	Undo bool `json:"undo,omitempty"`
}

// DrainResult is the answer to POST /v1/drain.
type DrainResult struct {
	// Unchanged reports that the service was already in the requested state.
	Unchanged bool `json:"unchanged,omitempty"`
	// Outcome is the ticket's outcome on a balancer.
	Outcome *ticket.Outcome `json:"outcome,omitempty"`
}

// Tickets submits change tickets and reads their audit records. The types Submitter
// and History of package ticket implement it together.
type Tickets interface {
	Submit(ctx context.Context, t ticket.Ticket) (ticket.Outcome, error)
	DryRun(ctx context.Context, t ticket.Ticket) (ticket.Preview, error)
	Show(ctx context.Context, id string) (ticket.Record, error)
	ShowNumber(ctx context.Context, number int64) (ticket.Record, error)
	List(ctx context.Context, number int64, count int) ([]ticket.Record, error)
}

// Configuration gives access to the active configuration of this process.
type Configuration interface {
	// Services returns the active revision and its services, sorted by ID.
	Services() (revision int64, services []Service)
	// Spread queries which processes have applied a revision. When ctx ends, it
	// returns the answers received so far.
	Spread(ctx context.Context, revision int64) (Spread, error)
}

// Members lists the members that this process knows.
type Members interface {
	Members() []member.Member
}

// Drainer drains the backend server of an agent.
type Drainer interface {
	// Drain starts the drain and returns. Repeated calls have no effect.
	Drain(submitter string) error
}
