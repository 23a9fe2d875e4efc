package request

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks, so that each run gives the same result. Flags
// on the command line take precedence, for longer searches.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "1", "rapid.checks": "10000", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSystemRunsAtMostOnceAndNotRunIsTrue checks for random orders of messages, failures and
// restarts that a non-repeatable request runs at most once in the whole system, also if its key is
// reused at another agent; that a request reported as not run never runs; and that each answer
// belongs to its request.
func TestSystemRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.newRequest()
		w.newRequest()
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			w.step()
		}
		for range 400 {
			w.deliver(false)
		}
		w.check()
	})
}

// step delivers a message, or changes the state of the system in another way that is drawn at
// random.
func (w *simulation) step() {
	pauses := []time.Duration{0, time.Millisecond, 3 * time.Second, 20 * time.Minute, 25 * time.Hour}
	a := w.agents[w.drawIndex("agent", len(w.agents))]
	switch n := w.drawIndex("step", 100); {
	case n < 4:
		w.newRequest()
	case n < 74:
		w.deliver(true)
	case n < 92:
		w.interrupt()
	case n < 95:
		w.restart(a)
	case n < 98:
		a.draining = !a.draining
	default:
		w.now = w.now.Add(pauses[w.drawIndex("pause", len(pauses))])
	}
}
