package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// maxKeptSamples bounds the samples of failures that a recorder keeps.
const maxKeptSamples = 20

// recorder collects the results of the callers of one service. It is safe for
// concurrent use; its lock is never held together with another.
type recorder struct {
	start time.Time
	owner map[string]string // service of each backend server

	mu       sync.Mutex // guards the fields below
	result   serviceResult
	bookings [][]attempt
}

func newRecorder(start time.Time, name string, planned []class) *recorder {
	r := &recorder{start: start, owner: serviceByServer()}
	r.result = serviceResult{name: name, planned: planned, classes: make(map[class]*classResult)}
	for _, c := range planned {
		r.result.classes[c] = &classResult{verdicts: make(map[caller.Verdict]int), latency: newHistogram(), undisturbed: newHistogram()}
	}
	return r
}

// answer records an answer, including an answer after which the request is sent
// again.
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
		r.addSample("answer of " + a.Server)
	}
	window := max(0, int(time.Since(r.start)/time.Second))
	for len(r.result.windows) <= window {
		r.result.windows = append(r.result.windows, make(map[string]int))
	}
	r.result.windows[window][a.Server]++
}

// finish records the last answer to a request. Latency counts from the intended
// start of the request, so that it includes the delay of requests that a stall
// held back.
func (r *recorder) finish(c class, intended time.Time, a caller.Answer) {
	now := time.Now()
	micros := min(max(now.Sub(intended).Microseconds(), minLatencyMicros), maxLatencyMicros)
	undisturbed := now.Before(r.start.Add(killAt)) || intended.After(r.start.Add(killAt+killEffect))
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result.classes[c]
	result.verdicts[a.Verdict]++
	if a.Verdict != caller.Answered {
		r.addSample(fmt.Sprintf("%s %s: %v", c, a.Verdict, a.Err))
		return
	}
	_ = result.latency.RecordValue(micros) // within the bounds
	if undisturbed {
		_ = result.undisturbed.RecordValue(micros)
	}
}

// connectionEnded records the end of a connection that its caller did not close.
func (r *recorder) connectionEnded(e caller.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.Broken {
		r.result.flowsMoved++
		return
	}
	r.result.flowsBroken++
	r.addSample(fmt.Sprintf("flow of agent %s broken after %v: %v", e.Agent, e.Age.Round(time.Millisecond), e.Cause))
}

// flowClosed records the number of connections of a flow, after the caller has
// closed the flow.
func (r *recorder) flowClosed(connections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.flowsOpened += connections
}

// addBooking records the attempts of a booking.
func (r *recorder) addBooking(attempts []attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, attempts)
}

// addSample keeps the description of a failure, with its time. The caller holds r.mu.
func (r *recorder) addSample(text string) {
	if len(r.result.samples) < maxKeptSamples {
		r.result.samples = append(r.result.samples, fmt.Sprintf("%.1f s: %s", time.Since(r.start).Seconds(), text))
	}
}

// totals returns the counts for a progress line.
func (r *recorder) totals() (requests, broken, cut int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result.requests(), r.result.flowsBroken, r.result.cut()
}

// close compares the bookings with the ledgers and returns the result.
func (r *recorder) close(runs ledger) *serviceResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.bookings = checkBookings(r.bookings, runs, serverNames(r.result.name))
	r.result.wrongService += len(r.result.bookings.elsewhere)
	return &r.result
}
