package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
)

var errDown = errkind.New(errkind.Unavailable, "store is down", "wait")

// readsOf simulates processes that start within startSpread and read the rosters for a time. It returns the reads in each
// second. The view of each process and the results of its reads do not change.
func readsOf(processes int, v View, err error, seconds int) []int {
	const startSpread, step = 300 * time.Millisecond, 100 * time.Millisecond
	start := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 2))
	reads := make([]int, seconds)
	for range processes {
		now := start.Add(fraction(startSpread, random.Float64()))
		d := NewDiscovery(now, 0, random.Float64)
		for second := int(now.Sub(start) / time.Second); second < seconds; second = int(now.Sub(start) / time.Second) {
			if due := d.Next(now, v); due.After(now) {
				now = due
				continue
			}
			reads[second]++
			now = now.Add(step)
			d.HandleRead(now, err)
		}
	}
	return reads
}

func sum(reads []int) (total int) {
	for _, r := range reads {
		total += r
	}
	return total
}

// Members that know each other share the reads: the load on the store does not grow with their number.
func TestReadsOfAGroupDoNotGrowWithItsSize(t *testing.T) {
	const seconds = 3000
	for _, members := range []int{2, 15, 400, 43900} {
		rest := sum(readsOf(members, View{Members: members, KnowsBalancer: true}, nil, seconds))
		search := sum(readsOf(members, View{Members: members}, nil, seconds))
		is := is.New(t)
		duration := seconds * time.Second
		is.True(rest <= 12*int(duration/restPeriod)/10) // one read per period, with room for chance
		is.True(search <= 12*int(duration/searchPeriod)/10)
		is.True(rest >= int(duration/restPeriod)/2) // and not much less, or two groups would not meet soon
	}
}

// A process that knows no other one reads several times within the time of a recovery, and keeps reading. All processes of
// the largest planned deployment together come down to less than the 2,000 reads a second that the store serves.
func TestReadsOfProcessesThatKnowNobody(t *testing.T) {
	const processes, recovery, seconds, storeReads = 43900, 12, 300, 2000
	is := is.New(t)
	reads := readsOf(processes, View{Members: 1}, nil, seconds)
	is.True(sum(reads[:recovery]) >= 5*processes)
	is.True(sum(reads[seconds/2:])/(seconds/2) <= storeReads)
	is.True(sum(reads[seconds/2:]) >= 5*processes)
}

// While the store does not respond, the pause stays shorter, so that its return is noticed in time.
func TestReadsWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	d := NewDiscovery(start, 0, rand.New(rand.NewPCG(1, 2)).Float64)
	for now := start; now.Before(start.Add(time.Hour)); now = d.Next(now, View{Members: 1}) {
		d.HandleRead(now, errDown)
		is.True(d.Next(now, View{Members: 1}).Sub(now) <= 3*failurePauseMax/2)
	}
}

// A process at rest, whose next read may be hours away, reads soon after it has lost the others or all balancers.
func TestLossOfMembersIsUrgent(t *testing.T) {
	const members = 43900
	for _, test := range []struct {
		name string
		lost View
		want time.Duration
	}{
		{"alone", View{Members: 1}, time.Second},
		{"without balancer, two members", View{Members: 2}, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			d := NewDiscovery(start, 0, func() float64 { return 0.5 })
			d.HandleRead(start, nil)
			rest := d.Next(start, View{Members: members, KnowsBalancer: true})
			is.True(rest.Sub(start) > time.Hour)
			lostAt := start.Add(time.Minute)
			due := d.Next(lostAt, test.lost)
			is.True(due.After(lostAt)) // all members notice it at once and must not read at once
			is.True(due.Sub(lostAt) <= test.want)
		})
	}
}

// At the first start of a deployment the rosters are empty; a process that has met another one by then reads at its leisure.
func TestFirstReadIsDelayed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	d := NewDiscovery(start, time.Second, func() float64 { return 0.5 })
	is.Equal(d.Next(start, View{Members: 1}), start.Add(time.Second))
	is.Equal(NewDiscovery(start, 0, func() float64 { return 0.5 }).Next(start, View{Members: 1}), start)
	joined := View{Members: 3, KnowsBalancer: true}
	is.True(d.Next(start, joined).After(start.Add(time.Second)))
}
