package ticket

import (
	"errors"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// DecodeServices decodes the entries of a range under ServicePrefix. It skips
// damaged entries and joins their errors.
func DecodeServices(entries []store.Entry) ([]ServiceState, error) {
	states := make([]ServiceState, 0, len(entries))
	var problems []error
	for _, entry := range entries {
		state, err := decodeService(entry)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		states = append(states, state)
	}
	return states, errors.Join(problems...)
}

// DecodeEvents decodes the events of a watch under ServicePrefix. Service keys
// are never deleted, so a deletion is reported as an error and otherwise ignored.
func DecodeEvents(events []store.Event) ([]ServiceState, error) {
	entries := make([]store.Entry, 0, len(events))
	var problems []error
	for _, event := range events {
		if event.Deleted {
			problems = append(problems, errkind.New(errkind.Invalid, "the key "+event.Entry.Key+" was deleted",
				"remove services by a change ticket; submit the service's state again to restore its key"))
			continue
		}
		entries = append(entries, event.Entry)
	}
	states, err := DecodeServices(entries)
	return states, errors.Join(append(problems, err)...)
}

func decodeService(entry store.Entry) (ServiceState, error) {
	state, err := decodeState(entry)
	if err != nil {
		return ServiceState{}, err
	}
	if ServiceKey(state.ID) != entry.Key {
		return ServiceState{}, damagedError(entry, "its ID belongs to another service")
	}
	if state.Spec != nil && (state.Spec.ID != state.ID || state.Spec.Name != state.Name) {
		return ServiceState{}, damagedError(entry, "its spec belongs to another service")
	}
	if state.Spec != nil && state.Spec.Validate() != nil {
		return ServiceState{}, damagedError(entry, "its spec is invalid")
	}
	return state, nil
}

func damagedError(entry store.Entry, reason string) error {
	return errkind.New(errkind.Invalid, "the value of key "+entry.Key+" is damaged: "+reason,
		"find out which other program writes under "+Root)
}
