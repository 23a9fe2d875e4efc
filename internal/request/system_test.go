package request

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that each run gives the same verdict; flags given
// on the command line win, for longer searches.
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

// TestSystemRunsAtMostOnceAndNotRunIsTrue checks over random orders of events:
// a request that must not be repeated runs at most once in the whole system,
// also when its key is used again elsewhere; what callers are told was not run
// never runs; and an answer is the answer of its own request.
func TestSystemRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.newAsk()
		w.newAsk()
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

func (w *world) step() {
	pauses := []time.Duration{0, time.Millisecond, 3 * time.Second, 20 * time.Minute, 25 * time.Hour}
	a := w.agents[w.pick("agent", len(w.agents))]
	switch n := w.pick("step", 100); {
	case n < 4:
		w.newAsk()
	case n < 74:
		w.deliver(true)
	case n < 92:
		w.breakOff()
	case n < 95:
		w.restart(a)
	case n < 98:
		a.draining = !a.draining
	default:
		w.now = w.now.Add(pauses[w.pick("pause", len(pauses))])
	}
}
