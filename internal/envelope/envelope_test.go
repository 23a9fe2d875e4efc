package envelope

import (
	"bytes"
	"errors"
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

var (
	caller4     = netip.MustParseAddrPort("127.9.9.9:40000")
	caller6     = netip.MustParseAddrPort("[2001:db8::1]:40000")
	serviceAddr = netip.MustParseAddrPort("127.0.10.1:443")
	agent1      = netip.MustParseAddrPort("127.1.0.1:7000")
	agent2      = netip.MustParseAddrPort("127.1.0.2:7000")
)

func testKey(version uint8) Key {
	return Key{Version: version, Secret: [KeyLen]byte{1, version}}
}

func newPair(t testing.TB) (*Sealer, *Opener) {
	t.Helper()
	sealer, err := NewSealer(testKey(0), 42)
	if err != nil {
		t.Fatal(err)
	}
	opener, err := NewOpener([]Key{testKey(1), testKey(0)})
	if err != nil {
		t.Fatal(err)
	}
	return sealer, opener
}

func newEnvelope() Envelope {
	return Envelope{
		Type: Inbound, Hops: 1, Service: 7, Caller: caller4, ServiceAddr: serviceAddr, OverLimit: true,
		Candidates: []netip.AddrPort{agent1, agent2}, Payload: []byte("packet"),
	}
}

func TestOpenReturnsWhatWasSealed(t *testing.T) {
	for _, caller := range []netip.AddrPort{caller4, caller6} {
		is := is.New(t)
		sealer, opener := newPair(t)
		want := newEnvelope()
		want.Caller = caller
		got, err := opener.Open(sealer.Seal(nil, &want), new(CandidateBuffer))
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestOpenRejectsInvalidDatagrams(t *testing.T) {
	want := newEnvelope()
	cases := []struct {
		name    string
		corrupt func([]byte) []byte
		err     error
	}{
		{"empty", func([]byte) []byte { return nil }, ErrMalformed},
		{"truncated", func(d []byte) []byte { return d[:len(d)-1] }, ErrTag},
		{"wrong magic", func(d []byte) []byte { d[0]++; return d }, ErrMalformed},
		{"oversized", func(d []byte) []byte { return append(d, make([]byte, MaxLen)...) }, ErrMalformed},
		{"other key version", func(d []byte) []byte { d[versionOffset] = 1; return d }, ErrTag},
		{"unknown key version", func(d []byte) []byte { d[versionOffset] = 5; return d }, ErrKey},
		{"key version out of range", func(d []byte) []byte { d[versionOffset] = 255; return d }, ErrKey},
		{"changed payload", func(d []byte) []byte { d[len(d)-tagLen-1]++; return d }, ErrTag},
		{"changed service", func(d []byte) []byte { d[21]++; return d }, ErrTag},
		{"changed sender", func(d []byte) []byte { d[senderOffset]++; return d }, ErrTag},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sealer, opener := newPair(t)
			datagram := c.corrupt(sealer.Seal(nil, &want))
			_, err := opener.Open(datagram, new(CandidateBuffer))
			is.True(errors.Is(err, c.err))
			is.Equal(len(opener.senders), 0) // an unauthenticated sender must not use memory
		})
	}
}

func TestOpenRejectsReplay(t *testing.T) {
	is := is.New(t)
	sealer, opener := newPair(t)
	want := newEnvelope()
	datagram := sealer.Seal(nil, &want)
	again := bytes.Clone(datagram)
	_, err := opener.Open(datagram, new(CandidateBuffer))
	is.NoErr(err)
	_, err = opener.Open(again, new(CandidateBuffer))
	is.True(errors.Is(err, ErrReplayed))
}

func FuzzOpen(f *testing.F) {
	sealer, opener := newPair(f)
	want := newEnvelope()
	f.Add(sealer.Seal(nil, &want))
	f.Add([]byte{magic})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, err := opener.Open(datagram, new(CandidateBuffer))
		if err == nil {
			t.Skip("datagram of the seed corpus, which is sealed")
		}
	})
}

// FuzzParse skips authentication, so that arbitrary input reaches the parser.
func FuzzParse(f *testing.F) {
	want := newEnvelope()
	f.Add(want.appendTo(nil, 0, 1, 1))
	f.Add(make([]byte, headerLen))
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := parse(body, nil)
		if err == nil && len(got.Candidates) > MaxCandidates {
			t.Fatal("too many candidates")
		}
	})
}

func BenchmarkSealOpen(b *testing.B) {
	sealer, opener := newPair(b)
	envelope := newEnvelope()
	envelope.Payload = make([]byte, 1200)
	datagram := make([]byte, 0, MaxLen)
	var buffer CandidateBuffer
	b.ReportAllocs()
	for b.Loop() {
		datagram = sealer.Seal(datagram, &envelope)
		if _, err := opener.Open(datagram, &buffer); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSeal(b *testing.B) {
	sealer, _ := newPair(b)
	envelope := newEnvelope()
	envelope.Payload = make([]byte, 1200)
	datagram := make([]byte, 0, MaxLen)
	b.ReportAllocs()
	for b.Loop() {
		datagram = sealer.Seal(datagram, &envelope)
	}
}

// BenchmarkSenders measures the memory that an opener uses per sender.
func BenchmarkSenders(b *testing.B) {
	const senders = 38_000
	for b.Loop() {
		opener, err := NewOpener([]Key{testKey(0)})
		if err != nil {
			b.Fatal(err)
		}
		before := heapBytes()
		envelope := newEnvelope()
		var buffer CandidateBuffer
		for sender := range uint64(senders) {
			sealer, err := NewSealer(testKey(0), sender)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := opener.Open(sealer.Seal(nil, &envelope), &buffer); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/senders, "B/sender")
		runtime.KeepAlive(opener)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
