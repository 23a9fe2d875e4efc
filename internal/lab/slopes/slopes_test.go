package slopes

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func smallOptions() Options {
	return Options{
		Nodes: []int{16}, AgentsPerBalancer: 3, DataCentres: 2, Services: 2, Loss: 0.05,
		Window: 10 * time.Second, Churn: 20, Trials: 2, BytesPerSecond: 20_000, Seed: 7,
	}
}

func TestMeasureRepeatsExactly(t *testing.T) {
	is := is.New(t)
	one := Measure(smallOptions(), func(Point) {})[0]
	two := Measure(smallOptions(), func(Point) {})[0]
	is.Equal(one.Balancer.SentBytes, two.Balancer.SentBytes)
	is.Equal(one.Balancer.Received, two.Balancer.Received)
	is.Equal(one.Ticket, two.Ticket)
	is.Equal(one.Drain, two.Drain)
	is.Equal(one.Death, two.Death)
	is.Equal(one.Ticket.Late+one.Drain.Late+one.Death.Late, 0)
	is.True(one.Balancer.MostSent <= 20_000)
	is.Equal(one.Watchers, 4)
}

func TestFitFindsTheLine(t *testing.T) {
	is := is.New(t)
	var points []Point
	for _, n := range []int{50, 100, 200, 400} {
		points = append(points, Point{Nodes: n, Balancer: Cost{TotalSent: 100 + 3*float64(n)}})
	}
	f := Fits(points)[0]
	is.True(f.Slope > 2.999 && f.Slope < 3.001)
	is.True(f.Intercept > 99.9 && f.Intercept < 100.1)
}

func TestStateGrowsWithItsMembers(t *testing.T) {
	is := is.New(t)
	small, err := MeasureState(10, 90, 10, 2)
	is.NoErr(err)
	large, err := MeasureState(100, 900, 100, 2)
	is.NoErr(err)
	is.True(large.TableSnapshot > 9*small.TableSnapshot)
	is.True(large.CatalogSnapshot > 9*small.CatalogSnapshot)
}
