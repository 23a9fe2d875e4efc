// Package spread compares policies that spread flows and requests over the backend servers
// of a service. It runs the decision code of the balancer and the agent in a discrete-event
// simulation without sockets, in which every policy gets the same arrivals.
package spread

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of each backend server, the same in both deployments.
const (
	slotsPerHost       = 5
	connectionsPerHost = 2000
	queuePerHost       = 20 * slotsPerHost
)

// Options configures a comparison.
type Options struct {
	// Load is the offered load as a share of the connections and of the slots.
	Load float64
	// SlotQueryShare is the share of requests that may query a peer for a free slot, as GET
	// and HEAD requests may.
	SlotQueryShare float64
	// Span is the measured time after the warm-up.
	Span time.Duration
	// Seed seeds all random draws.
	Seed uint64
	// Workers is the number of concurrent runs.
	Workers int
}

// workload is a service of one of the two deployments and its traffic.
type workload struct {
	name  string
	hosts int
	// flowMean and requestMean are the mean durations of a flow and of a request.
	flowMean, requestMean time.Duration
}

// workloads returns the services of both deployments. Sheets take longer than bookings.
// Flows are shorter than in production, so that a run covers many of them.
func workloads() []workload {
	return []workload{
		{"rezervasyon", 7, 60 * time.Second, 200 * time.Millisecond},
		{"dalga-bulten", 4, 30 * time.Second, time.Second},
		{"counter", 7, 60 * time.Second, 200 * time.Millisecond},
		{"catalogue", 3, 30 * time.Second, time.Second},
	}
}

// scenario is one set of conditions under which the policies are compared.
type scenario struct {
	name string
	// staleness is the interval between two load announcements. A staleness of staleReports
	// or longer also delays the load reports in claims.
	staleness time.Duration
	// skewed makes durations heavy-tailed and lets a few flows send most requests.
	skewed bool
	// firstHostSpeed is the speed of the first host; 1 is full speed.
	firstHostSpeed float64
	// joins adds the first host, in the warming state, at the end of the warm-up. leaves
	// drains the last host at that time.
	joins, leaves bool
}

const (
	freshReports = 500 * time.Millisecond
	staleReports = 5 * time.Second
)

func scenarios() []scenario {
	return []scenario{
		{name: "steady", staleness: freshReports, firstHostSpeed: 1},
		{name: "stale reports", staleness: staleReports, firstHostSpeed: 1},
		{name: "skewed", staleness: freshReports, firstHostSpeed: 1, skewed: true},
		{name: "half speed", staleness: freshReports, firstHostSpeed: 0.5},
		{name: "half speed, stale", staleness: staleReports, firstHostSpeed: 0.5},
		{name: "host joins", staleness: freshReports, firstHostSpeed: 1, joins: true},
		{name: "host leaves", staleness: freshReports, firstHostSpeed: 1, leaves: true},
	}
}

// Result holds the metrics of one policy in one scenario on one service.
type Result struct {
	Service  string  `json:"place"`
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Hosts    int     `json:"hosts"`
	Metrics  Metrics `json:"measures"`
}

// Run runs all policies in all scenarios on all services.
func Run(options Options) []Result {
	var results []Result
	for _, sc := range scenarios() {
		for _, w := range workloads() {
			for _, p := range policies() {
				results = append(results, Result{Service: w.name, Scenario: sc.name, Policy: p.name, Hosts: w.hosts})
			}
		}
	}
	group := new(errgroup.Group)
	group.SetLimit(max(options.Workers, 1))
	at := 0
	for _, sc := range scenarios() {
		for number, w := range workloads() {
			for _, p := range policies() {
				result := &results[at]
				at++
				group.Go(func() error {
					result.Metrics = newRun(options, w, uint64(number), sc, p).run()
					return nil
				})
			}
		}
	}
	_ = group.Wait() // no run returns an error
	return results
}
