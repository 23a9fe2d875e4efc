package ticket

import (
	"context"
	"fmt"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// blockSize is the number of records that History reads per call. The keys of
// these records differ only in the last digit, so one prefix covers them.
const blockSize = 10

// MaxHistory is the maximum number of records that History.List returns.
const MaxHistory = 200

// History reads the audit records of accepted tickets.
type History struct {
	Store store.Store
}

// Show returns the audit record of the ticket with this ID.
func (h History) Show(ctx context.Context, id string) (Record, error) {
	if !idPattern.MatchString(id) {
		return Record{}, invalid(fmt.Sprintf("the ticket ID %q is not valid", id), "check the ID")
	}
	entry, err := h.Store.Get(ctx, IDKey(id))
	if errkind.Is(err, errkind.NotFound) {
		return Record{}, errkind.New(errkind.NotFound, "no ticket with the ID "+id+" was accepted",
			"submit it; if an earlier submission had an unknown outcome, submit the same ticket again, which is safe")
	}
	if err != nil {
		return Record{}, err
	}
	var reference Reference
	if err := unmarshal(entry, &reference); err != nil {
		return Record{}, err
	}
	return h.ShowNumber(ctx, reference.Number)
}

// ShowNumber returns the audit record of the ticket with this number.
func (h History) ShowNumber(ctx context.Context, number int64) (Record, error) {
	entry, err := h.Store.Get(ctx, NumberKey(number))
	if errkind.Is(err, errkind.NotFound) {
		return Record{}, errkind.New(errkind.NotFound, fmt.Sprintf("there is no ticket %d", number), "run ticket history to list the tickets")
	}
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(entry)
}

// LastNumber returns the number of the last ticket, or zero if there is none.
func (h History) LastNumber(ctx context.Context) (int64, error) {
	entry, err := h.Store.Get(ctx, CounterKey)
	if errkind.Is(err, errkind.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var last int64
	return last, unmarshal(entry, &last)
}

// List returns up to count records, but at most MaxHistory, in descending order
// starting at number. A number of zero starts at the last ticket.
func (h History) List(ctx context.Context, number int64, count int) ([]Record, error) {
	last, err := h.LastNumber(ctx)
	if err != nil {
		return nil, err
	}
	if number <= 0 || number > last {
		number = last
	}
	count = min(count, MaxHistory)
	var records []Record
	for number > 0 && len(records) < count {
		block, err := h.readBlock(ctx, number)
		if err != nil {
			return nil, err
		}
		for i := len(block) - 1; i >= 0 && len(records) < count; i-- {
			if block[i].Number <= number {
				records = append(records, block[i])
			}
		}
		number -= number%blockSize + 1
	}
	return records, nil
}

// readBlock returns the records of the block that contains number, in ascending order.
func (h History) readBlock(ctx context.Context, number int64) ([]Record, error) {
	key := NumberKey(number)
	snapshot, err := h.Store.Range(ctx, key[:len(key)-1])
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		record, err := decodeRecord(entry)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeRecord(entry store.Entry) (Record, error) {
	var record Record
	err := unmarshal(entry, &record)
	record.Revision = entry.ModRevision
	return record, err
}
