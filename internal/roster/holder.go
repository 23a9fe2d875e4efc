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
	// Remove means to delete the entry of Place if its revision is still Revision, and call HandleRemove.
	Remove
	// Claim means to write the balancer's address to Place under a new lease and
	// call HandleClaim.
	Claim
	// Renew means to renew Lease and call HandleRenewal.
	Renew
)

const (
	// verifyPeriod is the time between two reads by which a holder checks that its place still has its entry. A lease can
	// be renewed although the entry is gone.
	verifyPeriod = LeaseTTL
	// retryMin is the mean pause after a failed call, which doubles with each failure up to one of two limits: retryMax if
	// the store refuses reads or a removal or claim fails, outageRetryMax if the store does not respond or the balancer has
	// held a place. The store serves that many reads of all balancers of the largest planned deployment.
	retryMin       = 2 * time.Second
	retryMax       = LeaseTTL
	outageRetryMax = 5 * time.Second
	// lostHolderDelay is how long the holders of all places must be away before a balancer removes the entry of one. It
	// looks again up to lostHolderSpread later, so that not all balancers do so at once.
	lostHolderDelay  = 2 * time.Second
	lostHolderSpread = time.Second
)

// Holder is the state machine by which one balancer holds a place in the roster:
// it decides when to read the roster, claim a place and renew its lease. It is not
// safe for concurrent use. Random arguments are in [0, 1).
type Holder struct {
	// DataCentre and Self identify the balancer.
	DataCentre string
	Self       netip.AddrPort
	// Alive reports whether a balancer is alive as far as this one knows. Nil means that all are.
	Alive func(netip.AddrPort) bool
	// Place is the place to claim, the place whose entry is to be removed, or the place that the balancer holds.
	Place int
	// Revision is the revision of the entry to be removed.
	Revision int64
	// Lease is the lease of the held place, or zero if there is none.
	Lease store.LeaseID

	// pending is Remove or Claim while that step is due, otherwise Wait.
	pending Step
	// checkPending is set while the place must be read again before its lease is renewed.
	checkPending bool
	// hadPlace is set once the balancer has lost a place.
	hadPlace bool
	// readFailures counts the failed reads since the last successful one, claimFailures the failed removals and claims.
	readFailures, claimFailures int
	// lost are the entries of a roster whose holders are all away, since lostSince.
	lost      []store.Entry
	lostSince time.Time
	// renewedAt is when the last successful claim or renewal was sent, verifiedAt when the place was last claimed or read.
	renewedAt, verifiedAt time.Time
	nextAt                time.Time
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
	case h.checkPending, h.Lease == 0 && h.pending == Wait:
		return Read, now
	case h.Lease == 0:
		return h.pending, now
	case now.Sub(h.verifiedAt) >= verifyPeriod:
		return Read, now
	default:
		return Renew, now
	}
}

// HandleRestore handles the restoration of the store from an earlier copy. The copy
// may lack the place of this balancer or its lease, so both are checked at once.
func (h *Holder) HandleRestore(now time.Time) {
	h.checkPending = true
	h.nextAt = now
}

// HandleRead handles the result of the step Read. A balancer that still holds its place renews the lease at once. Otherwise
// it selects a place, or schedules the next read.
func (h *Holder) HandleRead(now time.Time, snapshot store.Snapshot, err error, random float64) {
	if err != nil {
		h.handleFailedRead(now, err, random)
		return
	}
	h.readFailures = 0
	h.checkPending = false
	h.verifiedAt = now
	if h.Lease != 0 && holdsPlace(h.DataCentre, h.Place, h.Self, snapshot) {
		h.nextAt = now
		return
	}
	if h.Lease != 0 {
		h.losePlace(now)
	}
	h.selectPlace(now, snapshot, random)
}

func (h *Holder) handleFailedRead(now time.Time, err error, random float64) {
	switch {
	case h.checkPending:
		h.nextAt = now.Add(LeaseTTL / retriesPerTTL)
	case h.Lease != 0:
		// The lease is renewed all the same, and the place is read before the renewal after that.
		h.verifiedAt = now.Add(LeaseTTL/renewalsPerTTL - verifyPeriod)
		h.nextAt = now
	default:
		limit := outageRetryMax
		if errkind.Is(err, errkind.Overloaded) {
			limit = retryMax
		}
		h.scheduleRead(now, &h.readFailures, limit, random)
	}
}

// selectPlace selects the place to claim: the one that has the entry of an earlier process at this address, a random free
// one, or one whose holder is away if that holds for all.
func (h *Holder) selectPlace(now time.Time, snapshot store.Snapshot, random float64) {
	p := placesOf(h.DataCentre, h.Self, snapshot, h.Alive)
	lost := h.lost
	h.lost = nil
	h.pending = Wait
	switch {
	case p.own != nil:
		h.removeEntry(now, *p.own)
	case len(p.free) > 0:
		h.Place = p.free[int(random*float64(len(p.free)))]
		h.pending = Claim
		h.nextAt = now
	case len(p.lost) == 0:
		h.nextAt = now.Add(CheckInterval/2 + fraction(CheckInterval, random))
	case p.holders > len(p.lost):
		// The leases of those that are away will expire.
		h.nextAt = now.Add(LeaseTTL/2 + fraction(LeaseTTL, random))
	case sameEntries(lost, p.lost) && now.Sub(h.lostSince) >= lostHolderDelay:
		h.removeEntry(now, p.lost[int(random*float64(len(p.lost)))])
	default:
		// No listed balancer can be reached, so no process finds any other one by this roster.
		h.lost, h.lostSince = p.lost, now
		h.nextAt = now.Add(lostHolderDelay + fraction(lostHolderSpread, random))
	}
}

func (h *Holder) removeEntry(now time.Time, entry store.Entry) {
	h.Place, h.Revision = placeOf(entry), entry.ModRevision
	h.pending = Remove
	h.nextAt = now
}

// HandleRemove handles the result of the step Remove. The argument removed must be true only if the store confirmed the
// removal; the place is then claimed.
func (h *Holder) HandleRemove(now time.Time, removed bool, random float64) {
	h.pending = Claim
	h.nextAt = now
	if !removed {
		h.pending = Wait
		h.handleFailedClaim(now, random)
	}
}

// HandleClaim handles the result of the step Claim. The argument won must be true only
// if the store confirmed the claim.
func (h *Holder) HandleClaim(now, sent time.Time, lease store.LeaseID, won bool, random float64) {
	h.pending = Wait
	if !won {
		h.handleFailedClaim(now, random)
		return
	}
	h.Lease = lease
	h.claimFailures = 0
	h.verifiedAt = sent
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

// losePlace gives up the place because its lease expired or its entry is gone, and schedules a read of the roster at once.
func (h *Holder) losePlace(now time.Time) {
	h.Lease = 0
	h.hadPlace = true
	h.nextAt = now
}

func (h *Holder) handleFailedClaim(now time.Time, random float64) {
	limit := retryMax
	if h.hadPlace {
		limit = outageRetryMax
	}
	h.scheduleRead(now, &h.claimFailures, limit, random)
}

// scheduleRead schedules the next read of the roster after a failed call, and counts the failure.
func (h *Holder) scheduleRead(now time.Time, failures *int, limit time.Duration, random float64) {
	const maxDoublings = 16 // more would overflow
	pause := min(limit, retryMin<<min(*failures, maxDoublings))
	*failures++
	h.nextAt = now.Add(pause/2 + fraction(pause, random))
}

// fraction returns the share random of d.
func fraction(d time.Duration, random float64) time.Duration {
	return time.Duration(random * float64(d))
}
