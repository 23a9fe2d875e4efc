// Package spread compares policies that spread flows and requests over the
// backend servers of a service. It runs the product's own decision code over a
// time-ordered list of arrivals and ends, without sockets, and every policy gets
// the same arrivals.
package spread

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of each backend server of both deployments.
const (
	slotsPerHost       = 5
	connectionsPerHost = 2000
	queuePerHost       = 20 * slotsPerHost
)

// Options set up a comparison.
type Options struct {
	// Load is the offered share of the connections and of the slots.
	Load float64
	// SlotQueryShare is the share of requests that may ask a peer for a free slot, as
	// GET and HEAD requests do.
	SlotQueryShare float64
	// Span is the measured time after the warm-up.
	Span time.Duration
	// Seed sets all random choices.
	Seed uint64
	// Workers is the number of runs at a time.
	Workers int
}

// place is a service of one of the deployments.
type place struct {
	name  string
	hosts int
	// flowMean and requestMean are the mean durations of a flow and of a request.
	flowMean, requestMean time.Duration
}

// places returns the services of both deployments. Sheets take longer than
// bookings; flows are shorter than in life, so that a run sees many of them.
func places() []place {
	return []place{
		{"rezervasyon", 7, 60 * time.Second, 200 * time.Millisecond},
		{"dalga-bulten", 4, 30 * time.Second, time.Second},
		{"counter", 7, 60 * time.Second, 200 * time.Millisecond},
		{"catalogue", 3, 30 * time.Second, time.Second},
	}
}

// scenario is one case of a comparison.
type scenario struct {
	name string
	// staleness is the age at which load reports are replaced or arrive.
	staleness time.Duration
	// skewed makes durations heavy-tailed, and a few flows send most requests.
	skewed bool
	// slow is the speed of the first host.
	slow float64
	// joins adds a cold host at the end of the warm-up; leaves drains one.
	joins, leaves bool
}

const (
	freshReports = 500 * time.Millisecond
	staleReports = 5 * time.Second
)

func scenarios() []scenario {
	return []scenario{
		{name: "steady", staleness: freshReports, slow: 1},
		{name: "stale reports", staleness: staleReports, slow: 1},
		{name: "skewed", staleness: freshReports, slow: 1, skewed: true},
		{name: "half speed", staleness: freshReports, slow: 0.5},
		{name: "half speed, stale", staleness: staleReports, slow: 0.5},
		{name: "host joins", staleness: freshReports, slow: 1, joins: true},
		{name: "host leaves", staleness: freshReports, slow: 1, leaves: true},
	}
}

// Result is what one policy reached in one case.
type Result struct {
	Service  string  `json:"place"`
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Hosts    int     `json:"hosts"`
	Metrics  Metrics `json:"measures"`
}

// Run compares all policies in all cases.
func Run(options Options) []Result {
	var results []Result
	for _, scene := range scenarios() {
		for _, where := range places() {
			for _, p := range policies() {
				results = append(results, Result{Service: where.name, Scenario: scene.name, Policy: p.name, Hosts: where.hosts})
			}
		}
	}
	group := new(errgroup.Group)
	group.SetLimit(max(options.Workers, 1))
	at := 0
	for _, scene := range scenarios() {
		for number, where := range places() {
			for _, p := range policies() {
				result := &results[at]
				at++
				group.Go(func() error {
					result.Metrics = newRun(options, where, uint64(number), scene, p).run()
					return nil
				})
			}
		}
	}
	_ = group.Wait() // no run fails
	return results
}
