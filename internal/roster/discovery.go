package roster

import (
	"math"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Times of reading the rosters, each the mean of a random pause.
const (
	// restPeriod is the time between two reads of a group of members that know each other, whatever their number. Two
	// groups that do not know each other meet after the next read of either.
	restPeriod = 3 * time.Second
	// searchPeriod is the time between two reads of a group that knows no balancer.
	searchPeriod = 500 * time.Millisecond
	// alonePauseMin and alonePauseMax bound the pause of a process that knows no other one. It doubles with each read, so
	// that the processes of the largest planned deployment together stay below the rate of reads that the store serves.
	alonePauseMin = 300 * time.Millisecond
	alonePauseMax = 24 * time.Second
	// failurePauseMax bounds the pause of such a process while the store does not respond.
	failurePauseMax = 5 * time.Second
)

// never is a pause longer than any process runs.
const never = 100 * 365 * 24 * time.Hour

// View is what a process knows of the other members.
type View struct {
	// Members is the number of living members, this process included. It is 1 if no message of another member arrives.
	Members int
	// KnowsBalancer is set if a living balancer is known, or if this process is a balancer that knows a living member.
	KnowsBalancer bool
	// SearchOnly is set for a process that reads the rosters only while it knows no balancer, and leaves the reads at rest
	// to the balancers. Such a process need not know how many members there are.
	SearchOnly bool
}

// Urgency says why a process reads the rosters.
type Urgency int

// Urgencies, the least urgent first.
const (
	// AtRest means that the rosters are read to find members of which the known ones have not heard.
	AtRest Urgency = iota
	// WithoutBalancer means that only agents are known.
	WithoutBalancer
	// Alone means that no other member is known.
	Alone
)

// String returns the urgency as shown in logs.
func (u Urgency) String() string {
	names := [...]string{"at rest", "without balancer", "alone"}
	return names[u]
}

// urgency returns how urgently the process needs the rosters.
func (v View) urgency() Urgency {
	switch {
	case v.Members <= 1:
		return Alone
	case !v.KnowsBalancer:
		return WithoutBalancer
	default:
		return AtRest
	}
}

// Discovery decides when a process reads the rosters, as long as it runs. Members that know each other share the reads:
// the pause of each grows with their number, so the load on the store grows with the number of separate groups only.
// It is not safe for concurrent use.
type Discovery struct {
	// random returns numbers in [0, 1).
	random func() float64
	// notBefore is the time of the first read at the earliest.
	notBefore time.Time
	// since is when the pause before the next read began.
	since   time.Time
	urgency Urgency
	// draw is the random number of the current pause, in [0, 1).
	draw float64
	// reads counts the reads since the start, or since the urgency changed. failed is set if the store did not respond to
	// the last one.
	reads  int
	failed bool
}

// NewDiscovery returns a Discovery whose first read is due after delay, if no other member is known by then.
func NewDiscovery(now time.Time, delay time.Duration, random func() float64) *Discovery {
	return &Discovery{random: random, notBefore: now.Add(delay), since: now, urgency: Alone}
}

// Next returns the time of the next read, which may have passed.
func (d *Discovery) Next(now time.Time, v View) time.Time {
	if urgency := v.urgency(); urgency != d.urgency {
		d.urgency, d.reads = urgency, 1 // a process that has lost all others is not in the hurry of one that starts
		d.startPause(now)
	}
	due := d.since.Add(d.pause(v))
	if due.Before(d.notBefore) {
		return d.notBefore
	}
	return due
}

// HandleRead handles the end of a read. The error of a damaged entry is no failure of the store.
func (d *Discovery) HandleRead(now time.Time, err error) {
	d.reads++
	d.failed = errkind.Is(err, errkind.Unavailable)
	d.startPause(now)
}

// Urgency returns why the next read takes place.
func (d *Discovery) Urgency() Urgency { return d.urgency }

func (d *Discovery) startPause(now time.Time) {
	d.since = now
	d.draw = d.random()
}

// pause returns the time between the last read and the next one.
func (d *Discovery) pause(v View) time.Duration {
	switch d.urgency {
	case AtRest:
		if v.SearchOnly {
			return never
		}
		return d.sharedPause(restPeriod, v.Members)
	case WithoutBalancer:
		return d.sharedPause(searchPeriod, v.Members)
	default:
		pause := d.alonePause()
		return pause/2 + fraction(pause, d.draw)
	}
}

// sharedPause is the pause of one of several members that together read once in a period on average. Its exponential
// distribution spreads their reads evenly over time, also when they have started together.
func (d *Discovery) sharedPause(period time.Duration, members int) time.Duration {
	return time.Duration(float64(period) * float64(members) * -math.Log(1-d.draw))
}

// alonePause is the mean pause of a process that knows no other one: none before its first read.
func (d *Discovery) alonePause() time.Duration {
	if d.reads == 0 {
		return 0
	}
	limit := alonePauseMax
	if d.failed {
		limit = failurePauseMax
	}
	const maxDoublings = 16 // more would overflow
	return min(limit, alonePauseMin<<min(d.reads-1, maxDoublings))
}
