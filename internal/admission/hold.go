package admission

import "time"

// holdWeight is the weight of the newest request in the mean hold time.
const holdWeight = 1.0 / 16

// holdTimes measures how long requests hold a slot. Together with the number of
// slots this is the rate at which room appears while the slots are busy.
type holdTimes struct {
	// mean is the moving mean of finished requests in seconds, zero before the first.
	mean float64
	// started is the sum of the start times of running requests, in seconds since epoch.
	started float64
	epoch   time.Time
	running int
}

func (h *holdTimes) start(now time.Time) {
	h.started += now.Sub(h.epoch).Seconds()
	h.running++
}

func (h *holdTimes) end(now, since time.Time) {
	h.started -= since.Sub(h.epoch).Seconds()
	h.running--
	hold := max(now.Sub(since).Seconds(), 0)
	if h.mean == 0 {
		h.mean = hold
		return
	}
	h.mean += holdWeight * (hold - h.mean)
}

// expected returns the mean hold time. Running requests that already last
// longer than the mean count, so that a stalled backend server is noticed.
func (h *holdTimes) expected(now time.Time) time.Duration {
	seconds := h.mean
	if h.running > 0 {
		age := now.Sub(h.epoch).Seconds() - h.started/float64(h.running)
		seconds = max(seconds, age)
	}
	return time.Duration(seconds * float64(time.Second))
}
