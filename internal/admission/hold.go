package admission

import "time"

// newestWeight is the weight of the newest request in the moving mean of the holding times.
const newestWeight = 1.0 / 16

// holdTimes measures how long requests hold a slot. The number of slots divided by the mean holding
// time is the rate at which slots become free while all are occupied.
type holdTimes struct {
	// mean is the moving mean of the holding times of finished requests, in seconds. It is zero
	// until the first request finishes.
	mean float64
	// startSum is the sum of the start times of the running requests, in seconds since epoch.
	startSum float64
	epoch    time.Time
	running  int
}

func (h *holdTimes) start(now time.Time) {
	h.startSum += now.Sub(h.epoch).Seconds()
	h.running++
}

func (h *holdTimes) end(now, since time.Time) {
	h.startSum -= since.Sub(h.epoch).Seconds()
	h.running--
	hold := max(now.Sub(since).Seconds(), 0)
	if h.mean == 0 {
		h.mean = hold
		return
	}
	h.mean += newestWeight * (hold - h.mean)
}

// expected returns the expected holding time. It is the mean of the finished requests, or the mean
// age of the running requests if that is longer: if the backend server stalls, no request finishes
// and only this age grows.
func (h *holdTimes) expected(now time.Time) time.Duration {
	seconds := h.mean
	if h.running > 0 {
		age := now.Sub(h.epoch).Seconds() - h.startSum/float64(h.running)
		seconds = max(seconds, age)
	}
	return time.Duration(seconds * float64(time.Second))
}
