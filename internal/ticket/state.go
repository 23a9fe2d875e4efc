package ticket

import (
	"strings"

	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/store"
)

// ServiceState is the stored state of a service.
type ServiceState struct {
	ID   service.ID `json:"id"`
	Name string     `json:"name"`
	// Spec is nil if the service was removed.
	Spec *service.Spec `json:"spec,omitempty"`
	// Revision is the store revision that wrote the state. Tickets refer to it as
	// their base, and a process never replaces a state by one of a lower revision.
	Revision int64 `json:"revision"`
	// Ticket is the number of the ticket that wrote the state.
	Ticket int64 `json:"ticket"`
}

// ownerEntry is the stored value of a name or address key.
type ownerEntry struct {
	key      string
	owner    Owner
	revision int64
}

// StoredState is the part of the store's content that is needed to plan one
// ticket.
type StoredState struct {
	// Services are the services that the ticket touches and the services that own
	// a name or an address in the ticket.
	Services []ServiceState
	// LastNumber is the number of the last ticket.
	LastNumber int64
	// counterRevision is the modification revision of CounterKey.
	counterRevision int64
	owners          []ownerEntry
	// accepted refers to the accepted ticket with the same ID, or is nil.
	accepted *Reference
	// acceptedRevision is the store revision of that ticket.
	acceptedRevision int64
}

// service returns the state of the service with this ID, or nil if the ID was
// never used.
func (c StoredState) service(id service.ID) *ServiceState {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i]
		}
	}
	return nil
}

// ownerOf returns the entry of a name or address key, or nil if there is none.
func (c StoredState) ownerOf(key string) *ownerEntry {
	for i := range c.owners {
		if c.owners[i].key == key {
			return &c.owners[i]
		}
	}
	return nil
}

// serviceNamed returns the state of the service that owns name, or nil if there
// is none.
func (c StoredState) serviceNamed(name string) *ServiceState {
	owner := c.ownerOf(NameKey(name))
	if owner == nil {
		return nil
	}
	return c.service(owner.owner.ID)
}

// initialKeys returns the keys that the first read for a ticket covers.
func initialKeys(t Ticket) []string {
	keys := []string{IDKey(t.ID), CounterKey}
	for _, spec := range t.Services {
		keys = append(keys, ServiceKey(spec.ID), NameKey(spec.Name), AddressKey(spec.Address))
	}
	for _, name := range t.Removed {
		keys = append(keys, NameKey(name))
	}
	return keys
}

// missingOwnerKeys returns the keys of services that own a name or address of
// the ticket and have not been read yet.
func (c StoredState) missingOwnerKeys() []string {
	var keys []string
	seen := make(map[service.ID]bool)
	for _, o := range c.owners {
		if !seen[o.owner.ID] && c.service(o.owner.ID) == nil {
			seen[o.owner.ID] = true
			keys = append(keys, ServiceKey(o.owner.ID))
		}
	}
	return keys
}

// add decodes the entries of one read for ticket t into c.
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
		c.acceptedRevision = entry.CreateRevision
		c.accepted = new(Reference)
		return unmarshal(entry, c.accepted)
	case strings.HasPrefix(entry.Key, ServicePrefix):
		state, err := decodeState(entry)
		if err != nil {
			return err
		}
		c.Services = append(c.Services, state)
	default:
		o := ownerEntry{key: entry.Key, revision: entry.ModRevision}
		if err := unmarshal(entry, &o.owner); err != nil {
			return err
		}
		c.owners = append(c.owners, o)
	}
	return nil
}

// decodeState decodes the entry of a service key.
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
