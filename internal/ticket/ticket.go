// Package ticket turns change tickets into transactions on the platform's store.
//
// A ticket carries the complete new state of every service that it touches. One
// transaction compares the revisions of these services, of the keys that own
// names and addresses, of the ticket's own ID and of the ticket counter, and
// writes the new states together with the audit record. So a ticket is applied
// as a whole or not at all, and of two concurrent tickets for the same service
// only one is accepted.
//
// # Keys
//
// Every service has one key under ServicePrefix, named by its ID, so a watcher
// reads and watches a single prefix. A value has at most MaxSpecBytes, usually
// less than 1 KB, which is far below the platform's limit of 1 MB; 15,000
// services are some 15 MB, read in pages. A removed service keeps its key, with a
// record without a spec: its ID is never used again, and watchers need no
// deletion events. IDs have 16 bits, which limits the services created in the
// lifetime of a deployment to 65,535.
//
// A ticket touches at most MaxServices services. Each service takes up to three
// comparisons and three writes. Together with the comparisons and writes of the
// ticket itself, they stay below the 128 operations that the store accepts in one
// transaction. All values together have at most MaxTxnBytes. Larger tickets are
// refused.
//
// # Unknown outcomes
//
// A write without an answer may have been applied, may still be applied later, or
// may be lost. The transaction requires that the ticket's ID is unused and that
// the counter is unchanged. So the transaction is applied at most once, however
// often it is sent, and after another ticket has changed the counter, a delayed
// copy has no effect. Submitter reads the ticket's ID and sends the transaction again until
// the outcome is certain. If its time runs out first, it returns an error of kind
// errkind.Unknown.
package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// Bounds of a ticket.
const (
	// MaxServices is the number of services that one ticket may touch.
	MaxServices = 40
	// MaxSpecBytes bounds the JSON encoding of one service.
	MaxSpecBytes = 16 << 10
	// MaxTxnBytes bounds the sum of the values that one ticket writes.
	MaxTxnBytes = 1 << 20
	// MaxRecordBytes bounds the audit record of one ticket.
	MaxRecordBytes = 512 << 10

	maxSubmitterLength = 128
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)

// Ticket is a change ticket as an operator submits it.
type Ticket struct {
	// ID is chosen by the operator and makes submission idempotent: a ticket that
	// is submitted again is recognised by its ID.
	ID string `json:"id"`
	// Submitter names the person who is responsible for the change.
	Submitter string `json:"submitter"`
	// Services are the complete new states of services to create or change.
	Services []service.Spec `json:"services,omitempty"`
	// Removed are the names of services to remove.
	Removed []string `json:"removed,omitempty"`
	// Bases are the revisions of the services from which the operator started. A
	// service without a base gets the revision that the first read of the
	// submission finds.
	Bases []Base `json:"bases,omitempty"`
}

// Base is the expected store revision of a service that a ticket changes.
// Revision zero means that the service must not exist.
type Base struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
}

// base returns the base revision of a service, if the ticket has one.
func (t Ticket) base(name string) (revision int64, given bool) {
	for _, b := range t.Bases {
		if b.Service == name {
			return b.Revision, true
		}
	}
	return 0, false
}

// Digest returns a hash of the requested changes. It covers neither the ID nor
// the submitter nor the bases.
func (t Ticket) Digest() string {
	content := Ticket{Services: slices.Clone(t.Services), Removed: slices.Clone(t.Removed)}
	slices.SortFunc(content.Services, func(a, b service.Spec) int { return int(a.ID) - int(b.ID) })
	slices.Sort(content.Removed)
	encoded, err := json.Marshal(content)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// Validate checks the rules that need no access to the store. If dataCentres is
// not empty, specs may only name data centres of that list.
func (t Ticket) Validate(dataCentres []string) error {
	if !idPattern.MatchString(t.ID) {
		return invalid(fmt.Sprintf("the ticket ID %q is not valid", t.ID),
			"use 1 to 127 letters, digits, dots, hyphens and underscores")
	}
	if t.Submitter == "" || len(t.Submitter) > maxSubmitterLength {
		return invalid("the submitter of the ticket is empty or too long", fmt.Sprintf("set submitter to 1 to %d bytes", maxSubmitterLength))
	}
	touched := len(t.Services) + len(t.Removed)
	if touched == 0 {
		return invalid("the ticket changes nothing", "list services or removed")
	}
	if touched > MaxServices {
		return invalid(fmt.Sprintf("the ticket touches %d services", touched),
			fmt.Sprintf("split it into tickets of at most %d services", MaxServices))
	}
	for _, spec := range t.Services {
		if err := validateSpec(spec, dataCentres); err != nil {
			return err
		}
	}
	return t.validateLists()
}

func validateSpec(spec service.Spec, dataCentres []string) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	for _, name := range spec.DataCentres {
		if len(dataCentres) > 0 && !slices.Contains(dataCentres, name) {
			return invalid(fmt.Sprintf("service %s names the unknown data centre %q", spec.Name, name),
				fmt.Sprintf("use one of %v", dataCentres))
		}
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "service "+spec.Name+" cannot be encoded", "correct its fields")
	}
	if len(encoded) > MaxSpecBytes {
		return invalid(fmt.Sprintf("service %s takes %d bytes in the store", spec.Name, len(encoded)),
			fmt.Sprintf("reduce it to at most %d bytes, for example by listing networks instead of single addresses", MaxSpecBytes))
	}
	return nil
}

// validateLists refuses tickets that list a service, an ID, an address or a base
// twice, or that have a base for a service that they do not touch.
func (t Ticket) validateLists() error {
	seen := make(map[string]bool)
	addOnce := func(entry string) error {
		if seen[entry] {
			return invalid("the ticket mentions "+entry+" twice", "list each service once, with its own name, ID and address")
		}
		seen[entry] = true
		return nil
	}
	var items []string
	for _, spec := range t.Services {
		items = append(items, "service "+spec.Name, fmt.Sprintf("ID %d", spec.ID), "address "+spec.Address.String())
	}
	for _, name := range t.Removed {
		items = append(items, "service "+name)
	}
	for _, base := range t.Bases {
		items = append(items, "base "+base.Service)
	}
	for _, item := range items {
		if err := addOnce(item); err != nil {
			return err
		}
	}
	for _, base := range t.Bases {
		if !seen["service "+base.Service] {
			return invalid("the ticket has a base for "+base.Service+", which it does not touch", "remove the base")
		}
	}
	return nil
}

func invalid(message, remedy string) error {
	return errkind.New(errkind.Invalid, message, remedy)
}
