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
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Submitter submits tickets to the store. It is safe for concurrent use.
type Submitter struct {
	// Store is the platform's store.
	Store store.Store
	// DataCentres are the data centres that specs may name. Empty allows any.
	DataCentres []string
	// Timeout bounds a submission with all its attempts. Zero means DefaultTimeout.
	Timeout time.Duration
	// Now returns the current time for audit records. Nil means time.Now.
	Now func() time.Time
	// NewBackOff returns the delays between attempts. Nil means exponential
	// delays with jitter.
	NewBackOff func() backoff.BackOff
}

// Outcome describes an accepted ticket.
type Outcome struct {
	ID     string `json:"id"`
	Number int64  `json:"number"`
	// Revision is the store revision of the ticket's transaction.
	Revision int64 `json:"revision"`
	// Repeated reports that an earlier submission of the ticket was accepted.
	Repeated bool `json:"repeated"`
}

// submission is the state of one call of Submit over all its attempts.
type submission struct {
	*Submitter
	ticket Ticket
	digest string
	// basesFilled reports that every touched service has a base.
	basesFilled bool
	// sentUnanswered reports that an attempt sent a transaction whose outcome was
	// unknown.
	sentUnanswered bool
	// lostRace reports that a comparison of a transaction failed because another
	// ticket had changed the store.
	lostRace bool
	// lastRead is the result of the last read.
	lastRead StoredState
	// unansweredCounter is the counter revision that the unanswered transaction
	// compares with, or noUnanswered.
	unansweredCounter int64
}

// noUnanswered means that no unanswered transaction can still be applied.
const noUnanswered = -1

// Submit applies the ticket and returns once the store has confirmed it.
//
// Errors of kind Invalid, Conflict, NotApplied and Stale mean that the ticket was
// not applied and that no transaction sent by Submit can still apply it. An error
// of kind Unknown means that the ticket may have been applied or may still be
// applied later; it is safe to submit the same ticket again.
func (s *Submitter) Submit(ctx context.Context, t Ticket) (Outcome, error) {
	if err := t.Validate(s.DataCentres); err != nil {
		return Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	run := &submission{Submitter: s, ticket: t, digest: t.Digest(), unansweredCounter: noUnanswered}
	delays := s.backOff()
	for {
		outcome, err := run.attempt(ctx)
		if err == nil {
			return outcome, nil
		}
		if isFinal(err) {
			return Outcome{}, run.finalError(err)
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return Outcome{}, run.finalError(err)
		}
	}
}

// isFinal reports whether another attempt would fail in the same way.
func isFinal(err error) bool {
	switch errkind.Of(err) {
	case errkind.Invalid, errkind.Conflict, errkind.Stale:
		return true
	default:
		return false
	}
}

// attempt reads the stored state, and sends the transaction unless the ticket
// was already accepted.
func (r *submission) attempt(ctx context.Context) (Outcome, error) {
	current, err := r.read(ctx, r.ticket)
	if err != nil {
		return Outcome{}, err
	}
	r.lastRead = current
	if current.accepted != nil {
		return r.acceptedOutcome(current)
	}
	// Another ticket has changed the counter since, so the comparison of the
	// unanswered transaction fails and it can no longer be applied.
	if r.unansweredCounter != noUnanswered && r.unansweredCounter != current.counterRevision {
		r.unansweredCounter = noUnanswered
	}
	r.fillBases(current)
	planned, err := Plan(current, r.ticket, r.now())
	if err != nil {
		return Outcome{}, err
	}
	return r.commit(ctx, current, planned)
}

// fillBases adds the revisions found by the first read as missing bases, so that
// no later attempt overwrites a change that another ticket made meanwhile.
func (r *submission) fillBases(current StoredState) {
	if r.basesFilled {
		return
	}
	r.basesFilled = true
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
		fill(name, current.serviceNamed(name))
	}
	r.ticket.Bases = bases
}

// commit sends the transaction once and records whether it may still be applied.
func (r *submission) commit(ctx context.Context, current StoredState, planned Planned) (Outcome, error) {
	result, err := r.Store.Commit(ctx, planned.Txn)
	switch {
	case err == nil && result.Succeeded:
		return Outcome{ID: r.ticket.ID, Number: planned.Record.Number, Revision: result.Revision}, nil
	case err == nil:
		r.lostRace = true
		return Outcome{}, errkind.New(errkind.NotApplied, "another ticket changed the store at the same time", "submit the ticket again")
	case !errkind.Is(err, errkind.NotApplied) && !errkind.Is(err, errkind.Stale):
		r.sentUnanswered = true
		r.unansweredCounter = current.counterRevision
	}
	return Outcome{}, err
}

// acceptedOutcome returns the outcome of the accepted ticket with this ID, or an
// error if its content differs.
func (r *submission) acceptedOutcome(current StoredState) (Outcome, error) {
	r.unansweredCounter = noUnanswered
	if current.accepted.Digest != r.digest {
		r.lostRace = false
		return Outcome{}, invalid(
			fmt.Sprintf("the ID %s belongs to ticket %d, which has different content", r.ticket.ID, current.accepted.Number),
			"choose a new ID; run ticket show "+r.ticket.ID+" to see the accepted ticket")
	}
	return Outcome{
		ID: r.ticket.ID, Number: current.accepted.Number,
		Revision: current.acceptedRevision, Repeated: !r.sentUnanswered,
	}, nil
}

// finalError returns the error that Submit reports. Its kind is Unknown while an
// unanswered transaction may still be applied; every other kind means that the
// ticket was not applied and will not be applied later.
func (r *submission) finalError(err error) error {
	id := r.ticket.ID
	if r.unansweredCounter != noUnanswered {
		return errkind.Wrap(err, errkind.Unknown, "the outcome of ticket "+id+" is unknown",
			"run ticket show "+id+" when the store answers, or submit the same ticket again, which is safe")
	}
	switch errkind.Of(err) {
	case errkind.Conflict, errkind.Stale:
		return err
	case errkind.Invalid:
		if r.lostRace {
			return conflict(r.lastRead, "another ticket was accepted before ticket "+id, err)
		}
		return err
	default:
		return errkind.Wrap(err, errkind.NotApplied, "ticket "+id+" was not accepted",
			"nothing was changed: submit the same ticket again when the store answers")
	}
}

// read returns the stored state that is needed to plan t. It takes up to two
// reads; if the counter differs between them, another ticket was accepted
// meanwhile and read returns an error of kind Unavailable.
func (s *Submitter) read(ctx context.Context, t Ticket) (StoredState, error) {
	var current StoredState
	snapshot, err := s.Store.GetAll(ctx, initialKeys(t))
	if err != nil {
		return current, err
	}
	if err := current.add(t, snapshot.Entries); err != nil {
		return current, err
	}
	missing := current.missingOwnerKeys()
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
		return current, errkind.New(errkind.Unavailable, "another ticket was accepted between two reads", "submit the ticket again")
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
	delays.MaxInterval = maxRetryDelay
	return delays
}

// sleep waits for d. It returns false if ctx ended first or if d is negative
// (backoff.Stop).
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
