package ticket

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// testTime is the time at which tests plan tickets.
var testTime = time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)

// stateWith returns a stored state with the given services.
func stateWith(specs ...service.Spec) StoredState {
	current := StoredState{LastNumber: 9, counterRevision: 30}
	for i, spec := range specs {
		revision := int64(10 + i)
		current.Services = append(current.Services, ServiceState{ID: spec.ID, Name: spec.Name, Spec: &spec, Revision: revision})
		current.owners = append(current.owners,
			ownerEntry{key: NameKey(spec.Name), owner: Owner{ID: spec.ID}, revision: revision},
			ownerEntry{key: AddressKey(spec.Address), owner: Owner{ID: spec.ID}, revision: revision})
	}
	return current
}

// stateWithRemoved returns a stored state in which spec was removed at the given time.
func stateWithRemoved(spec service.Spec, at time.Time) StoredState {
	current := stateWith(spec)
	current.Services[0].Spec = nil
	current.owners = current.owners[1:]
	current.owners[0].owner.ReleasedAt = at
	return current
}

func TestPlanRefuses(t *testing.T) {
	renamed, moved, addressTaken := specOf(1, 5), specOf(1, 5), specOf(3, 5)
	renamed.Name = "other"
	moved.Address = specOf(7, 5).Address
	addressTaken.Address = specOf(1, 5).Address
	nameTaken := specOf(3, 5)
	nameTaken.Name = specOf(1, 5).Name
	successor := specOf(4, 5)
	successor.Address = specOf(1, 5).Address
	stale := ticketOf("t", specOf(1, 6))
	stale.Bases = []Base{{Service: "service-1", Revision: 9}}
	cases := []struct {
		name     string
		current  StoredState
		ticket   Ticket
		kind     errkind.Kind
		wantText string
	}{
		{"ID of another service", stateWith(specOf(1, 5)), ticketOf("t", renamed), errkind.Invalid, "belongs to service service-1"},
		{"address changed", stateWith(specOf(1, 5)), ticketOf("t", moved), errkind.Invalid, "never changes"},
		{"address of another service", stateWith(specOf(1, 5)), ticketOf("t", addressTaken), errkind.Invalid, "belongs to service service-1"},
		{"name of another service", stateWith(specOf(1, 5)), ticketOf("t", nameTaken), errkind.Invalid, "belongs to the service with ID 1"},
		{"ID of a removed service", stateWithRemoved(specOf(1, 5), testTime.Add(-time.Hour)), ticketOf("t", specOf(1, 5)), errkind.Invalid, "never used"},
		{"address in quarantine", stateWithRemoved(specOf(1, 5), testTime.Add(-59*time.Minute)), ticketOf("t", successor), errkind.Invalid, "wait until"},
		{"address out of quarantine", stateWithRemoved(specOf(1, 5), testTime.Add(-time.Hour)), ticketOf("t", successor), "", ""},
		{"nothing to remove", stateWith(), Ticket{ID: "t", Removed: []string{"service-1"}}, errkind.Invalid, "no service service-1"},
		{"old base", stateWith(specOf(1, 5)), stale, errkind.Conflict, "at revision 10"},
		{"base of a removed service", stateWith(), stale, errkind.Conflict, "at revision 0"},
		{"present base", stateWith(specOf(1, 5)), ticketOf("t", specOf(1, 6)), "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Plan(c.current, c.ticket, testTime)
			is.Equal(errkind.Of(err), c.kind)
			is.True(err == nil || strings.Contains(err.Error(), c.wantText))
		})
	}
}

// TestPlanComparesEveryKeyRead checks that a transaction compares the revision of
// every key that was read for it. Otherwise it could overwrite a concurrent change.
func TestPlanComparesEveryKeyRead(t *testing.T) {
	is := is.New(t)
	change := ticketOf("t", specOf(1, 6), specOf(3, 5))
	change.Removed = []string{"service-2"}
	planned, err := Plan(stateWith(specOf(1, 5), specOf(2, 5)), change, testTime)
	is.NoErr(err)
	want := []store.Compare{
		{Key: IDKey("t")}, {Key: CounterKey, ModRevision: 30},
		{Key: ServiceKey(1), ModRevision: 10}, {Key: ServiceKey(2), ModRevision: 11},
		{Key: ServiceKey(3)}, {Key: NameKey("service-3")}, {Key: AddressKey(specOf(3, 5).Address)},
	}
	is.Equal(len(planned.Txn.Compares), len(want))
	for _, compare := range want {
		is.True(slices.Contains(planned.Txn.Compares, compare)) // every key that was read is compared
	}
	is.Equal(planned.Txn.Deletes, []string{NameKey("service-2")})
	is.Equal(planned.Record.Number, int64(10))
	differences := Diff(planned.Record.Changes)
	is.True(slices.Contains(differences, Difference{Service: "service-1", Field: "limits.slots", Before: "5", After: "6"}))
	is.True(slices.Contains(differences, Difference{Service: "service-2", Field: "id", Before: "2"}))
	is.True(slices.Contains(differences, Difference{Service: "service-3", Field: "id", After: "3"}))
}

