package roster

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/store"
)

// Step is what a Holder wants to have done.
type Step int

// Steps of a Holder.
const (
	// Wait asks to call Next again later.
	Wait Step = iota
	// Read asks to read the roster and call Listed.
	Read
	// Claim asks to take the place Place under a new lease and call Claimed.
	Claim
	// Renew asks to renew the lease Lease and call Renewed.
	Renew
)

// Holder decides when a balancer looks for a place in the roster, takes one and
// renews it. It is not safe for concurrent use. Random arguments are in [0, 1).
type Holder struct {
	// DataCentre and Self say whose place it is.
	DataCentre string
	Self       netip.AddrPort
	// Place is the place to claim, or the one that is held.
	Place int
	// Lease is the lease of the place that is held, or zero.
	Lease store.LeaseID

	claiming bool
	// renewed is when the request for the last renewal was sent.
	renewed time.Time
	wakeAt  time.Time
}

// NewHolder returns a Holder that first looks at a random moment of the first
// CheckInterval, so that a deployment that starts does not read all at once.
func NewHolder(dataCentre string, self netip.AddrPort, now time.Time, random float64) *Holder {
	return &Holder{DataCentre: dataCentre, Self: self, wakeAt: now.Add(fraction(CheckInterval, random))}
}

// Next returns what to do now, and for Wait until when.
func (h *Holder) Next(now time.Time) (Step, time.Time) {
	if h.Lease != 0 && !now.Before(h.renewed.Add(LeaseTTL)) {
		h.lose(now)
	}
	switch {
	case now.Before(h.wakeAt):
		return Wait, h.wakeAt
	case h.Lease != 0:
		return Renew, now
	case h.claiming:
		return Claim, now
	default:
		return Read, now
	}
}

// HandleRead takes in the roster, or the error of reading it.
func (h *Holder) HandleRead(now time.Time, snapshot store.Snapshot, err error, random float64) {
	free := freePlaces(h.DataCentre, h.Self, snapshot)
	if err != nil || len(free) == 0 {
		h.lookLater(now, random)
		return
	}
	h.Place = free[int(random*float64(len(free)))]
	h.claiming = true
	h.wakeAt = now
}

// HandleClaim takes in whether the claim sent at a time was certainly won.
func (h *Holder) HandleClaim(now, sent time.Time, lease store.LeaseID, won bool, random float64) {
	h.claiming = false
	if !won {
		h.lookLater(now, random)
		return
	}
	h.Lease = lease
	h.hold(sent)
}

// HandleRenewal takes in the outcome of the renewal sent at a time.
func (h *Holder) HandleRenewal(now, sent time.Time, err error) {
	switch {
	case err == nil:
		h.hold(sent)
	case errkind.Is(err, errkind.NotFound):
		h.lose(now)
	default:
		h.wakeAt = now.Add(LeaseTTL / retriesPerTTL)
	}
}

func (h *Holder) hold(sent time.Time) {
	h.renewed = sent
	h.wakeAt = sent.Add(LeaseTTL / renewalsPerTTL)
}

// lose gives up the place because its lease lapsed, and looks for one at once.
func (h *Holder) lose(now time.Time) {
	h.Lease = 0
	h.wakeAt = now
}

func (h *Holder) lookLater(now time.Time, random float64) {
	h.wakeAt = now.Add(CheckInterval/2 + fraction(CheckInterval, random))
}

func fraction(d time.Duration, random float64) time.Duration {
	return time.Duration(random * float64(d))
}
