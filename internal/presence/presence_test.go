package presence

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondledge/almondledge/internal/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func agent(i int, incarnation uint64, s member.State) member.Member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4434)
	return member.Member{
		Addr: addr, Kind: member.Agent, State: s, Incarnation: incarnation,
		DataCentre: "cesme", Service: 1, Capacity: 5,
	}
}

func tableOf(n int) *Table {
	t := NewTable(Config{})
	for i := range n {
		t.Merge(start, agent(i, 1, member.Serving))
	}
	return t
}

func TestMergeKeepsTheNewerRecord(t *testing.T) {
	cases := []struct {
		name        string
		old, update member.Member
		want        Outcome
	}{
		{"suspicion of the same incarnation", agent(0, 2, member.Serving), agent(0, 2, member.Suspect), Changed},
		{"refutation by a higher incarnation", agent(0, 2, member.Suspect), agent(0, 3, member.Serving), Changed},
		{"no refutation by the same incarnation", agent(0, 2, member.Suspect), agent(0, 2, member.Serving), Ignored},
		{"suspicion of an older incarnation", agent(0, 3, member.Serving), agent(0, 2, member.Dead), Ignored},
		{"resuming on a dead incarnation", agent(0, 2, member.Dead), agent(0, 2, member.Serving), Ignored},
		{"drain", agent(0, 2, member.Serving), agent(0, 2, member.Draining), Changed},
		{"suspicion does not override a drain", agent(0, 2, member.Draining), agent(0, 2, member.Suspect), Ignored},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(Config{})
			alive := c.old
			alive.State = member.Serving
			table.Merge(start, alive)
			table.Merge(start, c.old)
			is.Equal(table.Merge(start, c.update), c.want)
		})
	}
}

func TestMergeOrdersLoadReports(t *testing.T) {
	is := is.New(t)
	table := tableOf(1)
	m := agent(0, 1, member.Serving)
	m.Load, m.Sequence = 80, 2
	is.Equal(table.Merge(start, m), LoadChanged)
	m.Load, m.Sequence = 10, 1
	is.Equal(table.Merge(start, m), Ignored)
	is.Equal(table.Get(m.Addr).Load, uint8(80))
}

func TestSelfPreservation(t *testing.T) {
	second := time.Second
	cases := []struct {
		name   string
		agents int
		// failAt lists the times at which the first agents become suspect, one agent at each time.
		failAt []time.Duration
		// drained is the number of agents, counted from the last, that announce a drain at once.
		drained int
		at      time.Duration
		want    int
	}{
		{"one of six fails", 6, []time.Duration{0}, 0, second, 5},
		{"a third fails", 6, []time.Duration{0, second}, 0, 2 * second, 4},
		{"more than a third fails at once", 6, []time.Duration{0, second, second}, 0, 2 * second, 6},
		{"more than a third fails over a long time", 6, []time.Duration{0, 11 * second, 22 * second}, 0, 23 * second, 3},
		{"self-preservation ends while others are alive", 6, []time.Duration{0, 0, 0}, 0, 16 * second, 3},
		{"all fail and stay routable", 4, []time.Duration{0, 0, 0, 0}, 0, time.Hour, 4},
		{"draining agents are never preserved", 6, nil, 6, second, 0},
		{"drains during self-preservation", 6, []time.Duration{0, 0, 0}, 2, second, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := tableOf(c.agents)
			for i := range c.drained {
				table.Merge(start, agent(c.agents-1-i, 1, member.Draining))
			}
			for i, after := range c.failAt {
				table.Merge(start.Add(after), agent(i, 1, member.Suspect))
			}
			is.Equal(len(table.Candidates(start.Add(c.at), 1)), c.want)
		})
	}
}

func TestDeathKeepsTheFailureTimeOfTheSuspicion(t *testing.T) {
	is := is.New(t)
	table := tableOf(4)
	for i := range 3 {
		table.Merge(start, agent(i, 1, member.Suspect))
		table.Merge(start.Add(5*time.Second), agent(i, 1, member.Dead))
	}
	is.Equal(len(table.Candidates(start.Add(6*time.Second), 1)), 4)
	is.Equal(len(table.Candidates(start.Add(16*time.Second), 1)), 1)
}

func TestUnreachableDataCentreIsTheLastResort(t *testing.T) {
	is := is.New(t)
	table := tableOf(2)
	far := agent(7, 1, member.Serving)
	far.DataCentre = "bodrum"
	table.Merge(start, far)
	table.SetReachable("bodrum", false)
	is.Equal(len(table.Candidates(start, 1)), 2)
	table.Merge(start, agent(0, 1, member.Draining))
	table.Merge(start, agent(1, 1, member.Draining))
	is.Equal(table.Candidates(start, 1)[0].Addr, far.Addr)
}

func TestWarmingWeightGrows(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{})
	table.Merge(start, agent(0, 1, member.Warming))
	r := table.Get(agent(0, 1, member.Warming).Addr)
	is.Equal(table.Weight(start, r), 0.5)
	is.Equal(table.Weight(start.Add(15*time.Second), r), 2.75)
	is.Equal(table.Weight(start.Add(time.Minute), r), 5.0)
	table.TakeChanged(true)
	is.Equal(len(table.TakeChanged(true)), 1) // a growing weight counts as a change
	is.Equal(len(table.TakeChanged(false)), 0)
}

func TestDeadMembersAreForgotten(t *testing.T) {
	is := is.New(t)
	table := tableOf(1)
	table.Merge(start, agent(0, 1, member.Dead))
	table.Expire(start.Add(9 * time.Minute))
	is.Equal(table.Len(), 1)
	table.Expire(start.Add(10 * time.Minute))
	is.Equal(table.Len(), 0)
	is.Equal(len(table.AgentDataCentres()), 0)
	is.Equal(table.Digest(), NewTable(Config{}).Digest())
}

// TestMergeOrderDoesNotMatter merges the same records in two orders and expects equal tables.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []member.Member
		for i := range 4 {
			records = append(records, agent(i, 1, member.Warming)) // dead members that the table does not know would be ignored
		}
		known := len(records)
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			records = append(records, agent(
				rapid.IntRange(0, 3).Draw(t, "agent"),
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				member.State(rapid.IntRange(int(member.Warming), int(member.Dead)).Draw(t, "state")),
			))
		}
		one, other := NewTable(Config{}), NewTable(Config{})
		for _, m := range records {
			one.Merge(start, m)
		}
		shuffled := slices.Clone(records[known:])
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1)).Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		for _, m := range append(slices.Clone(records[:known]), shuffled...) {
			other.Merge(start, m)
		}
		if !slices.Equal(one.Bucket(), other.Bucket()) || one.Digest() != other.Digest() {
			t.Fatalf("tables differ:\n%v\n%v", one.Bucket(), other.Bucket())
		}
	})
}