// TestLargestTicket checks that the largest allowed ticket fits into one
// transaction of the store, and that larger tickets are refused.
func TestLargestTicket(t *testing.T) {
	is := is.New(t)
	var specs []service.Spec
	for id := range MaxServices + 1 {
		specs = append(specs, specOf(service.ID(id+1), 5))
	}
	is.Equal(errkind.Of(ticketOf("t", specs...).Validate(nil)), errkind.Invalid)
	largest := ticketOf("t", specs[:MaxServices]...)
	is.NoErr(largest.Validate(nil))
	is.True(len(initialKeys(largest)) <= etcdapi.MaxTxnOps)
	planned, err := Plan(stateWith(), largest, testTime)
	is.NoErr(err)
	is.True(len(planned.Txn.Compares) <= etcdapi.MaxTxnOps)
	is.True(len(planned.Txn.Puts)+len(planned.Txn.Deletes) <= etcdapi.MaxTxnOps)

	for i := range largest.Services {
		for host := range 400 {
			largest.Services[i].HostNames = append(largest.Services[i].HostNames, fmt.Sprintf("host-%024d.example", host))
		}
	}
	is.NoErr(largest.Validate(nil))
	_, err = Plan(stateWith(), largest, testTime)
	is.Equal(errkind.Of(err), errkind.Invalid)
}

func TestValidate(t *testing.T) {
	oversized, elsewhere := specOf(1, 5), specOf(1, 5)
	oversized.HostNames = []string{strings.Repeat("a", MaxSpecBytes)}
	elsewhere.DataCentres = []string{"bodrum", "izmir"}
	sameAddress := specOf(2, 5)
	sameAddress.Address = specOf(1, 5).Address
	cases := []struct {
		wantText string
		ticket   Ticket
	}{
		{"ticket ID", ticketOf("bad id", specOf(1, 5))},
		{"submitter", Ticket{ID: "t", Services: []service.Spec{specOf(1, 5)}}},
		{"changes nothing", ticketOf("t")},
		{"limits.slots", ticketOf("t", specOf(1, 0))},
		{"takes", ticketOf("t", oversized)},
		{"data centre \"izmir\"", ticketOf("t", elsewhere)},
		{"address 127.0.10.1:443 twice", ticketOf("t", specOf(1, 5), sameAddress)},
		{"service service-1 twice", Ticket{ID: "t", Submitter: "a", Services: []service.Spec{specOf(1, 5)}, Removed: []string{"service-1"}}},
		{"does not touch", Ticket{ID: "t", Submitter: "a", Removed: []string{"a"}, Bases: []Base{{Service: "b"}}}},
	}
	for _, c := range cases {
		t.Run(c.wantText, func(t *testing.T) {
			is := is.New(t)
			err := c.ticket.Validate([]string{"bodrum"})
			is.Equal(errkind.Of(err), errkind.Invalid)
			is.True(strings.Contains(err.Error(), c.wantText))
		})
	}
}

// TestDecodeSkipsDamagedEntries checks that damaged entries are reported and
// skipped, and that the other entries are decoded.
func TestDecodeSkipsDamagedEntries(t *testing.T) {
	is := is.New(t)
	planned, err := Plan(stateWith(), ticketOf("t", specOf(1, 5), specOf(2, 5)), testTime)
	is.NoErr(err)
	var events []store.Event
	for _, put := range planned.Txn.Puts {
		if strings.HasPrefix(put.Key, ServicePrefix) {
			events = append(events, store.Event{Entry: store.Entry{Key: put.Key, Value: put.Value, ModRevision: 7}})
		}
	}
	misplaced := events[1]
	misplaced.Entry.Key = ServiceKey(3)
	events = append(events, misplaced,
		store.Event{Entry: store.Entry{Key: ServiceKey(4), Value: []byte("{")}},
		store.Event{Entry: store.Entry{Key: ServiceKey(1)}, Deleted: true})
	states, err := DecodeEvents(events)
	is.Equal(len(states), 2)
	is.Equal(states[0].Revision, int64(7))
	for _, mention := range []string{"belongs to another service", "is damaged", "was deleted"} {
		is.True(strings.Contains(err.Error(), mention))
	}
}
