package ticket

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/standin/platform"
	"github.com/almondledge/almondledge/internal/store/etcd"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// settleTime is longer than any late write and any quarantine of the tests.
const settleTime = 5 * time.Minute

// newSubmitter returns a submitter that reaches p without sockets.
func newSubmitter(p *platform.Platform) *Submitter {
	client, err := etcd.New(etcd.Config{
		Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: p}, Burst: 1000,
	})
	if err != nil {
		panic(err)
	}
	return &Submitter{Store: client}
}

// specOf returns the state of service id with a number of slots.
func specOf(id service.ID, slots int) service.Spec {
	return service.Spec{
		Name: fmt.Sprintf("service-%d", id), ID: id,
		Address:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 10, byte(id)}), 443),
		BackendServers: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Limits:         service.Limits{Connections: 2000, Slots: slots, DeadlineMillis: 5000},
	}
}

// ticketOf returns a ticket that sets services.
func ticketOf(id string, specs ...service.Spec) Ticket {
	return Ticket{ID: id, Submitter: "ayse", Services: specs}
}

// burst is a fault of the calls from number first on, for count calls.
type burst struct {
	fault platform.Fault
	first int
	count int
}

// forever is the count of a burst that does not end.
const forever = 1 << 20

// script applies bursts to calls, which it counts from 1. The last burst that
// covers a call decides.
type script struct {
	mu     sync.Mutex
	calls  int
	bursts []burst
}

func (s *script) decide(string) platform.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	fault := platform.None
	for _, b := range s.bursts {
		if s.calls >= b.first && s.calls < b.first+b.count {
			fault = b.fault
		}
	}
	return fault
}

// audit returns what is wrong with the state of the store: the records must be
// numbered without gaps, each ID once, each state before must be the state that
// the previous record left, and the services must be what the records add up to.
func audit(s *Submitter) []string {
	ctx := context.Background()
	var problems []string
	complain := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	history := History{Store: s.Store}
	records, err := history.List(ctx, 0, MaxHistory)
	if err != nil {
		return []string{err.Error()}
	}
	seen := make(map[string]bool)
	states := make(map[service.ID]*service.Spec)
	for i := range records {
		record := records[len(records)-1-i]
		if record.Number != int64(i+1) {
			complain("record %d has the number %d", i+1, record.Number)
		}
		if seen[record.ID] {
			complain("ticket %s is in force twice", record.ID)
		}
		seen[record.ID] = true
		for _, change := range record.Changes {
			if !reflect.DeepEqual(states[change.ID], change.Before) {
				complain("ticket %d overwrote a state of service %d that it had not seen", record.Number, change.ID)
			}
			states[change.ID] = change.After
		}
	}
	snapshot, err := s.Store.Range(ctx, ServicePrefix)
	if err != nil {
		return append(problems, err.Error())
	}
	found, err := DecodeServices(snapshot.Entries)
	if err != nil || len(found) != len(states) {
		complain("%d services in the store, %d in the records, error %v", len(found), len(states), err)
	}
	for _, state := range found {
		if !reflect.DeepEqual(state.Spec, states[state.ID]) {
			complain("service %d differs from the records", state.ID)
		}
	}
	return problems
}
