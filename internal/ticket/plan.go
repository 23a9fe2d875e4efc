package ticket

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/store"
)

// AddressQuarantine is the time for which the address of a removed service cannot
// be assigned again. Otherwise a process with an outdated configuration could send
// callers of the new service to the removed one.
const AddressQuarantine = time.Hour

// ConflictError reports that another ticket changed a service first. It wraps
// an error of kind errkind.Conflict.
type ConflictError struct {
	// Current are the stored states of the services that the ticket touches.
	Current []ServiceState
	err     *errkind.Error
}

// Error returns the message and the remedy.
func (e *ConflictError) Error() string { return e.err.Error() }

// Unwrap returns the underlying errkind.Error.
func (e *ConflictError) Unwrap() error { return e.err }

func conflict(current StoredState, message string, cause error) error {
	const remedy = "look at the current state, then submit a new ticket with a new ID and the revisions shown there as bases"
	return &ConflictError{Current: current.Services, err: errkind.Wrap(cause, errkind.Conflict, message, remedy)}
}

// Planned holds the transaction of a ticket and the audit record that the
// transaction writes.
type Planned struct {
	Txn    store.Txn
	Record Record
}

// planner builds a Planned.
type planner struct {
	current StoredState
	ticket  Ticket
	now     time.Time
	number  int64
	planned Planned
}

// Plan returns the transaction that applies the ticket if the store still holds
// current. It returns an error of kind Invalid if the ticket breaks a rule, and a
// ConflictError if a service changed since its base revision.
func Plan(current StoredState, t Ticket, now time.Time) (Planned, error) {
	p := &planner{current: current, ticket: t, now: now, number: current.LastNumber + 1}
	p.planned.Record = Record{
		Number: p.number, ID: t.ID, Submitter: t.Submitter, Time: now.UTC(),
		Outcome: OutcomeAccepted, Digest: t.Digest(),
	}
	for _, spec := range t.Services {
		if err := p.set(spec); err != nil {
			return Planned{}, err
		}
	}
	for _, name := range t.Removed {
		if err := p.remove(name); err != nil {
			return Planned{}, err
		}
	}
	p.compare(IDKey(t.ID), 0)
	p.compare(CounterKey, current.counterRevision)
	if err := p.finish(); err != nil {
		return Planned{}, err
	}
	return p.planned, nil
}

// set plans the creation or change of one service.
func (p *planner) set(spec service.Spec) error {
	state := p.current.service(spec.ID)
	if err := p.checkBase(spec.Name, state); err != nil {
		return err
	}
	if state == nil {
		return p.create(spec)
	}
	if state.Spec == nil {
		return invalid(fmt.Sprintf("ID %d belonged to the removed service %s", spec.ID, state.Name), "choose an ID that was never used: IDs are not reused")
	}
	if state.Name != spec.Name {
		return invalid(fmt.Sprintf("ID %d belongs to service %s, not %s", spec.ID, state.Name, spec.Name),
			"choose an unused ID, or keep the name: names and IDs never change")
	}
	if state.Spec.Address != spec.Address {
		return invalid(fmt.Sprintf("the address of service %s is %s and never changes", spec.Name, state.Spec.Address),
			"keep the address, or create a new service")
	}
	p.compare(ServiceKey(spec.ID), state.Revision)
	return p.writeService(state.Spec, &spec)
}

// create plans a service whose ID was never used.
func (p *planner) create(spec service.Spec) error {
	if owner := p.current.ownerOf(NameKey(spec.Name)); owner != nil {
		return invalid(fmt.Sprintf("the name %s belongs to the service with ID %d", spec.Name, owner.owner.ID),
			"keep that ID, or choose another name")
	}
	var addressRevision int64
	if owner := p.current.ownerOf(AddressKey(spec.Address)); owner != nil {
		if err := p.checkAddressFree(spec, owner.owner); err != nil {
			return err
		}
		addressRevision = owner.revision
	}
	p.compare(ServiceKey(spec.ID), 0)
	p.compare(NameKey(spec.Name), 0)
	p.compare(AddressKey(spec.Address), addressRevision)
	owner := Owner{ID: spec.ID}
	if err := p.put(NameKey(spec.Name), owner); err != nil {
		return err
	}
	if err := p.put(AddressKey(spec.Address), owner); err != nil {
		return err
	}
	return p.writeService(nil, &spec)
}

