package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

// evidence returns the evidence for the completeness of a node's table.
func (m *mesh) evidence(i int) fleet.Evidence { return m.nodes[addrOf(i)].Complete() }

// Processes that start together have no evidence at first: the members that they have met may not be all.
func TestNodesThatStartTogetherTakeTheirTimeToTrustTheirTables(t *testing.T) {
	is := is.New(t)
	m := newMesh(12)
	m.run(4 * time.Second)
	for i := range 12 {
		is.Equal(m.evidence(i), fleet.NoEvidence)
		is.True(!m.nodes[addrOf(i)].HeardComplete())
	}
	m.run(2 * time.Second)
	for i := range 12 {
		is.True(m.evidence(i) != fleet.NoEvidence)
	}
}

func TestStartingNodeTrustsTheTableOfOthers(t *testing.T) {
	is := is.New(t)
	m := newMesh(12)
	m.run(10 * time.Second)
	m.add(12)
	m.run(time.Second)
	is.Equal(m.evidence(12), fleet.SameTable)
	is.True(m.nodes[addrOf(12)].HeardComplete())
}

// Guards against a node that takes a table of few members for complete, because those have started with it while the seeds
// are down (review/9).
func TestStartingNodesAmongThemselvesAreNoEvidence(t *testing.T) {
	is := is.New(t)
	m := newMesh(12)
	m.run(10 * time.Second)
	apart := func(a netip.AddrPort) bool { return a == addrOf(4) || a == addrOf(5) }
	m.cut = func(from, to netip.AddrPort) bool { return apart(from) != apart(to) }
	m.seeds = []netip.AddrPort{addrOf(4)} // stands for any chance by which they meet
	m.add(4)
	m.add(5)
	m.run(4 * time.Second)
	is.Equal(m.nodes[addrOf(4)].AliveCount(), 2)
	is.Equal(m.evidence(4), fleet.NoEvidence)
	is.Equal(m.evidence(5), fleet.NoEvidence)
	m.cut = func(_, _ netip.AddrPort) bool { return false }
	m.run(4 * time.Second)
	for _, i := range []int{4, 5} {
		is.Equal(m.nodes[addrOf(i)].AliveCount(), 12)
		is.Equal(m.evidence(i), fleet.SameTable)
	}
}

// A node that nobody has answered has no evidence, however long it runs: all others may be out of reach.
func TestLoneNodeHasNoEvidence(t *testing.T) {
	is := is.New(t)
	m := newMesh(1)
	m.run(time.Minute)
	is.Equal(m.evidence(0), fleet.NoEvidence)
}

// A frozen process has not looked for others in the meantime.
func TestFrozenTimeIsNoUptime(t *testing.T) {
	is := is.New(t)
	m := newMesh(3)
	m.run(2 * time.Second)
	m.down[addrOf(1)] = true
	m.now = m.now.Add(20 * time.Second)
	m.down[addrOf(1)] = false
	m.run(time.Second)
	is.True(m.evidence(1) != fleet.LongUptime)
}

func TestMergedTableOfACompleteMemberIsComplete(t *testing.T) {
	is := is.New(t)
	m := newMesh(3)
	n := m.nodes[addrOf(0)]
	n.TableMerged(m.nodes[addrOf(1)].Self(), false)
	is.Equal(n.Complete(), fleet.NoEvidence)
	n.TableMerged(m.nodes[addrOf(1)].Self(), true)
	is.Equal(n.Complete(), fleet.FetchedTable)
}
