package load

import (
	"math"
	"slices"
	"time"
)

const (
	// imbalanceWindow is the length of the windows over which imbalance is computed.
	imbalanceWindow = time.Second
	// minWindowAnswers is the minimum number of answers per server in a window; with
	// fewer, the ratio reflects chance rather than imbalance.
	minWindowAnswers = 20
)

// Imbalance describes how unevenly answers and flows were spread over the backend
// servers of a service.
type Imbalance struct {
	// Servers counts the answers of each backend server.
	Servers map[string]int `json:"servers"`
	// MaxOverMean is the number of answers of the busiest server divided by the mean of all
	// servers, over the whole run.
	MaxOverMean float64 `json:"maxOverMean"`
	// WindowP99 is the 99th percentile of MaxOverMean computed for each window of one
	// second.
	WindowP99 float64 `json:"windowP99"`
	// Windows is the number of windows with enough answers for WindowP99.
	Windows int `json:"windows"`
	// FlowMaxOverMean is the largest number of long flows of an agent divided by the mean
	// of all agents, at the end of the run.
	FlowMaxOverMean float64 `json:"flowMaxOverMean"`
	// Flows counts the long flows of each agent at the end of the run.
	Flows map[string]int `json:"flows"`
}

func newImbalance(servers int, total map[string]int, windows []map[string]int, flows map[string]int) Imbalance {
	im := Imbalance{
		Servers:         total,
		MaxOverMean:     maxOverMean(total, servers),
		Flows:           flows,
		FlowMaxOverMean: maxOverMean(flows, servers),
	}
	var ratios []float64
	for _, w := range windows {
		if sum(w) >= minWindowAnswers*max(servers, len(w)) {
			ratios = append(ratios, maxOverMean(w, servers))
		}
	}
	im.Windows = len(ratios)
	im.WindowP99 = percentile(ratios, 0.99)
	return im
}

// maxOverMean returns the largest count divided by the mean over all servers, including
// servers without a count. It returns 0 if the total is 0.
func maxOverMean(counts map[string]int, servers int) float64 {
	total := sum(counts)
	if total == 0 {
		return 0
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(max(servers, len(counts))) / float64(total)
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// percentile returns the nearest-rank percentile of values, or 0 if values is empty.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(p*float64(len(sorted)))) - 1
	return sorted[max(0, rank)]
}