// checkAddressFree refuses an address that belongs to a service or is still in
// quarantine after the removal of its service.
func (p *planner) checkAddressFree(spec service.Spec, owner Owner) error {
	name := fmt.Sprintf("ID %d", owner.ID)
	if state := p.current.service(owner.ID); state != nil {
		name = state.Name
	}
	if owner.ReleasedAt.IsZero() {
		return invalid(fmt.Sprintf("the address %s belongs to service %s", spec.Address, name), "choose another address")
	}
	freeAt := owner.ReleasedAt.Add(AddressQuarantine)
	if p.now.Before(freeAt) {
		return invalid(fmt.Sprintf("the address %s belonged to the removed service %s until %s", spec.Address, name,
			owner.ReleasedAt.Format(time.RFC3339)), "choose another address, or wait until "+freeAt.Format(time.RFC3339))
	}
	return nil
}

// remove plans the removal of one service.
func (p *planner) remove(name string) error {
	state := p.current.serviceNamed(name)
	if err := p.checkBase(name, state); err != nil {
		return err
	}
	if state == nil || state.Spec == nil {
		return invalid("there is no service "+name+" to remove", "check the name")
	}
	p.compare(ServiceKey(state.ID), state.Revision)
	p.planned.Txn.Deletes = append(p.planned.Txn.Deletes, NameKey(name))
	if err := p.put(AddressKey(state.Spec.Address), Owner{ID: state.ID, ReleasedAt: p.now.UTC()}); err != nil {
		return err
	}
	return p.writeService(state.Spec, nil)
}

// checkBase returns a ConflictError if the ticket has a base for the service and
// the stored revision differs from that base.
func (p *planner) checkBase(name string, state *ServiceState) error {
	base, given := p.ticket.base(name)
	var revision int64
	if state != nil {
		revision = state.Revision
	}
	if !given || base == revision {
		return nil
	}
	current := p.current
	if state == nil {
		current.Services = append(slices.Clone(current.Services), ServiceState{Name: name})
	}
	return conflict(current, fmt.Sprintf("service %s is at revision %d, but the ticket is based on revision %d", name, revision, base), nil)
}

// writeService adds the new ServiceRecord to the transaction and the change to
// the audit record.
func (p *planner) writeService(before, after *service.Spec) error {
	identity := after
	if identity == nil {
		identity = before
	}
	p.planned.Record.Changes = append(p.planned.Record.Changes, Change{
		Service: identity.Name, ID: identity.ID, Before: before, After: after,
	})
	return p.put(ServiceKey(identity.ID), ServiceRecord{
		Ticket: p.number, ID: identity.ID, Name: identity.Name, Spec: after,
	})
}

// finish adds the keys of the ticket itself and checks the sizes of the values.
func (p *planner) finish() error {
	record, err := encode(p.planned.Record)
	if err != nil {
		return err
	}
	if len(record) > MaxRecordBytes {
		return tooLarge(len(record), MaxRecordBytes)
	}
	p.planned.Txn.Puts = append(p.planned.Txn.Puts, store.Put{Key: NumberKey(p.number), Value: record})
	if err := p.put(IDKey(p.ticket.ID), Reference{Number: p.number, Digest: p.planned.Record.Digest}); err != nil {
		return err
	}
	if err := p.put(CounterKey, p.number); err != nil {
		return err
	}
	total := 0
	for _, put := range p.planned.Txn.Puts {
		total += len(put.Value)
	}
	if total > MaxTxnBytes {
		return tooLarge(total, MaxTxnBytes)
	}
	return nil
}

func tooLarge(size, limit int) error {
	return invalid(fmt.Sprintf("the ticket takes %d bytes in the store, and at most %d are allowed", size, limit),
		"split it into tickets of fewer services")
}

func (p *planner) compare(key string, revision int64) {
	p.planned.Txn.Compares = append(p.planned.Txn.Compares, store.Compare{Key: key, ModRevision: revision})
}

func (p *planner) put(key string, value any) error {
	encoded, err := encode(value)
	if err != nil {
		return err
	}
	p.planned.Txn.Puts = append(p.planned.Txn.Puts, store.Put{Key: key, Value: encoded})
	return nil
}

func encode(value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "the ticket cannot be encoded", "correct its fields")
	}
	return encoded, nil
}
