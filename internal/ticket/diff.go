package ticket

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/almondledge/almondledge/internal/service"
)

// Difference is a field of a service that a ticket changes.
type Difference struct {
	Service string `json:"service"`
	// Field is the JSON path of the field, such as limits.slots.
	Field string `json:"field"`
	// Before and After are JSON values; empty means that the field is not set.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Preview is the result of a dry run.
type Preview struct {
	// Differences are sorted by service and field.
	Differences []Difference `json:"differences"`
	// Bases are the current revisions of the services that the ticket touches.
	Bases []Base `json:"bases"`
}

// DryRun checks a ticket against the store and returns the changes that it
// would make. It writes nothing.
func (s *Submitter) DryRun(ctx context.Context, t Ticket) (Preview, error) {
	if err := t.Validate(s.DataCentres); err != nil {
		return Preview{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	run := &submission{Submitter: s, ticket: t, digest: t.Digest(), unansweredCounter: noUnanswered}
	current, err := s.read(ctx, t)
	if err != nil {
		return Preview{}, err
	}
	if current.accepted != nil {
		_, err := run.acceptedOutcome(current)
		return Preview{}, err
	}
	run.fillBases(current)
	planned, err := Plan(current, run.ticket, s.now())
	if err != nil {
		return Preview{}, err
	}
	return Preview{Differences: Diff(planned.Record.Changes), Bases: run.ticket.Bases}, nil
}

// Diff lists the fields that differ between the states before and after each change.
func Diff(changes []Change) []Difference {
	var differences []Difference
	for _, change := range changes {
		differences = append(differences, diffService(change)...)
	}
	slices.SortStableFunc(differences, func(a, b Difference) int {
		if order := strings.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return strings.Compare(a.Field, b.Field)
	})
	return differences
}

func diffService(change Change) []Difference {
	before := fieldValues(change.Before)
	after := fieldValues(change.After)
	var differences []Difference
	for field, value := range before {
		if after[field] != value {
			differences = append(differences, Difference{Service: change.Service, Field: field, Before: value, After: after[field]})
		}
	}
	for field, value := range after {
		if _, both := before[field]; !both {
			differences = append(differences, Difference{Service: change.Service, Field: field, After: value})
		}
	}
	return differences
}

// fieldValues maps the path of each field of a spec to its JSON value.
func fieldValues(spec *service.Spec) map[string]string {
	fields := make(map[string]string)
	if spec == nil {
		return fields
	}
	encoded, err := json.Marshal(spec)
	if err == nil {
		flatten("", encoded, fields)
	}
	return fields
}

// flatten adds the fields of a JSON value to fields, with path as prefix.
func flatten(path string, value json.RawMessage, fields map[string]string) {
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) != nil {
		fields[path] = string(value)
		return
	}
	for name, member := range object {
		flatten(strings.TrimPrefix(path+"."+name, "."), member, fields)
	}
}
