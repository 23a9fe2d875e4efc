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
	caller4 = netip.MustParseAddrPort("127.9.9.9:40000")
	caller6 = netip.MustParseAddrPort("[2001:db8::1]:40000")
	front   = netip.MustParseAddrPort("127.0.10.1:443")
	agent1  = netip.MustParseAddrPort("127.1.0.1:7000")
	agent2  = netip.MustParseAddrPort("127.1.0.2:7000")
)

func testKey(version uint8) Key {
	return Key{Version: version, Secret: [KeyLen]byte{1, version}}
}

func pair(t testing.TB) (*Sealer, *Opener) {
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

func sample() Envelope {
	return Envelope{
		Type: Inbound, Hops: 1, Service: 7, Caller: caller4, ServiceAddr: front, OverLimit: true,
		Candidates: []netip.AddrPort{agent1, agent2}, Payload: []byte("packet"),
	}
}

func TestOpenReturnsWhatWasSealed(t *testing.T) {
	for _, caller := range []netip.AddrPort{caller4, caller6} {
		is := is.New(t)
		sealer, opener := pair(t)
		want := sample()
		want.Caller = caller
		got, err := opener.Open(sealer.Seal(nil, &want), new(CandidateBuffer))
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestOpenRefusesBadDatagrams(t *testing.T) {
	want := sample()
	cases := []struct {
		name  string
		spoil func([]byte) []byte
		err   error
	}{
		{"empty", func([]byte) []byte { return nil }, ErrMalformed},
		{"truncated", func(d []byte) []byte { return d[:len(d)-1] }, ErrTag},
		{"foreign magic", func(d []byte) []byte { d[0]++; return d }, ErrMalformed},
		{"oversized", func(d []byte) []byte { return append(d, make([]byte, MaxLen)...) }, ErrMalformed},
		{"other key version", func(d []byte) []byte { d[versionAt] = 1; return d }, ErrTag},
		{"unknown key version", func(d []byte) []byte { d[versionAt] = 5; return d }, ErrKey},
		{"impossible key version", func(d []byte) []byte { d[versionAt] = 255; return d }, ErrKey},
		{"changed payload", func(d []byte) []byte { d[len(d)-tagLen-1]++; return d }, ErrTag},
		{"changed service", func(d []byte) []byte { d[21]++; return d }, ErrTag},
		{"changed sender", func(d []byte) []byte { d[senderAt]++; return d }, ErrTag},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sealer, opener := pair(t)
			datagram := c.spoil(sealer.Seal(nil, &want))
			_, err := opener.Open(datagram, new(CandidateBuffer))
			is.True(errors.Is(err, c.err))
			is.Equal(len(opener.senders), 0) // an unauthenticated sender must not take memory
		})
	}
}

func TestOpenRefusesReplay(t *testing.T) {
	is := is.New(t)
	sealer, opener := pair(t)
	want := sample()
	datagram := sealer.Seal(nil, &want)
	again := bytes.Clone(datagram)
	_, err := opener.Open(datagram, new(CandidateBuffer))
	is.NoErr(err)
	_, err = opener.Open(again, new(CandidateBuffer))
	is.True(errors.Is(err, ErrReplayed))
}

func FuzzOpen(f *testing.F) {
	sealer, opener := pair(f)
	want := sample()
	f.Add(sealer.Seal(nil, &want))
	f.Add([]byte{magic})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, err := opener.Open(datagram, new(CandidateBuffer))
		if err == nil {
			t.Skip("a sealed seed")
		}
	})
}

// FuzzParse skips authentication, so that the parser itself is exercised.
func FuzzParse(f *testing.F) {
	want := sample()
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
	sealer, opener := pair(b)
	envelope := sample()
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
	sealer, _ := pair(b)
	envelope := sample()
	envelope.Payload = make([]byte, 1200)
	datagram := make([]byte, 0, MaxLen)
	b.ReportAllocs()
	for b.Loop() {
		datagram = sealer.Seal(datagram, &envelope)
	}
}

// BenchmarkSenders reports what an opener holds for each sender that it has heard.
func BenchmarkSenders(b *testing.B) {
	const senders = 38_000
	for b.Loop() {
		opener, err := NewOpener([]Key{testKey(0)})
		if err != nil {
			b.Fatal(err)
		}
		before := heapBytes()
		envelope := sample()
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
