package connid

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

var testTarget = Target{Agent: netip.MustParseAddrPort("127.1.2.3:7001"), Service: 9, Counter: 77}

func testKey(version uint8) Key {
	return Key{Version: version, Secret: [KeyLen]byte{version, 1, 2, 3}}
}

func mustCodec(t testing.TB, keys ...Key) *Codec {
	t.Helper()
	codec, err := NewCodec(keys)
	if err != nil {
		t.Fatal(err)
	}
	return codec
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	is := is.New(t)
	codec := mustCodec(t, testKey(3))
	id, err := codec.Encode(testTarget, 0xff)
	is.NoErr(err)
	got, version, err := codec.Decode(id[:], new(Scratch))
	is.NoErr(err)
	is.Equal(got, testTarget)
	is.Equal(version, uint8(3))
}

// If Decode accepted a changed connection ID, a caller could direct packets to
// another backend server.
func TestDecodeRejectsEveryBitFlip(t *testing.T) {
	is := is.New(t)
	codec := mustCodec(t, testKey(0))
	id, err := codec.Encode(testTarget, 0)
	is.NoErr(err)
	for bit := range Len * 8 {
		forged := id
		forged[bit/8] ^= 1 << (bit % 8)
		_, _, err := codec.Decode(forged[:], new(Scratch))
		if bit < 8 && bit < versionShift {
			continue // the random bits of the first byte are not checked
		}
		is.True(err != nil)
	}
}

func TestRotationAcceptsBothKeys(t *testing.T) {
	is := is.New(t)
	before := mustCodec(t, testKey(0))
	during := mustCodec(t, testKey(1), testKey(0))
	after := mustCodec(t, testKey(1))
	id, err := before.Encode(testTarget, 5)
	is.NoErr(err)
	_, _, err = during.Decode(id[:], new(Scratch))
	is.NoErr(err)
	_, _, err = after.Decode(id[:], new(Scratch))
	is.True(errors.Is(err, ErrVersion))
}

func FuzzParseHeader(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x40, 1, 2, 3})
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255})
	codec := mustCodec(f, testKey(0))
	f.Fuzz(func(_ *testing.T, packet []byte) {
		header, err := ParseHeader(packet)
		if err == nil {
			_, _, _ = codec.Decode(header.DestID, new(Scratch))
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	codec := mustCodec(b, testKey(0))
	id, _ := codec.Encode(testTarget, 0)
	var scratch Scratch
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = codec.Decode(id[:], &scratch)
	}
}
