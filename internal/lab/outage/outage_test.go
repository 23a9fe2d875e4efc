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

// feed earns full credit within 250 ms and late credit within 2 s.
func feed() outage.Kind {
	return outage.Kind{Name: "feed", PerSecond: 100, Credit: 1, LateCredit: 0.3, TargetMS: 250, LimitMS: 2000, WorkMS: 50, Idempotent: true}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 0.002 }

func TestNewFlowsDuringOutage(t *testing.T) {
	is := is.New(t)
	// The window begins with the outage. Copies are sent 0, 200 and 600 ms after a request.
	// For requests of the first 400 ms, the last copy is sent before the machines recover,
	// and the next attempt begins at 1,400 ms. All other requests are late, except those
	// of the last 200 ms of the outage.
	o := outage.Outage{StartMS: 2000, RecoveryMS: 3000}
	got := o.Windows([]outage.Kind{feed()}, 2)
	inTime, late := 1000.0+200, 800.0-50
	is.True(almostEqual(got[0], (inTime+0.3*late+0.3*50)/2000))
	is.True(almostEqual(got[1], 1))
}

func TestRequestsOnLostFlows(t *testing.T) {
	is := is.New(t)
	o := outage.Outage{StartMS: 2000, RecoveryMS: 2100}
	nonIdempotent := feed()
	nonIdempotent.Idempotent, nonIdempotent.TurnoverMS = false, 1e12 // almost every request is the first on its flow since the outage
	is.True(almostEqual(o.Windows([]outage.Kind{nonIdempotent}, 1)[0], 0))
	idempotent := feed()
	idempotent.TurnoverMS = 1e12
	is.True(almostEqual(o.Windows([]outage.Kind{idempotent}, 1)[0], 1)) // repeated on a new flow after the reset
	nonIdempotent.TurnoverMS = 1000
	// At t seconds after the loss, a share e^-t of the requests is on lost flows. The
	// outage itself is short enough to neglect.
	got := o.Windows([]outage.Kind{nonIdempotent}, 1)[0]
	want := 1 - (1-math.Exp(-2))/2
	is.True(math.Abs(got-want) < 0.02)
}

func TestRequestsInProgressAreLost(t *testing.T) {
	is := is.New(t)
	o := outage.Outage{StartMS: 3000, RecoveryMS: 3001}
	got := o.Windows([]outage.Kind{feed()}, 1)[0]
	is.True(almostEqual(got, 1-50.0/2000))
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

// The bounds in docs/PERFORMANCE.md are computed from these files.
func TestExampleFilesAreValid(t *testing.T) {
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
