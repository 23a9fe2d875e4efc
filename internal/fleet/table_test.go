package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

// fetches returns the members whose tables a node wants to fetch, and forgets them.
func (m *mesh) fetches() []fleet.Member {
	var from []fleet.Member
	for _, e := range m.events {
		if e.Kind == fleet.FellBehind {
			from = append(from, e.Member)
		}
	}
	m.events = nil
	return from
}

// A process that joins a large fleet fetches the table, since datagrams would bring
// it over minutes.
func TestJoiningALargeFleet(t *testing.T) {
	is := is.New(t)
	const members = 3000
	m := newMesh(1)
	fill(m, m.nodes[addrOf(0)], members)
	m.queue, m.events = nil, nil // what it says to members that do not run
	m.add(members)
	m.run(200 * time.Millisecond)
	joiner := m.nodes[addrOf(members)]
	is.True(joiner.Len() < members)
	wanted := m.fetches()
	is.Equal(len(wanted), 1) // once, though several messages show the size
	is.Equal(wanted[0].Addr, addrOf(0))
	sends, events := joiner.MergeTable(m.now, m.nodes[addrOf(0)].Members())
	is.Equal(joiner.Len(), members+1)
	is.Equal(len(sends), 0) // what was known to others is not passed on
	is.True(len(events) > members/2)
}

func TestSmallTablesAreNotFetched(t *testing.T) {
	is := is.New(t)
	m := newMesh(8)
	m.run(time.Minute)
	m.add(8)
	m.run(11 * time.Minute)
	is.Equal(len(m.fetches()), 0)
}

// Tables of a large fleet that differ for long are fetched whole at times, so that a
// statement that all news has missed is found.
func TestAuditOfALargeTable(t *testing.T) {
	is := is.New(t)
	const members = 3000
	m := newMesh(1)
	node := m.nodes[addrOf(0)]
	fill(m, node, members)
	m.add(members)
	other := m.nodes[addrOf(members)]
	other.MergeTable(m.now, node.Members()[:members-1])
	m.events = nil
	for range 70 {
		m.now = m.now.Add(10 * time.Second)
		sends, _ := other.SendVersion([]netip.AddrPort{addrOf(0)})
		_, events, err := node.Handle(m.now, addrOf(members), sends[0].Payload)
		is.NoErr(err)
		m.events = append(m.events, events...)
		for _, e := range events {
			if e.Kind == fleet.FellBehind {
				node.MergeTable(m.now, other.Members())
			}
		}
	}
	is.Equal(len(m.fetches()), 1)
}
