package load

import (
	"maps"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
)

// Snapshot holds the counters of a run at one time, summed over all services.
type Snapshot struct {
	// Verdicts counts requests by verdict, including each retry.
	Verdicts map[caller.Verdict]int
	// BrokenBy counts broken flows by the agent that answered last.
	BrokenBy map[string]int
	// CutBy counts cut requests by the agent that answered last.
	CutBy map[string]int
	// Moved counts connections that were closed gracefully.
	Moved int
	// Slowest is the longest latency since the last snapshot, excluding feeds.
	Slowest time.Duration
	// Errors are the first errors since the last snapshot.
	Errors []string
}

// Snapshot returns the counters and resets Slowest and Errors.
func (s *Session) Snapshot() Snapshot {
	out := Snapshot{
		Verdicts: make(map[caller.Verdict]int),
		BrokenBy: make(map[string]int),
		CutBy:    make(map[string]int),
	}
	for _, t := range s.run.targets {
		t.recorder.addTo(&out)
	}
	return out
}

func (r *recorder) addTo(s *Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		addCounts(s.Verdicts, c.verdicts)
	}
	addCounts(s.BrokenBy, r.brokenBy)
	addCounts(s.CutBy, r.cutBy)
	s.Moved += r.graceful
	s.Slowest = max(s.Slowest, r.slowest)
	r.slowest = 0
	s.Errors = append(s.Errors, r.recentErrors...)
	r.recentErrors = nil
}

// Since returns the difference between s and the earlier snapshot before. Slowest and
// Errors are copied from s, because Snapshot resets them.
func (s Snapshot) Since(before Snapshot) Snapshot {
	return Snapshot{
		Verdicts: subtract(s.Verdicts, before.Verdicts),
		BrokenBy: subtract(s.BrokenBy, before.BrokenBy),
		CutBy:    subtract(s.CutBy, before.CutBy),
		Moved:    s.Moved - before.Moved,
		Slowest:  s.Slowest,
		Errors:   s.Errors,
	}
}

func addCounts[K comparable](to, from map[K]int) {
	for k, n := range from {
		to[k] += n
	}
}

// subtract returns the differences between the counts and omits zeros.
func subtract[K comparable](after, before map[K]int) map[K]int {
	out := maps.Clone(after)
	for k, n := range before {
		out[k] -= n
	}
	maps.DeleteFunc(out, func(_ K, n int) bool { return n == 0 })
	return out
}
