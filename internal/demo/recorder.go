package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// keptSamples bounds the samples of failures that a recorder keeps.
const keptSamples = 20

// recorder collects what the callers of one service get. It is safe for
// concurrent use; its lock is never held together with another.
type recorder struct {
	start time.Time
	owner map[string]string // service of each backend server

	mu       sync.Mutex // guards the fields below
	result   serviceResult
	bookings [][]attempt
}

func newRecorder(start time.Time, name string, planned []class) *recorder {
	r := &recorder{start: start, owner: serviceOf()}
	r.result = serviceResult{name: name, planned: planned, classes: make(map[class]*classResult)}
	for _, c := range planned {
		r.result.classes[c] = &classResult{verdicts: make(map[caller.Verdict]int), latency: newHistogram(), calm: newHistogram()}
	}
	return r
}

// answer notes any answer of a backend server, the last of its request or not.
func (r *recorder) answer(a caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Verdict == caller.NotRun {
		r.result.notRun++
	}
	if a.Server == "" {
		return
	}
	if r.owner[a.Server] != r.result.name {
		r.result.wrongService++
		r.sample("answer of " + a.Server)
	}
	window := max(0, int(time.Since(r.start)/time.Second))
	for len(r.result.windows) <= window {
		r.result.windows = append(r.result.windows, make(map[string]int))
	}
	r.result.windows[window][a.Server]++
}

// finish notes the last answer to a request. Its latency runs from the intended
// start, so that a stall is not hidden by requests that were sent late.
func (r *recorder) finish(c class, intended time.Time, a caller.Answer) {
	now := time.Now()
	micros := min(max(now.Sub(intended).Microseconds(), minLatencyMicros), maxLatencyMicros)
	calm := now.Before(r.start.Add(killAt)) || intended.After(r.start.Add(killAt+disturbance))
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result.classes[c]
	result.verdicts[a.Verdict]++
	if a.Verdict != caller.Answered {
		r.sample(fmt.Sprintf("%s %s: %v", c, a.Verdict, a.Err))
		return
	}
	_ = result.latency.RecordValue(micros) // within the bounds
	if calm {
		_ = result.calm.RecordValue(micros)
	}
}

// ended notes the end of a connection that its caller did not end.
func (r *recorder) ended(e caller.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.Broken {
		r.result.flowsMoved++
		return
	}
	r.result.flowsBroken++
	r.sample(fmt.Sprintf("flow of agent %s broken after %v: %v", e.Agent, e.Age.Round(time.Millisecond), e.Cause))
}

// closed notes the connections of a flow that its caller is done with.
func (r *recorder) closed(connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.flowsOpened += connections
}

func (r *recorder) booked(attempts []attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, attempts)
}

// sample keeps a failure in words, with its time. The lock is held.
func (r *recorder) sample(text string) {
	if len(r.result.samples) < keptSamples {
		r.result.samples = append(r.result.samples, fmt.Sprintf("%.1f s: %s", time.Since(r.start).Seconds(), text))
	}
}

// totals returns the numbers of a progress line.
func (r *recorder) totals() (requests, broken, cut int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result.requests(), r.result.flowsBroken, r.result.cut()
}

// close returns the result, with the bookings compared to the ledgers.
func (r *recorder) close(runs ledger) *serviceResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.bookings = checkBookings(r.bookings, runs, serverNames(r.result.name))
	r.result.wrongService += len(r.result.bookings.elsewhere)
	return &r.result
}
