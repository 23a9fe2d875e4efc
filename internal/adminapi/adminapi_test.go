package adminapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/telemetry"
	"github.com/almondledge/almondledge/internal/ticket"
)

const token = "a-token-of-the-tests"

var logger = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

var agentAddress = netip.MustParseAddrPort("127.0.2.1:7000")

// fakeFleet is a fake implementation of all interfaces that the API uses.
type fakeFleet struct {
	services  []Service
	spread    Spread
	submitted []ticket.Ticket
	// submitErrors are the errors of the next submissions.
	submitErrors []error
	// winner is the stored state with which the next submissions conflict;
	// conflicts is the number of these submissions.
	winner    Service
	conflicts int
	drained   []string
	notReady  error
}

func (f *fakeFleet) Services() (int64, []Service) { return 40, f.services }

func (f *fakeFleet) Spread(_ context.Context, revision int64) (Spread, error) {
	f.spread.Revision = revision
	return f.spread, nil
}

func (f *fakeFleet) Members() []member.Member {
	return []member.Member{{Addr: agentAddress, Kind: member.Agent, State: member.Serving, Load: 255}}
}

func (f *fakeFleet) Submit(_ context.Context, t ticket.Ticket) (ticket.Outcome, error) {
	f.submitted = append(f.submitted, t)
	if f.conflicts > 0 {
		f.conflicts--
		spec := f.winner.Spec
		current := ticket.StoredState{Services: []ticket.ServiceState{{ID: spec.ID, Name: spec.Name, Spec: &spec, Revision: f.winner.Revision}}}
		t.Bases = []ticket.Base{{Service: spec.Name}} // an older base than the current state
		_, err := ticket.Plan(current, t, time.Now())
		return ticket.Outcome{}, err
	}
	if len(f.submitErrors) > 0 {
		err := f.submitErrors[0]
		f.submitErrors = f.submitErrors[1:]
		return ticket.Outcome{}, err
	}
	return ticket.Outcome{ID: t.ID, Number: 7, Revision: 41}, nil
}

func (f *fakeFleet) DryRun(context.Context, ticket.Ticket) (ticket.Preview, error) {
	return ticket.Preview{Differences: []ticket.Difference{{Service: "counter", Field: "limits.slots"}}}, nil
}

func (f *fakeFleet) Show(_ context.Context, id string) (ticket.Record, error) {
	if id != "tide-7" && id != "2026" {
		return ticket.Record{}, errkind.New(errkind.NotFound, "no ticket "+id, "look at the history")
	}
	return f.ShowNumber(context.Background(), 7)
}

func (f *fakeFleet) ShowNumber(_ context.Context, number int64) (ticket.Record, error) {
	if number != 7 {
		return ticket.Record{}, errkind.New(errkind.NotFound, "no such ticket", "look at the history")
	}
	return ticket.Record{Number: 7, ID: "tide-7", Revision: 41}, nil
}

func (f *fakeFleet) List(_ context.Context, number int64, count int) ([]ticket.Record, error) {
	return []ticket.Record{{Number: number, Digest: fmt.Sprint(count)}}, nil
}

func (f *fakeFleet) Drain(submitter string) error {
	f.drained = append(f.drained, submitter)
	return nil
}

func (f *fakeFleet) options(role member.Kind) Options {
	ready := func() error { return f.notReady }
	options := Options{
		Instance: Instance{Address: agentAddress, Role: role.String()}, Token: token, Ready: ready,
		Configuration: f, Members: f, Telemetry: telemetry.New(ready), Logger: logger,
	}
	if role == member.Balancer {
		options.Tickets = f
	} else {
		options.Drainer = f
	}
	return options
}

func (f *fakeFleet) client(t *testing.T, role member.Kind) *Client {
	t.Helper()
	server := httptest.NewServer(NewHandler(f.options(role)))
	t.Cleanup(server.Close)
	return newClient(t, server.URL)
}

func newClient(t *testing.T, endpoints ...string) *Client {
	t.Helper()
	client := NewClient(ClientOptions{Endpoints: endpoints, Token: token, Timeout: time.Minute})
	t.Cleanup(client.Close)
	return client
}

func counterService(draining ...netip.AddrPort) Service {
	return Service{Revision: 30, Spec: service.Spec{Name: "counter", ID: 3, Draining: draining, Limits: service.Limits{Slots: 5}}}
}

