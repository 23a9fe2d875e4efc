package outage_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/outage"
)

// limitedFeed returns an input with 100 requests of 50 ms a second at a service with slots.
func limitedFeed(slots float64) outage.Input {
	k := feed()
	k.Service = "s"
	return outage.Input{Kinds: []outage.Kind{k}, Services: []outage.Service{{Name: "s", Slots: slots, WarmupMS: 2000, WarmupFactor: 1.6}}}
}

func TestScheduleWithEnoughCapacityIsTheBound(t *testing.T) {
	is := is.New(t)
	in := limitedFeed(1000)
	in.Services[0].WarmupMS = 0
	o := outage.Outage{StartMS: 2000, RecoveryMS: 3000}
	bound, got := o.Windows(in.Kinds, 3), in.Schedule(o, 3)
	for i := range bound {
		is.True(almostEqual(got[i], bound[i]))
	}
}

func TestScheduleWithoutServicesIsTheBound(t *testing.T) {
	is := is.New(t)
	in := limitedFeed(1)
	in.Services = nil
	o := outage.Outage{StartMS: 2000, RecoveryMS: 3000}
	is.True(almostEqual(in.Schedule(o, 2)[0], o.Windows(in.Kinds, 2)[0]))
}

// Five slots are needed for the load, eight while the backend servers warm up.
func TestScarceCapacityLowersTheCredit(t *testing.T) {
	is := is.New(t)
	o := outage.Outage{StartMS: 2000, RecoveryMS: 3000}
	scarce, ample := limitedFeed(9).Schedule(o, 3), limitedFeed(30).Schedule(o, 3)
	is.True(scarce[0] < ample[0])
	is.True(scarce[1] <= ample[1])
	none := limitedFeed(0.001).Schedule(o, 1)
	is.True(none[0] < 0.01) // the requests of the outage's window are never served
}
