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

// settleTime is longer than the delay of any late write in the tests.
const settleTime = 5 * time.Minute

// newSubmitter returns a submitter that calls p without sockets.
func newSubmitter(p *platform.Platform) *Submitter {
	client, err := etcd.New(etcd.Config{
		Endpoints: []string{"http://platform"}, Transport: platform.Transport{Platform: p}, Burst: 1000,
	})
	if err != nil {
		panic(err)
	}
	return &Submitter{Store: client}
}

// specOf returns the spec of service id with the given number of slots.
func specOf(id service.ID, slots int) service.Spec {
	return service.Spec{
		Name: fmt.Sprintf("service-%d", id), ID: id,
		Address:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 10, byte(id)}), 443),
		BackendServers: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Limits:         service.Limits{Connections: 2000, Slots: slots, DeadlineMillis: 5000},
	}
}

// ticketOf returns a ticket that creates or changes services.
func ticketOf(id string, specs ...service.Spec) Ticket {
	return Ticket{ID: id, Submitter: "ayse", Services: specs}
}

// faultBurst injects a fault into count consecutive calls, starting at call
// first.
type faultBurst struct {
	fault platform.Fault
	first int
	count int
}

// forever is the count of an endless burst.
const forever = 1 << 20

// faultScript applies bursts to calls, which it counts from 1. If several bursts
// cover a call, the last one applies.
type faultScript struct {
	mu     sync.Mutex
	calls  int
	bursts []faultBurst
}

func (s *faultScript) decide(string) platform.Fault {
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

// checkStore returns the problems of the stored state. Audit records must be
// numbered without gaps, each ticket ID must occur once, the state before each
// change must be the state after the previous change of that service, and the
// stored services must equal the result of all records.
func checkStore(s *Submitter) []string {
	ctx := context.Background()
	var problems []string
	addProblem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
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
			addProblem("record %d has the number %d", i+1, record.Number)
		}
		if seen[record.ID] {
			addProblem("ticket %s was accepted twice", record.ID)
		}
		seen[record.ID] = true
		for _, change := range record.Changes {
			if !reflect.DeepEqual(states[change.ID], change.Before) {
				addProblem("ticket %d overwrote a state of service %d that it had not read", record.Number, change.ID)
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
		addProblem("%d services in the store, %d in the records, error %v", len(found), len(states), err)
	}
	for _, state := range found {
		if !reflect.DeepEqual(state.Spec, states[state.ID]) {
			addProblem("service %d differs from the records", state.ID)
		}
	}
	return problems
}
