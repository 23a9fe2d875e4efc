package spread

import (
	"math"
	"slices"
	"time"
)

// slotWindow is the time over which the slots in use are compared. At one
// instant a host has a whole number of them, which says little.
const slotWindow = 10 * time.Second

// Imbalance is the largest share over the mean share, over the samples of a run.
type Imbalance struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Metrics holds what one run measured.
type Metrics struct {
	// Flows compares the open flows each second, Slots the slot time used in
	// windows of ten seconds, and SlotsWhole that of the whole run.
	Flows         Imbalance `json:"flows"`
	Slots         Imbalance `json:"slots"`
	SlotsWholeRun float64   `json:"slotsWhole"`
	// ForwardsPerFlow and RelaysPerRequest are the extra hops.
	ForwardsPerFlow  float64 `json:"passesPerFlow"`
	RelaysPerRequest float64 `json:"relaysPerRequest"`
	// FailedQueriesPerRequest counts the slot queries that found no free slot.
	FailedQueriesPerRequest float64 `json:"asksRefusedPerRequest"`
	// FlowsRefused and RequestsRefused count those that found no room.
	FlowsRefused    int `json:"flowsRefused"`
	RequestsRefused int `json:"requestsRefused"`
	// WaitMean and WaitP99 are the waits for a slot in milliseconds, relays included.
	WaitMean float64 `json:"waitMeanMillis"`
	WaitP99  float64 `json:"waitP99Millis"`
}

// recorder collects what happens after the warm-up.
type recorder struct {
	from                                                                        time.Time
	flows, passes, requests, relays, flowsRefused, requestsRefused, asksRefused int
	flowRatios, slotRatios                                                      []float64
	waits                                                                       []float64
	windowEnd                                                                   time.Time
}

func (m *recorder) add(now time.Time, counter *int) {
	if !now.Before(m.from) {
		*counter++
	}
}

func (m *recorder) flow(now time.Time)           { m.add(now, &m.flows) }
func (m *recorder) refusedFlow(now time.Time)    { m.add(now, &m.flowsRefused) }
func (m *recorder) pass(now time.Time)           { m.add(now, &m.passes) }
func (m *recorder) request(now time.Time)        { m.add(now, &m.requests) }
func (m *recorder) refusedRequest(now time.Time) { m.add(now, &m.requestsRefused) }
func (m *recorder) relay(now time.Time)          { m.add(now, &m.relays) }

func (m *recorder) ask(now time.Time, found bool) {
	if found {
		m.add(now, &m.relays)
	} else {
		m.add(now, &m.asksRefused)
	}
}

func (m *recorder) wait(now time.Time, d time.Duration) {
	if !now.Before(m.from) {
		m.waits = append(m.waits, float64(d)/float64(time.Millisecond))
	}
}

// sample compares the hosts that are present and take flows.
func (r *run) sample() {
	r.after(samplePeriod, r.sample)
	windowEnds := !r.now.Before(r.measure.windowEnd)
	var flows, busy []float64
	for _, h := range r.hosts {
		h.count(r.now)
		if h.present && !h.draining {
			flows = append(flows, float64(h.flows))
			busy = append(busy, h.busy.Seconds())
		}
	}
	if !r.now.Before(r.measure.from) {
		r.measure.flowRatios = append(r.measure.flowRatios, maxOverMean(flows))
	}
	if !windowEnds {
		return
	}
	r.measure.windowEnd = r.now.Add(slotWindow)
	if !r.now.Add(-slotWindow).Before(r.measure.from) {
		r.measure.slotRatios = append(r.measure.slotRatios, maxOverMean(busy))
		r.addWhole()
	}
	for _, h := range r.hosts {
		h.busy = 0
	}
}

// addWhole adds the window that ends to the whole run.
func (r *run) addWhole() {
	for _, h := range r.hosts {
		if h.present && !h.draining {
			h.whole += h.busy
		}
	}
}

func (m *recorder) result(hosts []*host) Metrics {
	var whole []float64
	for _, h := range hosts {
		if h.whole > 0 {
			whole = append(whole, h.whole.Seconds())
		}
	}
	return Metrics{
		Flows:                   imbalanceOf(m.flowRatios),
		Slots:                   imbalanceOf(m.slotRatios),
		SlotsWholeRun:           maxOverMean(whole),
		ForwardsPerFlow:         ratio(m.passes, m.flows),
		RelaysPerRequest:        ratio(m.relays, m.requests),
		FailedQueriesPerRequest: ratio(m.asksRefused, m.requests),
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

// maxOverMean is 0 when there is nothing to compare.
func maxOverMean(values []float64) float64 {
	average := mean(values)
	if average == 0 {
		return 0
	}
	return slices.Max(values) / average
}

// percentile returns the nearest-rank percentile, or 0 without values.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}
