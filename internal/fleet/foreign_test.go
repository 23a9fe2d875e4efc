package fleet_test

import (
	"bytes"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
)

// Positions of the fields of a membership message.
const (
	fieldFrom    = 2
	fieldMembers = 10
)

// validMessage returns the fields of a message of member 7 that any node accepts.
func validMessage() []any {
	from := fleet.Member{
		Addr: addrOf(7), Role: fleet.Agent, DataCentre: "dc1", Incarnation: 1_900_000_000_000, Revision: 1,
		Backend: fleet.Backend{Service: "alpha", State: fleet.BackendReady, StartMillis: 1_900_000_000_000, Slots: 5},
	}
	return []any{uint8(4), uint32(1), from, fleet.Load{}, uint64(0), uint64(1), uint32(1), uint32(0), false, netip.AddrPort{}, []fleet.Member{}}
}

func encodeFields(t *testing.T, fields []any) []byte {
	t.Helper()
	payload, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// Guards against datagrams of other programs that state long lists: the decoder allocated the stated length, and a
// datagram of 150 bytes ended the process.
func TestDatagramsWithLongListsAreRefused(t *testing.T) {
	valid := encodeFields(t, validMessage())
	withoutMembers := valid[:len(valid)-1]
	for name, payload := range map[string][]byte{
		"the longest list of members": append(bytes.Clone(withoutMembers), 0xdd, 0xff, 0xff, 0xff, 0xff),
		"a long list of members":      append(bytes.Clone(withoutMembers), 0xdc, 0x10, 0),
		"the longest map":             append(bytes.Clone(withoutMembers), 0xdf, 0xff, 0xff, 0xff, 0xff),
		"the longest text":            append(bytes.Clone(withoutMembers), 0xdb, 0xff, 0xff, 0xff, 0xff),
		"deep nesting":                append(bytes.Clone(withoutMembers), bytes.Repeat([]byte{0x91}, math.MaxUint16)...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(1)
			_, events, err := m.nodes[addrOf(0)].Handle(m.now, addrOf(7), payload)
			is.True(errkind.Is(err, errkind.Invalid))
			is.Equal(len(events), 0)
			_, events, err = m.nodes[addrOf(0)].Handle(m.now, addrOf(7), valid)
			is.NoErr(err)
			is.True(len(events) > 0)
		})
	}
}

// Guards against records of other programs that no process has. The hash ring panicked on an address other than IPv4, in
// every process that the record reached; an incarnation near the largest number could not be refuted, since the next
// one was zero.
func TestRecordsOutOfRangeAreLeftOut(t *testing.T) {
	good := validMessage()[fieldFrom].(fleet.Member)
	good.Addr = addrOf(8)
	for name, change := range map[string]func(*fleet.Member){
		"an IPv6 address":           func(m *fleet.Member) { m.Addr = netip.MustParseAddrPort("[2001:db8::1]:7000") },
		"an IPv6 address with zone": func(m *fleet.Member) { m.Addr = netip.MustParseAddrPort("[fe80::1%eth0]:7000") },
		"a mapped address":          func(m *fleet.Member) { m.Addr = netip.MustParseAddrPort("[::ffff:10.0.0.9]:7000") },
		"no address":                func(m *fleet.Member) { m.Addr = netip.AddrPort{} },
		"no port":                   func(m *fleet.Member) { m.Addr = netip.MustParseAddrPort("10.0.0.9:0") },
		"any address":               func(m *fleet.Member) { m.Addr = netip.MustParseAddrPort("0.0.0.0:7000") },
		"a group's address":         func(m *fleet.Member) { m.Addr = netip.MustParseAddrPort("224.0.0.1:7000") },
		"no role":                   func(m *fleet.Member) { m.Role = 0 },
		"an unknown role":           func(m *fleet.Member) { m.Role = 9 },
		"an unknown liveness":       func(m *fleet.Member) { m.Liveness = 9 },
		"the largest incarnation":   func(m *fleet.Member) { m.Incarnation = math.MaxUint64 },
		"the largest revision":      func(m *fleet.Member) { m.Revision = math.MaxUint32 },
		"an unknown state":          func(m *fleet.Member) { m.Backend.State = 9 },
		"a negative start":          func(m *fleet.Member) { m.Backend.StartMillis = -1 },
		"the largest start":         func(m *fleet.Member) { m.Backend.StartMillis = math.MaxInt64 },
		"a long data centre":        func(m *fleet.Member) { m.DataCentre = strings.Repeat("a", 500) },
		"a long service":            func(m *fleet.Member) { m.Backend.Service = strings.Repeat("a", 500) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad := good
			bad.Addr = addrOf(9)
			change(&bad)

			m := newMesh(1)
			node := m.nodes[addrOf(0)]
			fields := validMessage()
			fields[fieldMembers] = []fleet.Member{bad, good}
			_, _, err := node.Handle(m.now, addrOf(7), encodeFields(t, fields))
			is.NoErr(err)
			is.Equal(memberAddrs(node), []netip.AddrPort{addrOf(0), addrOf(7), addrOf(8)}) // the record beside it counts
			is.Equal(node.BadRecords(), 1)

			fields[fieldFrom], fields[fieldMembers] = bad, []fleet.Member{}
			_, events, err := node.Handle(m.now, addrOf(7), encodeFields(t, fields))
			is.True(errkind.Is(err, errkind.Invalid)) // the sender of a message names itself
			is.Equal(len(events), 0)

			node.MergeTable(m.now, []fleet.Member{bad, good}, nil)
			is.Equal(memberAddrs(node), []netip.AddrPort{addrOf(0), addrOf(7), addrOf(8)})
			is.Equal(node.BadRecords(), 2)
		})
	}
}

