package ticket

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/store"
)

// OutcomeAccepted is the Record.Outcome of a ticket that took effect. Refused
// tickets get no number and no record.
const OutcomeAccepted = "accepted"

// ServiceRecord is the value under ServiceKey.
type ServiceRecord struct {
	// Ticket is the number of the ticket that wrote the record.
	Ticket int64 `json:"ticket"`
	// ID and Name identify the service, also after its removal.
	ID   service.ID `json:"id"`
	Name string     `json:"name"`
	// Spec is the state of the service, or nil after its removal.
	Spec *service.Spec `json:"spec,omitempty"`
}

// Owner is the value under NameKey and AddressKey.
type Owner struct {
	ID service.ID `json:"id"`
	// ReleasedAt is the time at which the service was removed, or zero while the
	// service exists.
	ReleasedAt time.Time `json:"releasedAt,omitzero"`
}

// Reference is the value under IDKey.
type Reference struct {
	Number int64 `json:"number"`
	// Digest is the Digest of the ticket.
	Digest string `json:"digest"`
}

// Record is the audit record of a ticket, the value under NumberKey.
type Record struct {
	Number    int64     `json:"number"`
	ID        string    `json:"id"`
	Submitter string    `json:"submitter"`
	Time      time.Time `json:"time"`
	Outcome   string    `json:"outcome"`
	Digest    string    `json:"digest"`
	Changes   []Change  `json:"changes"`
	// Revision is the store revision of the ticket's transaction. It is set after
	// reading and is not part of the stored value.
	Revision int64 `json:"revision,omitempty"`
}

// Change is the change of one service by a ticket.
type Change struct {
	Service string     `json:"service"`
	ID      service.ID `json:"id"`
	// Before is nil if the ticket created the service. After is nil if the ticket
	// removed the service.
	Before *service.Spec `json:"before,omitempty"`
	After  *service.Spec `json:"after,omitempty"`
}

// unmarshal decodes the JSON value of an entry.
func unmarshal(entry store.Entry, target any) error {
	if err := json.Unmarshal(entry.Value, target); err != nil {
		return errkind.Wrap(err, errkind.Invalid, fmt.Sprintf("the value of key %s is damaged", entry.Key),
			"find out which other program writes under "+Root)
	}
	return nil
}
