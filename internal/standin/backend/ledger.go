package backend

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/almondledge/almondledge/internal/errkind"
)

// maxLedgerRuns bounds the runs that one backend server records.
const maxLedgerRuns = 10_000_000

// Run is one run of a booking.
type Run struct {
	// Booking is the caller's name for the booking.
	Booking string `json:"booking"`
	// Key is the idempotency key that the request carried.
	Key string `json:"key,omitempty"`
	// Server is the backend server that ran the booking.
	Server string `json:"server"`
}

// Ledger records each run of a booking, before the booking is answered. With a
// file, the record survives a kill of the process.
type Ledger struct {
	mu     sync.Mutex // guards the fields below
	runs   []Run
	counts map[string]int
	file   *os.File
}

// OpenLedger returns a ledger that also appends to the file at path, unless path is empty.
func OpenLedger(path string) (*Ledger, error) {
	l := &Ledger{counts: make(map[string]int)}
	if path == "" {
		return l, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "cannot open the ledger", "give a writable path")
	}
	l.file = file
	return l, nil
}

// Add records a run and returns the number of runs of its booking that this process
// has recorded.
func (l *Ledger) Add(r Run) (int, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxLedgerRuns {
		return 0, errkind.New(errkind.Overloaded, "the ledger is full", "restart the run with fewer bookings")
	}
	if l.file != nil {
		if _, err := l.file.Write(append(line, '\n')); err != nil {
			return 0, err
		}
	}
	l.runs = append(l.runs, r)
	l.counts[r.Booking]++
	return l.counts[r.Booking], nil
}

// Runs returns a copy of the recorded runs.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Close closes the ledger's file, if it has one.
func (l *Ledger) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// ReadLedger returns the runs in a ledger file. A missing file counts as empty.
func ReadLedger(path string) ([]Run, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var runs []Run
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var r Run
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, errkind.Wrap(err, errkind.Invalid, "a line of the ledger file is not a run", "remove the ledger file and restart")
		}
		runs = append(runs, r)
	}
	return runs, scanner.Err()
}

// CountRuns returns the number of runs of each booking.
func CountRuns(runs []Run) map[string]int {
	counts := make(map[string]int)
	for _, r := range runs {
		counts[r.Booking]++
	}
	return counts
}
