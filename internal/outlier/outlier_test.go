package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/outlier"
)

var start = time.Unix(2_000_000_000, 0)

// record records results, one a millisecond: '+' is a success, '-' a failure.
func record(d *outlier.Detector, now time.Time, results string) time.Time {
	for _, result := range results {
		now = now.Add(time.Millisecond)
		d.Record(now, result == '-')
	}
	return now
}

func TestJudgement(t *testing.T) {
	for _, test := range []struct {
		name, results string
		avoided       bool
	}{
		{"no results", "", false},
		{"single failures", "++++++-+++++++++-+++++++++-", false},
		{"two in a row", "+++++--++++++++", false},
		{"three in a row", "+++++---", true},
		{"three in a row at the start", "---", true},
		{"four of ten", "+-+-+-+-++", false},
		{"six of twelve", "+-+-+-+-+-+-", true},
		{"many failures long ago", "-+-+-+-+-+" + "++++++++++++++++++++", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d outlier.Detector
			record(&d, start, test.results)
			is.Equal(d.Avoided(), test.avoided)
		})
	}
}

func TestTestsOfAnAvoidedBackend(t *testing.T) {
	is := is.New(t)
	var d outlier.Detector
	is.True(d.Admit(start, false))
	now := record(&d, start, "---")
	is.True(!d.Admit(now, true))
	is.True(!d.Admit(now.Add(249*time.Millisecond), true))
	now = now.Add(250 * time.Millisecond)
	is.True(!d.Admit(now, false)) // its request may not be repeated
	is.True(d.Admit(now, true))
	is.True(!d.Admit(now, true)) // one test for each pause
	is.True(d.Admit(now.Add(250*time.Millisecond), true))
	is.True(d.Admit(now.Add(250*time.Millisecond+5*250*time.Millisecond), false)) // no other flow came
}

func TestRecovery(t *testing.T) {
	is := is.New(t)
	var d outlier.Detector
	now := record(&d, start, "---")
	now = record(&d, now, "++++")
	is.True(d.Avoided()) // these requests had begun before
	now = now.Add(250 * time.Millisecond)
	is.True(d.Admit(now, true))
	now = record(&d, now, "+")
	is.True(d.Avoided())
	is.True(d.Admit(now, true)) // the next test follows at once
	record(&d, now, "+")
	is.True(!d.Avoided())
}

// Each relapse doubles the pause up to four seconds; a backend server that has worked for long starts anew.
func TestPauseGrowsWithEachRelapse(t *testing.T) {
	is := is.New(t)
	var d outlier.Detector
	now := start
	for _, want := range []time.Duration{250, 500, 1000, 2000, 4000, 4000} {
		now = record(&d, now, "---")
		is.True(!d.Admit(now.Add(want*time.Millisecond-1), true))
		now = now.Add(want * time.Millisecond)
		is.True(d.Admit(now, true))
		now = record(&d, now, "++")
		is.True(!d.Avoided())
	}
	now = record(&d, now.Add(time.Minute), "---")
	is.True(d.Admit(now.Add(250*time.Millisecond), true))
}

func TestForget(t *testing.T) {
	is := is.New(t)
	var d outlier.Detector
	now := record(&d, start, "---")
	d.Forget()
	is.True(!d.Avoided())
	is.True(d.Admit(now, false))
}

// TestBlackHole plays one backend server of eight that breaks each request at once. It is always the least
// busy one, so without the detector it attracts most new flows.
func TestBlackHole(t *testing.T) {
	is := is.New(t)
	without, with := playBlackHole(false), playBlackHole(true)
	t.Logf("failed requests: %d without the detector, %d with it", without, with)
	is.True(without > 1500)
	is.True(with < 50)
}

// playBlackHole returns the failed requests among those of ten seconds, one every two milliseconds.
func playBlackHole(detect bool) int {
	const (
		backends = 8
		requests = 5000
		gap      = 2 * time.Millisecond
		work     = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	var detectors [backends]outlier.Detector
	var busy [backends][]time.Time // ends of the requests in progress
	failed := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * gap)
		best := -1
		for b := range backends {
			for len(busy[b]) > 0 && !now.Before(busy[b][0]) {
				busy[b] = busy[b][1:]
				detectors[b].Record(now, false)
			}
			if detect && !detectors[b].Admit(now, true) {
				continue
			}
			if best < 0 || len(busy[b]) < len(busy[best]) || len(busy[b]) == len(busy[best]) && random.IntN(2) == 0 {
				best = b
			}
		}
		if best == 0 {
			detectors[0].Record(now, true)
			failed++
			continue
		}
		busy[best] = append(busy[best], now.Add(work))
	}
	return failed
}

func BenchmarkAdmitAndRecord(b *testing.B) {
	var d outlier.Detector
	b.ReportAllocs()
	for b.Loop() {
		if d.Admit(start, true) {
			d.Record(start, false)
		}
	}
}
