package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

// stop ends a node as planned.
func (m *mesh) stop(i int) {
	sends, events := m.nodes[addrOf(i)].Leave(m.now)
	m.post(addrOf(i), sends, events)
	m.run(fleet.TickPeriod)
	m.down[addrOf(i)] = true
}

// restart starts a node again after a time during which it does not run.
func (m *mesh) restart(i int, downtime time.Duration) {
	m.stop(i)
	m.run(downtime)
	delete(m.down, addrOf(i))
	m.add(i)
}

// Guards against review case 4: a node that started while another one was stopped left out the record of that one if it
// came in a later datagram of the table than the first. It took its view for complete, and flows of the stopped node's
// backend server for lost.
func TestStartingNodeLearnsOfStoppedNodes(t *testing.T) {
	is := is.New(t)
	const count = 28 // more members than a datagram holds
	m := newMesh(count)
	m.run(5 * time.Second)
	stopped := []int{20, 21, 22, 23, 24, 25}
	for _, i := range stopped {
		m.stop(i)
	}
	m.run(3 * time.Second)
	for _, i := range stopped {
		is.True(m.allConsider(i, fleet.Dead))
	}
	for _, i := range []int{0, 1, 5, 10, 11, 19} {
		m.restart(i, time.Second)
		m.run(400 * time.Millisecond) // after this time, an agent may trust its view
		for _, other := range stopped {
			member, known := m.view(i, other)
			is.True(known)
			is.Equal(member.Liveness, fleet.Dead)
			is.True(member.LeaveAnnounced)
		}
	}
}

// Guards against records of nodes that have gone for good being passed from one starting node to the next for ever.
func TestGoneNodeIsForgottenWhileOthersRestart(t *testing.T) {
	is := is.New(t)
	const count = 28
	m := newMesh(count)
	m.run(5 * time.Second)
	m.stop(27)
	stopped := m.now
	for i := 0; m.now.Sub(stopped) < 5*time.Minute; i++ {
		m.restart(i%27, 500*time.Millisecond) // each node is restarted before it would forget what it learned
		m.run(2 * time.Second)
		if m.now.Sub(stopped) < 2*time.Minute {
			continue
		}
		for node := range 27 {
			_, known := m.view(node, 27)
			is.True(!known)
		}
	}
}

// A fetched table states the times since deaths, too. An outdated record is not added.
func TestMergedTableOfDeadNodes(t *testing.T) {
	is := is.New(t)
	m := newMesh(2)
	m.run(time.Second)
	node := m.nodes[addrOf(0)]
	var members []fleet.Member
	for i := range 4 {
		members = append(members, fleet.Member{Addr: addrOf(10 + i), Role: fleet.Agent, Incarnation: 1, Liveness: fleet.Dead})
	}
	node.MergeTable(m.now, members, []fleet.DeadAge{
		{Addr: addrOf(10), AgeMS: 0}, {Addr: addrOf(11), AgeMS: 60_000}, {Addr: addrOf(12), AgeMS: 89_000},
	})
	for i, want := range []bool{true, true, false, false} {
		_, known := m.view(0, 10+i)
		is.Equal(known, want)
	}
	is.Equal(node.DeadAges(m.now), []fleet.DeadAge{{Addr: addrOf(10)}, {Addr: addrOf(11), AgeMS: 60_000}})
	m.run(35 * time.Second)
	is.Equal(node.DeadAges(m.now), []fleet.DeadAge{{Addr: addrOf(10), AgeMS: 35_000}}) // forgotten 90 s after the death
}
