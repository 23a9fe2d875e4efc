package ticket

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/almondledge/almondledge/internal/service"
)

// Difference is one field that a ticket changes.
type Difference struct {
	Service string `json:"service"`
	// Field is the path of the field, such as limits.slots.
	Field string `json:"field"`
	// Before and After are JSON values; empty means that the field is not set.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Preview is what a ticket would do.
type Preview struct {
	// Differences are sorted by service and field.
	Differences []Difference `json:"differences"`
	// Bases are the revisions of the services that the ticket touches.
	Bases []Base `json:"bases"`
}

// DryRun checks a ticket against the store and returns what it would do. It
// writes nothing.
func (s *Submitter) DryRun(ctx context.Context, t Ticket) (Preview, error) {
	if err := t.Validate(s.DataCentres); err != nil {
		return Preview{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	run := &submission{Submitter: s, ticket: t, digest: t.Digest(), pending: noPending}
	current, err := s.read(ctx, t)
	if err != nil {
		return Preview{}, err
	}
	if current.submitted != nil {
		_, err := run.settled(current)
		return Preview{}, err
	}
	run.fillBases(current)
	planned, err := Plan(current, run.ticket, s.now())
	if err != nil {
		return Preview{}, err
	}
	return Preview{Differences: Diff(planned.Record.Changes), Bases: run.ticket.Bases}, nil
}

// Diff lists the fields in which the states before and after differ.
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
	before := fieldsOf(change.Before)
	after := fieldsOf(change.After)
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

// fieldsOf returns the JSON value of every field of a spec by its path.
func fieldsOf(spec *service.Spec) map[string]string {
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

// flatten adds the fields of a JSON value under path.
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
