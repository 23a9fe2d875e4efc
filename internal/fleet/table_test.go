package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/fleet"
)

// takeFetchRequests returns the members whose tables a node wants to fetch, and clears the recorded
// events.
func (m *mesh) takeFetchRequests() []fleet.Member {
	var from []fleet.Member
	for _, e := range m.events {
		if e.Kind == fleet.FellBehind {
			from = append(from, e.Member)
		}
	}
	m.events = nil
	return from
}

// Guards against a process that joins a large fleet and learns the members by datagrams, which
// takes minutes: it must fetch the table.
func TestJoiningALargeFleet(t *testing.T) {
	is := is.New(t)
	const members = 3000
	m := newMesh(1)
	addFakeMembers(m, m.nodes[addrOf(0)], members)
	m.queue, m.events = nil, nil // discards datagrams to members that do not run
	m.add(members)
	m.run(200 * time.Millisecond)
	joiner := m.nodes[addrOf(members)]
	is.True(joiner.Len() < members)
	wanted := m.takeFetchRequests()
	is.Equal(len(wanted), 1) // fetched once, although several messages show the size
	is.Equal(wanted[0].Addr, addrOf(0))
	sends, events := joiner.MergeTable(m.now, m.nodes[addrOf(0)].Members(), nil)
	is.Equal(joiner.Len(), members+1)
	is.Equal(len(sends), 0) // records that other members know are not gossiped
	is.True(len(events) > members/2)
}

func TestSmallTablesAreNotFetched(t *testing.T) {
	is := is.New(t)
	m := newMesh(8)
	m.run(time.Minute)
	m.add(8)
	m.run(11 * time.Minute)
	is.Equal(len(m.takeFetchRequests()), 0)
}

// Guards against a record that stays lost because all updates about it were lost: in a large fleet, a table
// that differs is fetched whole if no table was fetched for auditPeriod.
func TestAuditOfALargeTable(t *testing.T) {
	is := is.New(t)
	const members = 3000
	m := newMesh(1)
	node := m.nodes[addrOf(0)]
	addFakeMembers(m, node, members)
	m.add(members)
	other := m.nodes[addrOf(members)]
	other.MergeTable(m.now, node.Members()[:members-1], nil)
	m.events = nil
	for range 70 {
		m.now = m.now.Add(10 * time.Second)
		sends, _ := other.SendVersion([]netip.AddrPort{addrOf(0)})
		_, events, err := node.Handle(m.now, addrOf(members), sends[0].Payload)
		is.NoErr(err)
		m.events = append(m.events, events...)
		for _, e := range events {
			if e.Kind == fleet.FellBehind {
				node.MergeTable(m.now, other.Members(), nil)
			}
		}
	}
	is.Equal(len(m.takeFetchRequests()), 1)
}
