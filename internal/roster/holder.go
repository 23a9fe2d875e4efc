package roster

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// Step is the next action that a Holder requires.
type Step int

// Steps of a Holder.
const (
	// Wait means to call Next again later.
	Wait Step = iota
	// Read means to read the roster and call HandleRead.
	Read
	// Claim means to write the balancer's address to Place under a new lease and
	// call HandleClaim.
	Claim
	// Renew means to renew Lease and call HandleRenewal.
	Renew
)

// Holder is the state machine by which one balancer holds a place in the roster:
// it decides when to read the roster, claim a place and renew its lease. It is not
// safe for concurrent use. Random arguments are in [0, 1).
type Holder struct {
	// DataCentre and Self identify the balancer.
	DataCentre string
	Self       netip.AddrPort
	// Place is the place to claim, or the place that the balancer holds.
	Place int
	// Lease is the lease of the held place, or zero if there is none.
	Lease store.LeaseID

	claimPending bool
	// checkPending is set while the place must be read again before its lease is renewed.
	checkPending bool
	// renewedAt is when the last successful claim or renewal was sent.
	renewedAt time.Time
	nextAt    time.Time
}

// NewHolder returns a Holder that first reads the roster at a random time within
// CheckInterval, so that balancers that start together do not all read at once.
func NewHolder(dataCentre string, self netip.AddrPort, now time.Time, random float64) *Holder {
	return &Holder{DataCentre: dataCentre, Self: self, nextAt: now.Add(fraction(CheckInterval, random))}
}

// Next returns the step to take now, and for Wait the time at which to call Next again.
func (h *Holder) Next(now time.Time) (Step, time.Time) {
	if h.Lease != 0 && !now.Before(h.renewedAt.Add(LeaseTTL)) {
		h.losePlace(now)
	}
	switch {
	case now.Before(h.nextAt):
		return Wait, h.nextAt
	case h.checkPending:
		return Read, now
	case h.Lease != 0:
		return Renew, now
	case h.claimPending:
		return Claim, now
	default:
		return Read, now
	}
}

// HandleRestore handles the restoration of the store from an earlier copy. The copy
// may lack the place of this balancer or its lease, so both are checked at once.
func (h *Holder) HandleRestore(now time.Time) {
	h.checkPending = true
	h.nextAt = now
}

// HandleRead handles the result of the step Read. It selects a random free place,
// or schedules the next check if no place is free or the read failed. If the
// balancer still holds its place after a restoration of the store, it renews the
// lease at once.
func (h *Holder) HandleRead(now time.Time, snapshot store.Snapshot, err error, random float64) {
	if h.checkPending && err != nil {
		h.nextAt = now.Add(LeaseTTL / retriesPerTTL)
		return
	}
	wasCheck := h.checkPending
	h.checkPending = false
	if wasCheck && h.Lease != 0 {
		if holdsPlace(h.DataCentre, h.Place, h.Self, snapshot) {
			h.nextAt = now
			return
		}
		h.losePlace(now)
	}
	free := freePlaces(h.DataCentre, h.Self, snapshot)
	switch {
	case wasCheck && len(free) == 0:
		// An entry of the copy may be this balancer's own, without a lease that it can renew.
		h.nextAt = now.Add(LeaseTTL)
		return
	case err != nil || len(free) == 0:
		h.scheduleCheck(now, random)
		return
	}
	h.Place = free[int(random*float64(len(free)))]
	h.claimPending = true
	h.nextAt = now
}

// HandleClaim handles the result of the step Claim. The argument won must be true only
// if the store confirmed the claim.
func (h *Holder) HandleClaim(now, sent time.Time, lease store.LeaseID, won bool, random float64) {
	h.claimPending = false
	if !won {
		h.scheduleCheck(now, random)
		return
	}
	h.Lease = lease
	h.scheduleRenewal(sent)
}

// HandleRenewal handles the result of the step Renew. After an error other than
// NotFound it schedules a retry.
func (h *Holder) HandleRenewal(now, sent time.Time, err error) {
	switch {
	case err == nil:
		h.scheduleRenewal(sent)
	case errkind.Is(err, errkind.NotFound):
		h.losePlace(now)
	default:
		h.nextAt = now.Add(LeaseTTL / retriesPerTTL)
	}
}

// scheduleRenewal records a claim or renewal that was sent at the given time. The
// lease cannot expire earlier than LeaseTTL after that.
func (h *Holder) scheduleRenewal(sent time.Time) {
	h.renewedAt = sent
	h.nextAt = sent.Add(LeaseTTL / renewalsPerTTL)
}

// losePlace gives up the place because its lease expired, and schedules a read of
// the roster at once.
func (h *Holder) losePlace(now time.Time) {
	h.Lease = 0
	h.nextAt = now
}

// scheduleCheck schedules the next read of the roster after CheckInterval on
// average.
func (h *Holder) scheduleCheck(now time.Time, random float64) {
	h.nextAt = now.Add(CheckInterval/2 + fraction(CheckInterval, random))
}

// fraction returns the share random of d.
func fraction(d time.Duration, random float64) time.Duration {
	return time.Duration(random * float64(d))
}
