// Package outlier detects from the results of requests that one backend server fails while its reports look
// good (passive outlier detection).
//
// It answers the load pattern of a black hole: a backend server that refuses or breaks its requests at once is
// always the least busy one, so it attracts more new flows than any other, and the callers' few retries meet it
// again. While the detector avoids the backend server, its agent sends new flows to other agents. Single flows
// test the backend server after a pause that grows with each relapse, and only flows whose requests may be
// repeated are used for tests.
//
// Requests on open flows count as results, too. The package knows no time except the arguments of its methods.
package outlier

import (
	"math/bits"
	"time"
)

const (
	// consecutiveFailures is the number of failed requests in a row from which a backend server is avoided.
	consecutiveFailures = 3
	// windowSize is the number of last results that the failure rate is computed from; it must not exceed
	// the bits of Detector.window. minResults is the number needed for a rate.
	windowSize = 20
	minResults = 10
	// maxFailures is the number of failures among windowSize results that is still tolerated.
	maxFailures = windowSize / 4
	// requiredSuccesses is the number of successes in a row after which a backend server is used again.
	requiredSuccesses = 2
)

const (
	// minPause and maxPause bound the pause before a test of an avoided backend server.
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
	// nonIdempotentDelay is the number of pauses without a test after which a flow whose requests may not be
	// repeated serves as a test: a service may have no other flows.
	nonIdempotentDelay = 4
	// relapseTime is the time after a recovery within which the next failure counts as a relapse, which
	// doubles the pause.
	relapseTime = 10 * time.Second
)

// Detector judges one backend server. The zero value trusts it. It is not safe for concurrent use.
type Detector struct {
	// window holds the last results, a set bit for a failure; results counts them up to windowSize.
	window  uint32
	results int
	// failures and successes count the last equal results in a row.
	failures, successes int
	avoided             bool
	pause               time.Duration
	// avoidedUntil is the end of the first pause. Until then successes do not count: they belong to requests
	// that had begun before.
	avoidedUntil, nextTest, recovered time.Time
}

// Avoided reports whether the backend server is currently avoided.
func (d *Detector) Avoided() bool { return d.avoided }

// Admit reports whether a new flow may go to the backend server. While it is avoided, one flow is admitted for
// each pause, as a test. Flows whose requests may be repeated (idempotent) come first.
func (d *Detector) Admit(now time.Time, idempotent bool) bool {
	if !d.avoided {
		return true
	}
	testTime := d.nextTest
	if !idempotent {
		testTime = testTime.Add(nonIdempotentDelay * d.pause)
	}
	if now.Before(testTime) {
		return false
	}
	d.nextTest = now.Add(d.pause)
	return true
}

// Record records whether a request failed, and reports whether the judgement changed.
func (d *Detector) Record(now time.Time, failed bool) bool {
	if d.avoided && !failed && now.Before(d.avoidedUntil) {
		return false
	}
	d.count(failed)
	switch {
	case !d.avoided && d.isFailing():
		d.avoid(now)
		return true
	case d.avoided && !failed && d.successes >= requiredSuccesses:
		d.reset()
		d.recovered = now
		return true
	case d.avoided && !failed:
		d.nextTest = now // the next test may follow at once
	}
	return false
}

// Forget discards all results, because the backend server has restarted.
func (d *Detector) Forget() {
	d.reset()
	d.pause = 0
}

func (d *Detector) count(failed bool) {
	d.window <<= 1
	d.results = min(d.results+1, windowSize)
	if failed {
		d.window |= 1
		d.failures++
		d.successes = 0
		return
	}
	d.successes++
	d.failures = 0
}

func (d *Detector) isFailing() bool {
	failures := bits.OnesCount32(d.window & (1<<windowSize - 1))
	rateTooHigh := d.results >= minResults && failures > maxFailures
	return rateTooHigh || d.failures >= consecutiveFailures
}

func (d *Detector) avoid(now time.Time) {
	isRelapse := d.pause > 0 && now.Sub(d.recovered) < relapseTime
	if isRelapse {
		d.pause = min(2*d.pause, maxPause)
	} else {
		d.pause = minPause
	}
	d.avoided = true
	d.successes = 0
	d.avoidedUntil = now.Add(d.pause)
	d.nextTest = d.avoidedUntil
}

func (d *Detector) reset() {
	d.window, d.results, d.failures, d.successes, d.avoided = 0, 0, 0, 0, false
}