func memberAddrs(n *fleet.Node) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, m := range n.Members() {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// Guards against records about a member that it cannot refute: after the largest incarnation the next one was zero, so the
// member refuted the record again and again, and all others took it for dead.
func TestLargestRecordsAreRefuted(t *testing.T) {
	const maxIncarnation, maxRevision = 1 << 53, 1 << 31
	for _, record := range []fleet.Member{
		{Incarnation: math.MaxUint64, Revision: 1},
		{Incarnation: 0, Revision: math.MaxUint32},
		{Incarnation: maxIncarnation - 1, Revision: maxRevision},
		{Incarnation: maxIncarnation, Revision: 7},
		{Incarnation: 0, Revision: maxRevision}, // the incarnation of the member itself
		{Incarnation: 0, Revision: maxRevision - 1},
	} {
		is := is.New(t)
		m := newMesh(3)
		m.run(2 * time.Second)
		about := m.nodes[addrOf(1)].Self()
		if record.Incarnation > 0 {
			about.Incarnation = record.Incarnation
		}
		about.Revision, about.Liveness = record.Revision, fleet.Dead
		fields := validMessage()
		fields[fieldMembers] = []fleet.Member{about}
		sends, events, err := m.nodes[addrOf(2)].Handle(m.now, addrOf(7), encodeFields(t, fields))
		is.NoErr(err)
		m.post(addrOf(2), sends, events)
		m.run(time.Second)
		for _, observer := range []int{0, 2} {
			member, known := m.view(observer, 1)
			is.True(known)
			is.Equal(member.Liveness, fleet.Alive)
		}
	}
}

// Guards against messages in the name of another member: each member sends its messages from its own address.
func TestMessageInTheNameOfAnotherMemberIsRefused(t *testing.T) {
	is := is.New(t)
	m := newMesh(3)
	m.run(2 * time.Second)
	fields := validMessage()
	about := m.nodes[addrOf(1)].Self()
	about.Revision, about.Backend.State = about.Revision+1, fleet.BackendGone
	fields[fieldFrom] = about
	for _, from := range []netip.AddrPort{addrOf(2), netip.MustParseAddrPort("10.9.9.9:7000"), netip.AddrPortFrom(addrOf(1).Addr(), 7001)} {
		_, events, err := m.nodes[addrOf(0)].Handle(m.now, from, encodeFields(t, fields))
		is.True(errkind.Is(err, errkind.Invalid))
		is.Equal(len(events), 0)
		member, _ := m.view(0, 1)
		is.Equal(member.Backend.State, fleet.BackendReady)
	}
}
