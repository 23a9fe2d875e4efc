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

// maxSamples bounds the broken flows and the errors that a report lists.
const maxSamples = 50

// maxRecentErrors bounds the errors of each service that a snapshot lists.
const maxRecentErrors = 5

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

// Classes lists all classes in the order in which reports show them.
var Classes = []Class{ClassOpen, ClassPoll, ClassFeed, ClassSheet, ClassBooking}

// recorder collects the outcomes of one target. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu           sync.Mutex // guards the fields below
	classes      map[Class]*classRecord
	servers      map[string]int
	windows      []map[string]int // answers of each server in each imbalanceWindow
	broken       int
	brokenBy     map[string]int
	cutBy        map[string]int
	slowest      time.Duration // longest latency since the last snapshot
	recentErrors []string      // errors since the last snapshot
	brokenInUse  int
	graceful     int
	breaks       []BrokenFlow
	errors       []string
	bookings     [][]Attempt
	skipped      int
}

type classRecord struct {
	latency  *hdrhistogram.Histogram
	verdicts map[caller.Verdict]int
	bytes    int64
}

// BrokenFlow describes a connection that was not closed gracefully.
type BrokenFlow struct {
	// Seconds is the time when the connection ended, in seconds since the run began to open
	// its long flows.
	Seconds float64 `json:"seconds"`
	// Agent is the agent or backend server that answered last on the connection, if known.
	Agent string `json:"agent,omitempty"`
	// InUse reports whether requests were in flight when the connection ended.
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

// record counts the final answer to a request. If the verdict is Answered, it also records
// the latency since the intended start.
func (r *recorder) record(c Class, intended time.Time, a caller.Answer) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countTry(c, now, a)
	if a.Verdict != caller.Answered {
		return
	}
	if c != ClassFeed {
		r.slowest = max(r.slowest, now.Sub(intended))
	}
	micros := min(max(now.Sub(intended).Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = r.classes[c].latency.RecordValue(micros) // cannot fail: micros is within the bounds
	if a.Server != "" {
		r.countServer(now, a.Server)
	}
}

// recordRetry counts an answer that is followed by a retry.
func (r *recorder) recordRetry(c Class, a caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countTry(c, time.Now(), a)
}

// countTry counts the verdict of one answer; the caller holds r.mu.
func (r *recorder) countTry(c Class, now time.Time, a caller.Answer) {
	record := r.classes[c]
	record.verdicts[a.Verdict]++
	record.bytes += a.Bytes
	if a.Verdict == caller.Cut {
		r.cutBy[a.Agent]++
	}
	switch a.Verdict {
	case caller.Answered, caller.KeyNeeded, caller.NotRun, caller.InProgress:
	default:
		r.addErrorSample(c, now, a)
	}
}

// addErrorSample keeps the error of an answer for reports and snapshots; the caller
// holds r.mu.
func (r *recorder) addErrorSample(c Class, now time.Time, a caller.Answer) {
	if a.Err == nil {
		return
	}
	text := fmt.Sprintf("%.1fs %s %s by %q: %v", now.Sub(r.start).Seconds(), c, a.Verdict, a.Agent, a.Err)
	if len(r.errors) < maxSamples {
		r.errors = append(r.errors, text)
	}
	if len(r.recentErrors) < maxRecentErrors {
		r.recentErrors = append(r.recentErrors, text)
	}
}

// countServer counts an answer of a server in the current window; the caller holds r.mu.
func (r *recorder) countServer(now time.Time, server string) {
	r.servers[server]++
	window := max(0, int(now.Sub(r.start)/imbalanceWindow))
	for len(r.windows) <= window {
		r.windows = append(r.windows, make(map[string]int))
	}
	r.windows[window][server]++
}

// recordEnd counts the end of a connection.
func (r *recorder) recordEnd(e caller.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.Broken {
		r.graceful++
		return
	}
	r.broken++
	r.brokenBy[e.Agent]++
	if e.InUse {
		r.brokenInUse++
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

// recordBooking stores the attempts of a finished booking.
func (r *recorder) recordBooking(attempts []Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, slices.Clone(attempts))
}

// recordSkipped counts an arrival for which no request was sent.
func (r *recorder) recordSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// totals returns the counts for a progress line.
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
