package demo

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// maxOverMean returns the largest count divided by the mean, or 0 if all counts are zero.
func maxOverMean(counts []int) float64 {
	total, most := 0, 0
	for _, n := range counts {
		total += n
		most = max(most, n)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(counts)) / float64(total)
}

// percentile returns the nearest-rank percentile of values, or 0 if there are none.
func percentile(values []float64, percent float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return sorted[max(0, rank-1)]
}