func TestClientAndServerAgree(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{services: []Service{counterService()}, spread: Spread{DataCentres: []DataCentreSpread{{Name: "cesme", Complete: true, Balancers: 3}}}}
	client := f.client(t, member.Balancer)
	ctx := t.Context()

	services, err := client.Services(ctx, 0)
	is.NoErr(err)
	is.Equal(services, ServiceList{Revision: 40, Services: f.services})
	services, err = client.Services(ctx, 3)
	is.NoErr(err)
	is.Equal(len(services.Services), 0)

	state, err := client.State(ctx, false)
	is.NoErr(err)
	is.Equal(state, State{Instance: Instance{Address: agentAddress, Role: "balancer"}, Ready: true, Revision: 40, Services: 1})
	f.notReady = errors.New("no configuration")
	state, err = client.State(ctx, true)
	is.NoErr(err)
	is.Equal(state.Reason, "no configuration")
	is.Equal(state.Spread.Revision, int64(40))

	presence, err := client.Presence(ctx)
	is.NoErr(err)
	is.Equal(presence.Members[0].State, "serving")
	is.Equal(presence.Members[0].LoadPercent, 100)

	result, err := client.Submit(ctx, TicketRequest{Ticket: ticket.Ticket{ID: "tide-7", Submitter: "ayse"}})
	is.NoErr(err)
	is.Equal(*result.Outcome, ticket.Outcome{ID: "tide-7", Number: 7, Revision: 41})
	result, err = client.Submit(ctx, TicketRequest{DryRun: true})
	is.NoErr(err)
	is.Equal(result.Preview.Differences[0].Field, "limits.slots")
	is.Equal(len(f.submitted), 1) // a dry run submits nothing

	for _, reference := range []string{"7", "tide-7", "2026"} {
		record, err := client.Ticket(ctx, reference)
		is.NoErr(err)
		is.Equal(record.ID, "tide-7")
		status, err := client.TicketStatus(ctx, reference)
		is.NoErr(err)
		is.True(status.ActiveEverywhere)
		is.Equal(status.Spread.Revision, int64(41))
	}
	history, err := client.History(ctx, 12, 5)
	is.NoErr(err)
	is.Equal(history.Tickets, []ticket.Record{{Number: 12, Digest: "5"}})
}

func TestActiveEverywhereNeedsEveryProcess(t *testing.T) {
	complete := DataCentreSpread{Complete: true, Balancers: 1}
	cases := []struct {
		name string
		part []DataCentreSpread
		want bool
	}{
		{"everywhere", []DataCentreSpread{complete, complete}, true},
		{"nobody asked", nil, false},
		{"no answer from one data centre", []DataCentreSpread{complete, {}}, false},
		{"one lags", []DataCentreSpread{complete, {Complete: true, Lagging: 1}}, false},
		{"one is silent", []DataCentreSpread{complete, {Complete: true, Silent: 1}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Spread{DataCentres: c.part}.IsActiveEverywhere(), c.want)
		})
	}
}

func TestRefusedRequests(t *testing.T) {
	const bearer = "Bearer " + token
	cases := []struct {
		name                              string
		role                              member.Kind
		method, path, auth, content, body string
		want                              errkind.Kind
		status                            int
	}{
		{"no token", member.Balancer, "GET", PathState, "", "", "", errkind.Unauthenticated, 401},
		{"wrong token", member.Balancer, "GET", PathState, "Bearer " + token + "x", "", "", errkind.Unauthenticated, 401},
		{"wrong scheme", member.Balancer, "GET", PathState, "Basic " + token, "", "", errkind.Unauthenticated, 401},
		{"unknown path without token", member.Balancer, "GET", "/v1/other", "", "", "", errkind.Unauthenticated, 401},
		{"profiles without token", member.Balancer, "GET", telemetry.ProfilePath, "", "", "", errkind.Unauthenticated, 401},
		{"unknown path", member.Balancer, "GET", "/v1/other", bearer, "", "", errkind.NotFound, 404},
		{"tickets on an agent", member.Agent, "POST", PathTickets, bearer, typeJSON, "{}", errkind.NotFound, 404},
		{"unknown ticket", member.Balancer, "GET", PathTickets + "/8", bearer, "", "", errkind.NotFound, 404},
		{"other content type", member.Balancer, "POST", PathTickets, bearer, "text/plain", "{}", errkind.Invalid, 400},
		{"unknown field", member.Balancer, "POST", PathTickets, bearer, typeJSON, `{"tiket":{}}`, errkind.Invalid, 400},
		{"two values", member.Balancer, "POST", PathTickets, bearer, typeJSON, `{}{}`, errkind.Invalid, 400},
		{"long body", member.Balancer, "POST", PathTickets, bearer, typeJSON, strings.Repeat(" ", MaxBodyBytes+1), errkind.Invalid, 400},
		{"bad count", member.Balancer, "GET", PathHistory + "?count=201", bearer, "", "", errkind.Invalid, 400},
		{"bad number", member.Balancer, "GET", PathServices + "?after=-1", bearer, "", "", errkind.Invalid, 400},
		{"drain of unknown service", member.Balancer, "POST", PathDrain, bearer, typeJSON, `{"service":"x","agent":"127.0.2.1:7000"}`, errkind.NotFound, 404},
		{"drain of no agent", member.Balancer, "POST", PathDrain, bearer, typeJSON, `{"service":"counter"}`, errkind.Invalid, 400},
		{"drain of another agent", member.Agent, "POST", PathDrain, bearer, typeJSON, `{"submitter":"ayse","agent":"127.0.2.2:7000"}`, errkind.Invalid, 400},
		{"drain by nobody", member.Agent, "POST", PathDrain, bearer, typeJSON, `{}`, errkind.Invalid, 400},
		{"undo on an agent", member.Agent, "POST", PathDrain, bearer, typeJSON, `{"submitter":"ayse","undo":true}`, errkind.Invalid, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeFleet{services: []Service{counterService()}}
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			request.Header.Set("Authorization", c.auth)
			request.Header.Set("Content-Type", c.content)
			recorder := httptest.NewRecorder()
			NewHandler(f.options(c.role)).ServeHTTP(recorder, request)
			is.Equal(recorder.Code, c.status)
			err := problemError(recorder.Result(), recorder.Body.Bytes())
			is.Equal(errkind.Of(err), c.want)
			is.Equal(len(f.submitted)+len(f.drained), 0)
		})
	}
}

