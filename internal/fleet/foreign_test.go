package fleet_test

import (
	"bytes"
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
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
