package spread

const (
	// askMemory is the weight of the latest ask in the mean.
	askMemory = 1.0 / 16
	// askGain is the factor on the share of asks that found a slot.
	askGain = 2
	// minAsks is the share of asks that goes on while none finds a slot, so that
	// an agent notices when its peers have room again.
	minAsks = 0.05
)

// SlotQueryLimiter decides whether a request that would wait asks a peer for a free slot
// first. While the peers are busy too, asking costs work and finds nothing, so
// fewer requests do it. It is not safe for concurrent use.
type SlotQueryLimiter struct {
	// found is the share of recent asks that found a free slot.
	found float64
}

// NewSlotQueryLimiter returns an Asking that lets the first requests ask.
func NewSlotQueryLimiter() *SlotQueryLimiter { return &SlotQueryLimiter{found: 1} }

// Allow reports whether a request may ask; random is a random number in [0, 1).
func (a *SlotQueryLimiter) Allow(random float64) bool {
	return random < max(minAsks, askGain*a.found)
}

// Record takes the outcome of an ask: whether the peer had a free slot.
func (a *SlotQueryLimiter) Record(found bool) {
	latest := 0.0
	if found {
		latest = 1
	}
	a.found += askMemory * (latest - a.found)
}
