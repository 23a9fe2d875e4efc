package cli

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/ticket"
)

// storeView is the configuration of a balancer: the state in the store, or an
// older state while frozen is set.
type storeView struct {
	store  store.Store
	frozen []adminapi.Service
}

func (v *storeView) Services() (int64, []adminapi.Service) {
	if v.frozen != nil {
		return 0, v.frozen
	}
	snapshot, err := v.store.Range(context.Background(), ticket.ServicePrefix)
	if err != nil {
		return 0, nil
	}
	states, _ := ticket.DecodeServices(snapshot.Entries)
	var services []adminapi.Service
	for _, state := range states {
		if state.Spec != nil {
			services = append(services, adminapi.Service{Spec: *state.Spec, Revision: state.Revision})
		}
	}
	return snapshot.Revision, services
}

func (v *storeView) Spread(context.Context, int64) (adminapi.Spread, error) {
	return adminapi.Spread{}, nil
}

func (v *storeView) Members() []member.Member { return nil }

// TestTicketsReachTheStore runs commands against the real administration API and
// ticket submitter with a stand-in for the platform's store. A drain must be
// based on the state in the store, not on the older configuration of a balancer
// that lags.
func TestTicketsReachTheStore(t *testing.T) {
	is := is.New(t)
	client, err := etcd.New(etcd.Config{
		Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: platform.New(nil)}, Burst: 1000,
	})
	is.NoErr(err)
	view := &storeView{store: client}
	const token = "sixteen-characters"
	server := httptest.NewServer(adminapi.NewHandler(adminapi.Options{
		Token: token, Ready: func() error { return nil }, Configuration: view, Members: view,
		Tickets: struct {
			*ticket.Submitter
			ticket.History
		}{&ticket.Submitter{Store: client}, ticket.History{Store: client}},
		Logger: &log.Logger{Handler: discard.New()},
	}))
	t.Cleanup(server.Close)
	operator := filepath.Join(t.TempDir(), "operator.json")
	raw, err := json.Marshal(map[string]any{"role": "operator", "endpoints": []string{server.URL}, "adminToken": token})
	is.NoErr(err)
	is.NoErr(os.WriteFile(operator, raw, 0o600))
	command := func(want int, args ...string) string {
		t.Helper()
		code, out, errors := run(append(args, "--settings", operator)...)
		is.Equal(code, want)
		return out + errors
	}

	file := examples + "ticket.json"
	is.True(strings.Contains(command(ExitOK, "ticket", "submit", "--dry-run", file), "limits.slots"))
	is.True(strings.Contains(command(ExitOK, "ticket", "submit", file), "ticket 1 (create-rezervasyon) accepted"))
	is.True(strings.Contains(command(ExitOK, "ticket", "submit", file), "as before")) // the same ID is the same ticket

	_, view.frozen = view.Services() // the balancer keeps this configuration and lags behind the store
	command(ExitOK, "drain", "rezervasyon", "127.0.2.1:7000", "--submitter", "ayse")
	command(ExitOK, "drain", "rezervasyon", "127.0.2.2:7000", "--submitter", "mehmet")
	view.frozen = nil
	_, services := view.Services()
	is.Equal(services[0].Draining, []netip.AddrPort{netip.MustParseAddrPort("127.0.2.1:7000"), netip.MustParseAddrPort("127.0.2.2:7000")}) // both drains are in the store
	command(ExitOK, "drain", "rezervasyon", "127.0.2.1:7000", "--submitter", "ayse", "--undo")
	is.True(strings.Contains(command(ExitOK, "drain", "rezervasyon", "127.0.2.2:7000", "--submitter", "ayse"), "nothing to change"))

	_, view.frozen = view.Services() // the balancer lags again: the next ticket ends the drain
	undone := view.frozen[0].Spec
	undone.Draining = nil
	_, err = (&ticket.Submitter{Store: client}).Submit(t.Context(), ticket.Ticket{ID: "undone", Submitter: "mehmet", Services: []service.Spec{undone}})
	is.NoErr(err)
	is.True(strings.Contains(command(ExitOK, "drain", "rezervasyon", "127.0.2.2:7000", "--submitter", "ayse"), "ticket 6")) // not "nothing to change"

	history := command(ExitOK, "ticket", "history")
	is.Equal(strings.Count(history, "rezervasyon"), 7) // six tickets; the ID of the first ticket contains the name as well
	is.True(strings.Contains(command(ExitOK, "ticket", "show", "4"), "draining"))
	command(ExitFailure, "ticket", "show", "7")
}
