package ticket

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// DefaultTimeout bounds a submission with all its attempts.
const DefaultTimeout = 10 * time.Second

const (
	firstRetryDelay   = 50 * time.Millisecond
	longestRetryDelay = time.Second
)

// Submitter puts tickets into force. It is safe for concurrent use.
type Submitter struct {
	// Store is the platform's store.
	Store store.Store
	// DataCentres are the data centres that services may name. Empty allows any.
	DataCentres []string
	// Timeout bounds a submission. Zero means DefaultTimeout.
	Timeout time.Duration
	// Now returns the time of audit records. Nil means time.Now.
	Now func() time.Time
	// NewBackOff returns the delays between attempts. Nil means exponential
	// delays with jitter.
	NewBackOff func() backoff.BackOff
}

// Outcome says that a ticket is in force.
type Outcome struct {
	ID     string `json:"id"`
	Number int64  `json:"number"`
	// Revision is the store revision that put the ticket into force.
	Revision int64 `json:"revision"`
	// Repeated reports that the ticket had been accepted before this submission.
	Repeated bool `json:"repeated"`
}

// submission is one run of Submit.
type submission struct {
	*Submitter
	ticket Ticket
	digest string
	// filled reports that every touched service has a base.
	filled bool
	// sent reports that a transaction of this run may have reached the store.
	sent bool
	// raced reports that a transaction of this run found the store changed.
	raced bool
	// last is what the last read found.
	last StoredState
	// pending is the counter's revision that an unanswered transaction
	// requires, or -1 when no transaction is unanswered.
	pending int64
}

// noPending means that no transaction is unanswered.
const noPending = -1

// Submit puts the ticket into force and returns once that is certain.
//
// Errors of kind Invalid, Conflict, NotApplied and Stale mean that the ticket is
// not in force and that nothing which Submit sent can still put it into force.
// An error of kind Unknown means that it may be in force now or later; to
// submit the same ticket again is safe.
func (s *Submitter) Submit(ctx context.Context, t Ticket) (Outcome, error) {
	if err := t.Validate(s.DataCentres); err != nil {
		return Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	run := &submission{Submitter: s, ticket: t, digest: t.Digest(), pending: noPending}
	delays := s.backOff()
	for {
		outcome, err := run.attempt(ctx)
		if err == nil {
			return outcome, nil
		}
		if isFinal(err) {
			return Outcome{}, run.report(err)
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return Outcome{}, run.report(err)
		}
	}
}

// isFinal reports whether another attempt cannot change the outcome.
func isFinal(err error) bool {
	switch errkind.Of(err) {
	case errkind.Invalid, errkind.Conflict, errkind.Stale:
		return true
	default:
		return false
	}
}

// attempt reads the state, and sends the transaction unless the ticket is
// already in force.
func (r *submission) attempt(ctx context.Context) (Outcome, error) {
	current, err := r.read(ctx, r.ticket)
	if err != nil {
		return Outcome{}, err
	}
	r.last = current
	if current.submitted != nil {
		return r.settled(current)
	}
	// The unanswered transaction requires a counter that has moved on since:
	// it can no longer take effect.
	if r.pending != noPending && r.pending != current.counterRevision {
		r.pending = noPending
	}
	r.fillBases(current)
	planned, err := Plan(current, r.ticket, r.now())
	if err != nil {
		return Outcome{}, err
	}
	return r.commit(ctx, current, planned)
}

// fillBases fixes the revisions that the ticket starts from, so that no later
// attempt overwrites what another ticket changed meanwhile.
func (r *submission) fillBases(current StoredState) {
	if r.filled {
		return
	}
	r.filled = true
	bases := slices.Clone(r.ticket.Bases)
	fill := func(name string, state *ServiceState) {
		if _, given := r.ticket.base(name); given {
			return
		}
		base := Base{Service: name}
		if state != nil {
			base.Revision = state.Revision
		}
		bases = append(bases, base)
	}
	for _, spec := range r.ticket.Services {
		fill(spec.Name, current.service(spec.ID))
	}
	for _, name := range r.ticket.Removed {
		fill(name, current.named(name))
	}
	r.ticket.Bases = bases
}

// commit sends the transaction once.
func (r *submission) commit(ctx context.Context, current StoredState, planned Planned) (Outcome, error) {
	result, err := r.Store.Commit(ctx, planned.Txn)
	switch {
	case err == nil && result.Succeeded:
		return Outcome{ID: r.ticket.ID, Number: planned.Record.Number, Revision: result.Revision}, nil
	case err == nil:
		r.raced = true
		return Outcome{}, errkind.New(errkind.NotApplied, "another ticket changed the store meanwhile", "submit the ticket again")
	case !errkind.Is(err, errkind.NotApplied) && !errkind.Is(err, errkind.Stale):
		r.sent = true
		r.pending = current.counterRevision
	}
	return Outcome{}, err
}

// settled returns the outcome of the ticket that the store has under this ID.
func (r *submission) settled(current StoredState) (Outcome, error) {
	r.pending = noPending
	if current.submitted.Digest != r.digest {
		r.raced = false
		return Outcome{}, invalid(
			fmt.Sprintf("the ID %s belongs to ticket %d, which has other content", r.ticket.ID, current.submitted.Number),
			"choose a new ID; ticket show "+r.ticket.ID+" prints the ticket that has it")
	}
	return Outcome{
		ID: r.ticket.ID, Number: current.submitted.Number,
		Revision: current.submittedRevision, Repeated: !r.sent,
	}, nil
}

// report turns the error of the last attempt into what is certain.
func (r *submission) report(err error) error {
	id := r.ticket.ID
	if r.pending != noPending {
		return errkind.Wrap(err, errkind.Unknown, "the outcome of ticket "+id+" is unknown",
			"run ticket show "+id+" when the store answers, or submit the same ticket again, which is safe")
	}
	switch errkind.Of(err) {
	case errkind.Conflict, errkind.Stale:
		return err
	case errkind.Invalid:
		if r.raced {
			return conflict(r.last, "another ticket won against ticket "+id, err)
		}
		return err
	default:
		return errkind.Wrap(err, errkind.NotApplied, "ticket "+id+" was not accepted",
			"nothing was changed: submit the same ticket again when the store answers")
	}
}

// read returns what the store holds of everything that t touches, all of it
// between the same two tickets.
func (s *Submitter) read(ctx context.Context, t Ticket) (StoredState, error) {
	var current StoredState
	snapshot, err := s.Store.GetAll(ctx, keysOf(t))
	if err != nil {
		return current, err
	}
	if err := current.add(t, snapshot.Entries); err != nil {
		return current, err
	}
	missing := current.missingOwners()
	if len(missing) == 0 {
		return current, nil
	}
	counter := current.counterRevision
	snapshot, err = s.Store.GetAll(ctx, append(missing, CounterKey))
	if err != nil {
		return current, err
	}
	if err := current.add(t, snapshot.Entries); err != nil {
		return current, err
	}
	if current.counterRevision != counter {
		return current, errkind.New(errkind.Unavailable, "another ticket came between two reads", "submit the ticket again")
	}
	return current, nil
}

func (s *Submitter) timeout() time.Duration {
	if s.Timeout == 0 {
		return DefaultTimeout
	}
	return s.Timeout
}

func (s *Submitter) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func (s *Submitter) backOff() backoff.BackOff {
	if s.NewBackOff != nil {
		return s.NewBackOff()
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	delays.MaxInterval = longestRetryDelay
	return delays
}

// sleep waits for d and reports whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	if d < 0 {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
