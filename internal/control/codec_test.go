package control

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/member"
)

func sampleMessages() []Message {
	a := netip.MustParseAddrPort("10.1.2.3:4433")
	m := member.Member{
		Addr: a, Stream: netip.MustParseAddrPort("10.1.2.3:4500"), Kind: member.Agent, State: member.Draining,
		Incarnation: 1 << 60, DataCentre: "bukit-mertajam", Service: 7, Capacity: 5, Load: 200, Sequence: 9,
	}
	far := m
	far.Stream = netip.MustParseAddrPort("[2001:db8::1]:4500")
	self := MemberRecord(m)
	return []Message{
		&Announce{Sequence: 1, Self: self, Revision: 5},
		&AnnounceAck{Sequence: 2, Stream: addr(a), Revision: 5, Contested: memberList{m}, Owners: addrList{a}, Peers: memberList{far}},
		&Ping{Sequence: 3, Self: self, Revision: 6, Updates: memberList{m, far}},
		&PingAck{Sequence: 3, Self: self, Revision: 6, Released: true},
		&PingRequest{Sequence: 4, Target: addr(a), Revision: 6},
		&Gossip{Self: self, Revision: 7, Updates: memberList{m}, Loads: loadList{{a, 3, 4, 5}}},
		&Digest{Self: self, Revision: 8, Answer: true, Sums: sums{1, 2, 3}},
		&StatusQuery{Query: 1, Wanted: 9, Relay: true},
		&StatusReply{Query: 1, DataCentre: "cesme", Balancers: 2, Sample: addrList{a}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		is := is.New(t)
		payload, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(payload)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m))
		_, err = Decode(payload[:len(payload)-1])
		is.True(err != nil) // truncated
		_, err = Decode(append(payload, 0))
		is.True(err != nil) // trailing byte
	}
}

// longList returns a StatusReply whose last field announces 2^32-1 addresses.
func longList() []byte {
	payload, err := Encode(&StatusReply{})
	if err != nil {
		panic(err)
	}
	return append(payload[:len(payload)-1], 0xdd, 0xff, 0xff, 0xff, 0xff)
}

func TestLongListsAreRefusedBeforeTheyAreAllocated(t *testing.T) {
	is := is.New(t)
	_, err := Decode(longList())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "array of 4294967295 items"))
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		payload, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Add(longList())
	f.Fuzz(func(t *testing.T, payload []byte) {
		m, err := Decode(payload)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Skip() // a wider encoding of the input can exceed the limit
		}
		second, err := Decode(again)
		if err != nil || !reflect.DeepEqual(m, second) {
			t.Fatalf("decoded %+v, then %+v (%v)", m, second, err)
		}
	})
}
