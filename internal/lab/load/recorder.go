package load

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// maxSamples bounds the samples of breaks and errors that a report shows.
const maxSamples = 50

// maxRecent bounds the errors that a snapshot shows for each service.
const maxRecent = 5

// Class is a kind of request.
type Class string

// Classes of requests.
const (
	ClassOpen    Class = "open"
	ClassPoll    Class = "poll"
	ClassFeed    Class = "feed"
	ClassSheet   Class = "sheet"
	ClassBooking Class = "booking"
)

// Classes lists all classes in the order of reports.
var Classes = []Class{ClassOpen, ClassPoll, ClassFeed, ClassSheet, ClassBooking}

// recorder collects the outcomes of one target. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu       sync.Mutex // guards the fields below
	classes  map[Class]*classRecord
	servers  map[string]int
	windows  []map[string]int // answers of each server in each window
	broken   int
	brokenBy map[string]int
	cutBy    map[string]int
	slowest  time.Duration // since the last snapshot
	recent   []string      // errors since the last snapshot
	inUse    int
	graceful int
	breaks   []BrokenFlow
	errors   []string
	bookings [][]Attempt
	skipped  int
}

type classRecord struct {
	latency  *hdrhistogram.Histogram
	verdicts map[caller.Verdict]int
	bytes    int64
}

// BrokenFlow describes one broken flow.
type BrokenFlow struct {
	// Seconds is when it broke, counted from the start of the run.
	Seconds float64 `json:"seconds"`
	// Agent is the agent or backend server that answered last on it, if known.
	Agent string `json:"agent,omitempty"`
	// InUse reports that requests were under way.
	InUse bool `json:"inUse"`
	// Cause is the error that ended the connection.
	Cause string `json:"cause"`
}

func newRecorder(start time.Time) *recorder {
	r := &recorder{
		start:    start,
		classes:  make(map[Class]*classRecord),
		servers:  make(map[string]int),
		brokenBy: make(map[string]int),
		cutBy:    make(map[string]int),
	}
	for _, c := range Classes {
		r.classes[c] = &classRecord{
			latency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
			verdicts: make(map[caller.Verdict]int),
		}
	}
	return r
}

// record counts an answer; its latency runs from the intended start.
func (r *recorder) record(c Class, intended time.Time, a caller.Answer) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(c, now, a)
	if a.Verdict != caller.Answered {
		return
	}
	if c != ClassFeed {
		r.slowest = max(r.slowest, now.Sub(intended))
	}
	micros := min(max(now.Sub(intended).Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = r.classes[c].latency.RecordValue(micros) // within the bounds
	if a.Server != "" {
		r.countServer(now, a.Server)
	}
}

// retried counts a try that is followed by another one.
func (r *recorder) retried(c Class, a caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(c, time.Now(), a)
}

// count counts one try; the caller holds r.mu.
func (r *recorder) count(c Class, now time.Time, a caller.Answer) {
	record := r.classes[c]
	record.verdicts[a.Verdict]++
	record.bytes += a.Bytes
	if a.Verdict == caller.Cut {
		r.cutBy[a.Agent]++
	}
	switch a.Verdict {
	case caller.Answered, caller.KeyNeeded, caller.NotRun, caller.InProgress:
	default:
		r.sample(c, now, a)
	}
}

func (r *recorder) sample(c Class, now time.Time, a caller.Answer) {
	if a.Err == nil {
		return
	}
	text := fmt.Sprintf("%.1fs %s %s by %q: %v", now.Sub(r.start).Seconds(), c, a.Verdict, a.Agent, a.Err)
	if len(r.errors) < maxSamples {
		r.errors = append(r.errors, text)
	}
	if len(r.recent) < maxRecent {
		r.recent = append(r.recent, text)
	}
}

func (r *recorder) countServer(now time.Time, server string) {
	r.servers[server]++
	window := max(0, int(now.Sub(r.start)/imbalanceWindow))
	for len(r.windows) <= window {
		r.windows = append(r.windows, make(map[string]int))
	}
	r.windows[window][server]++
}

// end counts the end of a connection.
func (r *recorder) end(e caller.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.Broken {
		r.graceful++
		return
	}
	r.broken++
	r.brokenBy[e.Agent]++
	if e.InUse {
		r.inUse++
	}
	if len(r.breaks) < maxSamples {
		r.breaks = append(r.breaks, BrokenFlow{
			Seconds: e.At.Sub(r.start).Seconds(),
			Agent:   e.Agent,
			InUse:   e.InUse,
			Cause:   fmt.Sprint(e.Cause),
		})
	}
}

func (r *recorder) booked(attempts []Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, slices.Clone(attempts))
}

func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// totals returns the numbers of a progress line.
func (r *recorder) totals() (answered, others, broken int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		for v, n := range c.verdicts {
			if v == caller.Answered {
				answered += n
			} else {
				others += n
			}
		}
	}
	return answered, others, r.broken
}