func TestEmptyTokenIsNeverAccepted(t *testing.T) {
	is := is.New(t)
	options := (&fakeFleet{}).options(member.Balancer)
	options.Token = ""
	request := httptest.NewRequest(http.MethodGet, PathState, nil)
	request.Header.Set("Authorization", "Bearer ")
	recorder := httptest.NewRecorder()
	NewHandler(options).ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusUnauthorized)
}

func TestErrorsKeepKindAndRemedy(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{submitErrors: []error{
		fmt.Errorf("outer: %w", errkind.Wrap(io.EOF, errkind.Stale, "store is older", "call the platform")),
		errors.New("no kind"),
	}}
	client := f.client(t, member.Balancer)
	_, err := client.Submit(t.Context(), TicketRequest{})
	is.True(errkind.Is(err, errkind.Stale))
	is.Equal(err.Error(), "store is older: EOF (remedy: call the platform)")
	_, err = client.Submit(t.Context(), TicketRequest{})
	is.True(errkind.Is(err, errkind.Unknown)) // an error without a kind has an unknown outcome
}

func TestServeWithCertificates(t *testing.T) {
	is := is.New(t)
	authority, err := pki.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	identity := func(role pki.Role) *pki.Identity {
		pair, err := authority.Issue(role, time.Now(), time.Hour)
		is.NoErr(err)
		identity, err := pki.NewIdentity(authority.KeyPair().Certificate, pair, time.Now)
		is.NoErr(err)
		return identity
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.Equal(TLSConfig(listener.Addr(), identity(pki.RoleBalancer)), nil) // a loopback address needs no TLS
	config := TLSConfig(&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)}, identity(pki.RoleBalancer))

	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, listener, config, NewHandler((&fakeFleet{}).options(member.Balancer)), logger)
	}()
	call := func(role pki.Role, bearer string) errkind.Kind {
		client := NewClient(ClientOptions{
			Endpoints: []string{"https://" + listener.Addr().String()}, Token: bearer, Timeout: time.Minute,
			TLS: identity(role).ClientConfig(nil, pki.RoleBalancer),
		})
		defer client.Close()
		_, err := client.Submit(t.Context(), TicketRequest{})
		return errkind.Of(err)
	}
	is.Equal(call(pki.RoleOperator, ""), errkind.Kind(""))
	is.Equal(call(pki.RoleAgent, token), errkind.Unknown) // refused in the handshake
	cancel()
	is.NoErr(<-served)
}

func TestProblemBody(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	writeProblem(recorder, errkind.New(errkind.Conflict, "another ticket won", "look at the state"))
	is.Equal(recorder.Header().Get("Content-Type"), "application/problem+json")
	is.True(bytes.HasPrefix(recorder.Body.Bytes(), []byte(`{"type":"urn:almondledge:problem:conflict","title":"Conflict","status":409,"detail":"another ticket won","kind":"conflict","remedy":"look at the state"}`)))
}

// The types of package ticket implement Tickets without an adapter.
var _ Tickets = struct {
	*ticket.Submitter
	ticket.History
}{}
