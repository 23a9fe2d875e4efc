package spread

const (
	// queryWeight is the weight of the latest query's outcome in foundShare.
	queryWeight = 1.0 / 16
	// queryGain is multiplied by foundShare to obtain the share of requests that may
	// query. Every request may query while half of the recent queries found a free slot.
	queryGain = 2
	// minQueryShare is the share of requests that may query even if no recent query found
	// a free slot, so that an agent notices when its peers have free slots again.
	minQueryShare = 0.05
)

// SlotQueryLimiter decides whether a request that would wait first queries a peer for a
// free slot. While the peers are busy too, queries cost work and find no slot, so the
// limiter allows fewer of them. It is not safe for concurrent use.
type SlotQueryLimiter struct {
	// foundShare is the moving mean of the share of queries that found a free slot.
	foundShare float64
}

// NewSlotQueryLimiter returns a limiter that at first lets every request query.
func NewSlotQueryLimiter() *SlotQueryLimiter { return &SlotQueryLimiter{foundShare: 1} }

// Allow reports whether a request may query a peer; random is a random number in [0, 1).
func (l *SlotQueryLimiter) Allow(random float64) bool {
	return random < max(minQueryShare, queryGain*l.foundShare)
}

// Record adds the outcome of a query: whether the peer had a free slot.
func (l *SlotQueryLimiter) Record(found bool) {
	latest := 0.0
	if found {
		latest = 1
	}
	l.foundShare += queryWeight * (latest - l.foundShare)
}
