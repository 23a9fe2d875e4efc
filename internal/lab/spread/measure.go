package spread

import (
	"math"
	"slices"
	"time"
)

// slotWindow is the period over which the slot time of the hosts is compared. The number of
// occupied slots at one instant is a small integer and too coarse to compare.
const slotWindow = 10 * time.Second

// Imbalance is the mean and the 99th percentile, over the samples of a run, of the largest
// value of a host divided by the mean of the hosts.
type Imbalance struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Metrics holds what one run measured.
type Metrics struct {
	// Flows is the imbalance of open flows, sampled each second, and Slots that of the slot
	// time used in windows of ten seconds. SlotsWholeRun is the largest slot time of a host
	// in the whole run, divided by the mean.
	Flows         Imbalance `json:"flows"`
	Slots         Imbalance `json:"slots"`
	SlotsWholeRun float64   `json:"slotsWhole"`
	// ForwardsPerFlow and RelaysPerRequest are the mean numbers of extra hops.
	ForwardsPerFlow  float64 `json:"passesPerFlow"`
	RelaysPerRequest float64 `json:"relaysPerRequest"`
	// FailedQueriesPerRequest is the mean number of slot queries per request that found no
	// free slot.
	FailedQueriesPerRequest float64 `json:"asksRefusedPerRequest"`
	// FlowsRefused and RequestsRefused count the flows and requests that no host accepted.
	FlowsRefused    int `json:"flowsRefused"`
	RequestsRefused int `json:"requestsRefused"`
	// WaitMean and WaitP99 describe the wait for a slot in milliseconds, including the hops
	// between agents.
	WaitMean float64 `json:"waitMeanMillis"`
	WaitP99  float64 `json:"waitP99Millis"`
}

// recorder collects the measurements of a run. It ignores events before the time from.
type recorder struct {
	from                                                                            time.Time
	flows, forwards, requests, relays, flowsRefused, requestsRefused, failedQueries int
	flowRatios, slotRatios                                                          []float64
	waits                                                                           []float64
	windowEnd                                                                       time.Time
}

func (m *recorder) increment(now time.Time, counter *int) {
	if !now.Before(m.from) {
		*counter++
	}
}

func (m *recorder) countFlow(now time.Time)           { m.increment(now, &m.flows) }
func (m *recorder) countRefusedFlow(now time.Time)    { m.increment(now, &m.flowsRefused) }
func (m *recorder) countForward(now time.Time)        { m.increment(now, &m.forwards) }
func (m *recorder) countRequest(now time.Time)        { m.increment(now, &m.requests) }
func (m *recorder) countRefusedRequest(now time.Time) { m.increment(now, &m.requestsRefused) }
func (m *recorder) countRelay(now time.Time)          { m.increment(now, &m.relays) }

func (m *recorder) countSlotQuery(now time.Time, found bool) {
	if found {
		m.increment(now, &m.relays)
	} else {
		m.increment(now, &m.failedQueries)
	}
}

func (m *recorder) recordWait(now time.Time, d time.Duration) {
	if !now.Before(m.from) {
		m.waits = append(m.waits, float64(d)/float64(time.Millisecond))
	}
}

// sample records the imbalance of flows and, at the end of each window, that of slot time
// over the hosts that are present and not draining.
func (r *run) sample() {
	r.after(samplePeriod, r.sample)
	windowEnds := !r.now.Before(r.recorder.windowEnd)
	var flows, slotTimes []float64
	for _, h := range r.hosts {
		h.accountSlotTime(r.now)
		if h.present && !h.draining {
			flows = append(flows, float64(h.flows))
			slotTimes = append(slotTimes, h.windowSlotTime.Seconds())
		}
	}
	if !r.now.Before(r.recorder.from) {
		r.recorder.flowRatios = append(r.recorder.flowRatios, maxOverMean(flows))
	}
	if !windowEnds {
		return
	}
	r.recorder.windowEnd = r.now.Add(slotWindow)
	if !r.now.Add(-slotWindow).Before(r.recorder.from) {
		r.recorder.slotRatios = append(r.recorder.slotRatios, maxOverMean(slotTimes))
		r.addWindowToTotal()
	}
	for _, h := range r.hosts {
		h.windowSlotTime = 0
	}
}

// addWindowToTotal adds the slot time of the current window to the totals of the hosts.
func (r *run) addWindowToTotal() {
	for _, h := range r.hosts {
		if h.present && !h.draining {
			h.totalSlotTime += h.windowSlotTime
		}
	}
}

func (m *recorder) metrics(hosts []*host) Metrics {
	var totals []float64
	for _, h := range hosts {
		if h.totalSlotTime > 0 {
			totals = append(totals, h.totalSlotTime.Seconds())
		}
	}
	return Metrics{
		Flows:                   imbalanceOf(m.flowRatios),
		Slots:                   imbalanceOf(m.slotRatios),
		SlotsWholeRun:           maxOverMean(totals),
		ForwardsPerFlow:         ratio(m.forwards, m.flows),
		RelaysPerRequest:        ratio(m.relays, m.requests),
		FailedQueriesPerRequest: ratio(m.failedQueries, m.requests),
		FlowsRefused:            m.flowsRefused,
		RequestsRefused:         m.requestsRefused,
		WaitMean:                mean(m.waits),
		WaitP99:                 percentile(m.waits, 0.99),
	}
}

func imbalanceOf(ratios []float64) Imbalance {
	return Imbalance{Mean: mean(ratios), P99: percentile(ratios, 0.99)}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

// maxOverMean returns the largest value divided by the mean, or 0 if the mean is 0.
func maxOverMean(values []float64) float64 {
	average := mean(values)
	if average == 0 {
		return 0
	}
	return slices.Max(values) / average
}

// percentile returns the nearest-rank percentile, or 0 if values is empty.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}
