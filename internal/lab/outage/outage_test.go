package outage_test

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/outage"
)

// feed is answered in time within 250 ms, and late within 2 s.
func feed() outage.Kind {
	return outage.Kind{Name: "feed", PerSecond: 100, Credit: 1, LateCredit: 0.3, TargetMS: 250, LimitMS: 2000, WorkMS: 50, Idempotent: true}
}

func near(a, b float64) bool { return math.Abs(a-b) < 0.002 }

func TestFreshRequestsWaitForTheMachines(t *testing.T) {
	is := is.New(t)
	// The window begins with the outage. Copies go out 0, 200 and 600 ms after a request:
	// those of the first 400 ms end before the machines are back, and a new attempt
	// begins at 1,400 ms. All others are late, but for the last 200 ms before the end.
	o := outage.Outage{StartMS: 2000, RecoveryMS: 3000}
	got := o.Windows([]outage.Kind{feed()}, 2)
	inTime, late := 1000.0+200, 800.0-50
	is.True(near(got[0], (inTime+0.3*late+0.3*50)/2000))
	is.True(near(got[1], 1))
}

func TestRequestsOnLostFlows(t *testing.T) {
	is := is.New(t)
	o := outage.Outage{StartMS: 2000, RecoveryMS: 2100}
	order := feed()
	order.Idempotent, order.TurnoverMS = false, 1e12 // each is the first on its flow
	is.True(near(o.Windows([]outage.Kind{order}, 1)[0], 0))
	again := feed()
	again.TurnoverMS = 1e12
	is.True(near(o.Windows([]outage.Kind{again}, 1)[0], 1)) // repeated after a reset
	order.TurnoverMS = 1000
	// Flows are lost to a share of e^-t; the outage itself is short.
	got := o.Windows([]outage.Kind{order}, 1)[0]
	want := 1 - (1-math.Exp(-2))/2
	is.True(math.Abs(got-want) < 0.02)
}

func TestRequestsAtWorkAreLost(t *testing.T) {
	is := is.New(t)
	o := outage.Outage{StartMS: 3000, RecoveryMS: 3001}
	got := o.Windows([]outage.Kind{feed()}, 1)[0]
	is.True(near(got, 1-50.0/2000))
}

func TestCheck(t *testing.T) {
	good := outage.Input{Kinds: []outage.Kind{feed()}, Outages: []outage.Outage{{Name: "a", StartMS: 1, RecoveryMS: 2}}}
	is.New(t).NoErr(good.Check())
	for name, change := range map[string]func(*outage.Input){
		"no kinds":         func(in *outage.Input) { in.Kinds = nil },
		"no outages":       func(in *outage.Input) { in.Outages = nil },
		"no rate":          func(in *outage.Input) { in.Kinds = []outage.Kind{{Credit: 1, TargetMS: 1, LimitMS: 1}} },
		"limit before aim": func(in *outage.Input) { in.Kinds = []outage.Kind{{PerSecond: 1, Credit: 1, TargetMS: 2, LimitMS: 1}} },
		"ends too soon":    func(in *outage.Input) { in.Outages = []outage.Outage{{StartMS: 2, RecoveryMS: 2}} },
	} {
		t.Run(name, func(t *testing.T) {
			in := good
			change(&in)
			is.New(t).True(errkind.Is(in.Check(), errkind.Invalid))
		})
	}
}

// The bounds that docs/PERFORMANCE.md shows come from these files.
func TestExamplesCanBeUsed(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../../examples/outage-*.json")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		var in outage.Input
		is.NoErr(json.Unmarshal(text, &in))
		is.NoErr(in.Check())
	}
}
