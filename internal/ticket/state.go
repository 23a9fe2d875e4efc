package ticket

import (
	"strings"

	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/store"
)

// ServiceState is a service as the store has it.
type ServiceState struct {
	ID   service.ID `json:"id"`
	Name string     `json:"name"`
	// Spec is nil when the service was removed.
	Spec *service.Spec `json:"spec,omitempty"`
	// Revision is the store revision that wrote the state. Tickets use it as
	// base, and a state never replaces one of a higher revision.
	Revision int64 `json:"revision"`
	// Ticket is the number of the ticket that wrote the state.
	Ticket int64 `json:"ticket"`
}

// ownership is a name or address key as the store has it.
type ownership struct {
	key      string
	owner    Owner
	revision int64
}

// StoredState is what the store holds of everything that a ticket touches.
type StoredState struct {
	// Services are the services that the ticket touches or collides with.
	Services []ServiceState
	// LastNumber is the number of the last ticket.
	LastNumber int64
	// counterRevision is the revision of the counter.
	counterRevision int64
	owners          []ownership
	submitted       *Reference
	// submittedRevision is the revision of the ticket that has this ID.
	submittedRevision int64
}

// service returns the state of a service ID, or nil if it was never used.
func (c StoredState) service(id service.ID) *ServiceState {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i]
		}
	}
	return nil
}

// ownerOf returns the owner under key, or nil.
func (c StoredState) ownerOf(key string) *ownership {
	for i := range c.owners {
		if c.owners[i].key == key {
			return &c.owners[i]
		}
	}
	return nil
}

// named returns the state of the service that owns name, or nil.
func (c StoredState) named(name string) *ServiceState {
	owner := c.ownerOf(NameKey(name))
	if owner == nil {
		return nil
	}
	return c.service(owner.owner.ID)
}

// keysOf returns the keys to read first for a ticket.
func keysOf(t Ticket) []string {
	keys := []string{IDKey(t.ID), CounterKey}
	for _, spec := range t.Services {
		keys = append(keys, ServiceKey(spec.ID), NameKey(spec.Name), AddressKey(spec.Address))
	}
	for _, name := range t.Removed {
		keys = append(keys, NameKey(name))
	}
	return keys
}

// missingOwners returns the keys of services that own a name or an address of
// the ticket and are not read yet.
func (c StoredState) missingOwners() []string {
	var keys []string
	asked := make(map[service.ID]bool)
	for _, o := range c.owners {
		if !asked[o.owner.ID] && c.service(o.owner.ID) == nil {
			asked[o.owner.ID] = true
			keys = append(keys, ServiceKey(o.owner.ID))
		}
	}
	return keys
}

// add takes in the entries of one read for ticket t.
func (c *StoredState) add(t Ticket, entries []store.Entry) error {
	for _, entry := range entries {
		if err := c.addEntry(t, entry); err != nil {
			return err
		}
	}
	return nil
}

func (c *StoredState) addEntry(t Ticket, entry store.Entry) error {
	switch {
	case entry.Key == CounterKey:
		c.counterRevision = entry.ModRevision
		return unmarshal(entry, &c.LastNumber)
	case entry.Key == IDKey(t.ID):
		c.submittedRevision = entry.CreateRevision
		c.submitted = new(Reference)
		return unmarshal(entry, c.submitted)
	case strings.HasPrefix(entry.Key, ServicePrefix):
		state, err := decodeState(entry)
		if err != nil {
			return err
		}
		c.Services = append(c.Services, state)
	default:
		o := ownership{key: entry.Key, revision: entry.ModRevision}
		if err := unmarshal(entry, &o.owner); err != nil {
			return err
		}
		c.owners = append(c.owners, o)
	}
	return nil
}

// decodeState reads a service as the store has it.
func decodeState(entry store.Entry) (ServiceState, error) {
	var record ServiceRecord
	if err := unmarshal(entry, &record); err != nil {
		return ServiceState{}, err
	}
	return ServiceState{
		ID: record.ID, Name: record.Name, Spec: record.Spec,
		Revision: entry.ModRevision, Ticket: record.Ticket,
	}, nil
}
