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
	first := Measure(smallOptions(), func(Point) {})[0]
	second := Measure(smallOptions(), func(Point) {})[0]
	is.Equal(first.Balancer.SentBytes, second.Balancer.SentBytes)
	is.Equal(first.Balancer.Received, second.Balancer.Received)
	is.Equal(first.Ticket, second.Ticket)
	is.Equal(first.Drain, second.Drain)
	is.Equal(first.Death, second.Death)
	is.Equal(first.Ticket.Late+first.Drain.Late+first.Death.Late, 0)
	is.True(first.Balancer.MostSent <= 20_000)
	is.Equal(first.Watchers, 4)
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
