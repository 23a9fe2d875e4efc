// Package ticket turns change tickets into transactions on the platform's store.
//
// A ticket carries the whole new state of every service that it touches. One
// transaction compares the revision of each of these services, the keys that
// own names and addresses, the key of the ticket's own ID and the counter of
// tickets, and writes the new states together with the audit record. So a
// ticket is in force as a whole or absent, and of two tickets against the same
// service one loses.
//
// # Keys
//
// Every service has one key under ServicePrefix, named by its ID, so a watcher
// reads and watches one prefix. 15,000 services are 15,000 keys. A service
// takes at most MaxSpecBytes, and usually below 1 KB, so a value stays far below
// the platform's 1 MB and all services are some 15 MB, read in pages. A removed
// service keeps its key with a record that says so: its ID is never used again,
// and a watcher needs no deletion events. IDs have 16 bits, which bounds the
// services created in the lifetime of a deployment to 65,535.
//
// A ticket touches at most MaxServices services: each takes up to three
// comparisons and three writes, which with those of the ticket itself stays
// under the 128 operations that the store takes in one transaction. The sizes
// of all values together stay under MaxTxnBytes. Larger tickets are refused.
//
// # Unknown outcomes
//
// A write without an answer may have taken effect, may still do so, or never
// will. The transaction requires that the ticket's ID is unused and that the
// counter has not moved. So it takes effect at most once however often it is
// sent, and once another ticket has moved the counter, a copy still on its way
// can no longer take effect. Submitter reads the ticket's ID back until it
// finds it, or sends it again; when neither settles the outcome in time it
// reports errkind.Unknown and claims nothing.
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
	// MaxSpecBytes bounds the encoded state of one service.
	MaxSpecBytes = 16 << 10
	// MaxTxnBytes bounds the values that one ticket writes.
	MaxTxnBytes = 1 << 20
	// MaxRecordBytes bounds the audit record of one ticket.
	MaxRecordBytes = 512 << 10

	maxSubmitterLength = 128
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)

// Ticket is a change ticket as an operator submits it.
type Ticket struct {
	// ID is chosen by the operator and makes the ticket idempotent: a ticket
	// that is submitted again is recognised by it.
	ID string `json:"id"`
	// Submitter names who is responsible for the change.
	Submitter string `json:"submitter"`
	// Services are the whole new states of services to create or change.
	Services []service.Spec `json:"services,omitempty"`
	// Removed are the names of services to remove.
	Removed []string `json:"removed,omitempty"`
	// Bases are the revisions that the operator started from. A service that is
	// left out takes the revision that the first read of its submission finds.
	Bases []Base `json:"bases,omitempty"`
}

// Base is the store revision of a service that a ticket was written against.
// Revision zero means that the service did not exist.
type Base struct {
	Service  string `json:"service"`
	Revision int64  `json:"revision"`
}

// base returns the revision that the ticket was written against.
func (t Ticket) base(name string) (revision int64, given bool) {
	for _, b := range t.Bases {
		if b.Service == name {
			return b.Revision, true
		}
	}
	return 0, false
}

// Digest identifies the new state that the ticket asks for, whoever submits it
// and against which bases.
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

// Validate checks what can be checked without the store. If dataCentres is not
// empty, services may only name data centres of that list.
func (t Ticket) Validate(dataCentres []string) error {
	if !idPattern.MatchString(t.ID) {
		return invalid(fmt.Sprintf("the ticket ID %q is not usable", t.ID),
			"use 1 to 127 letters, digits, dots, hyphens and underscores")
	}
	if t.Submitter == "" || len(t.Submitter) > maxSubmitterLength {
		return invalid("the ticket does not name its submitter", fmt.Sprintf("set submitter to 1 to %d bytes", maxSubmitterLength))
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
	return t.validateTogether()
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
		return invalid(fmt.Sprintf("service %s takes %d bytes", spec.Name, len(encoded)),
			fmt.Sprintf("keep it under %d bytes: write networks in place of single addresses", MaxSpecBytes))
	}
	return nil
}

// validateTogether refuses tickets that mention something twice.
func (t Ticket) validateTogether() error {
	seen := make(map[string]bool)
	once := func(what string) error {
		if seen[what] {
			return invalid("the ticket mentions "+what+" twice", "give each service its own name, ID and address, once")
		}
		seen[what] = true
		return nil
	}
	var marks []string
	for _, spec := range t.Services {
		marks = append(marks, "service "+spec.Name, fmt.Sprintf("ID %d", spec.ID), "address "+spec.Address.String())
	}
	for _, name := range t.Removed {
		marks = append(marks, "service "+name)
	}
	for _, base := range t.Bases {
		marks = append(marks, "base "+base.Service)
	}
	for _, mark := range marks {
		if err := once(mark); err != nil {
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
