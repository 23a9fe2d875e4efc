package fabriclink

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pires/go-proxyproto"

	"github.com/almondledge/almondledge/internal/errkind"
)

func addrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// reference returns the datagram that the go-proxyproto library writes.
func reference(t testing.TB, src, dst netip.AddrPort, tlvs []proxyproto.TLV, payload []byte) []byte {
	t.Helper()
	h := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(src), net.UDPAddrFromAddrPort(dst))
	if err := h.SetTLVs(tlvs); err != nil {
		t.Fatal(err)
	}
	b, err := h.Format()
	if err != nil {
		t.Fatal(err)
	}
	return append(b, payload...)
}

func TestMatchesReferenceLibrary(t *testing.T) {
	payload := []byte("opening packet")
	cases := []struct{ src, dst string }{
		{"127.0.0.1:50000", "127.0.10.1:443"},
		{"255.255.255.255:65535", "0.0.0.0:0"},
		{"[2001:db8::1]:50000", "[::1]:443"},
		{"[fe80::ffff:1]:1", "[2001:db8:ffff::]:65535"},
	}
	for _, c := range cases {
		t.Run(c.src, func(t *testing.T) {
			is := is.New(t)
			src, dst := addrPort(c.src), addrPort(c.dst)
			got, err := Encode([]byte("kept"), src, dst, payload)
			is.NoErr(err)
			is.Equal(got, append([]byte("kept"), reference(t, src, dst, nil, payload)...))
			tlvs := []proxyproto.TLV{{Type: proxyproto.PP2_TYPE_NOOP, Value: []byte{1, 2, 3}}}
			p, err := Decode(reference(t, src, dst, tlvs, payload))
			is.NoErr(err)
			is.Equal(p, Packet{Src: src, Dst: dst, Payload: payload})
		})
	}
}

func TestMappedAddressIsWrittenAsIPv4(t *testing.T) {
	is := is.New(t)
	got, err := Encode(nil, addrPort("[::ffff:127.0.0.1]:9"), addrPort("127.0.10.1:443"), nil)
	is.NoErr(err)
	is.Equal(got, reference(t, addrPort("127.0.0.1:9"), addrPort("127.0.10.1:443"), nil, nil))
}

func TestEncodeRefusesMixedFamilies(t *testing.T) {
	is := is.New(t)
	_, err := Encode(nil, addrPort("127.0.0.1:9"), addrPort("[::1]:443"), nil)
	is.Equal(errkind.Of(err), errkind.Invalid)
	_, err = Encode(nil, netip.AddrPort{}, addrPort("127.0.0.1:9"), nil)
	is.Equal(errkind.Of(err), errkind.Invalid)
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	valid := reference(t, addrPort("127.0.0.1:9"), addrPort("127.0.10.1:443"), nil, []byte("x"))
	corrupt := func(offset int, value byte) []byte {
		b := bytes.Clone(valid)
		b[offset] = value
		return b
	}
	cases := map[string][]byte{
		"empty":                  nil,
		"truncated prefix":       valid[:prefixSize-1],
		"truncated addresses":    valid[:HeaderSizeIPv4-1],
		"bad signature":          corrupt(0, 'x'),
		"version 1":              corrupt(commandOffset, 0x11),
		"local command":          corrupt(commandOffset, 0x20),
		"TCP over IPv4":          corrupt(familyOffset, 0x11),
		"length below addresses": corrupt(lengthOffset+1, addressesIPv4-1),
		"length beyond datagram": corrupt(lengthOffset+1, addressesIPv4+2),
		"IPv6 with IPv4 length":  corrupt(familyOffset, familyUDP6),
	}
	for name, datagram := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode(datagram)
			is.Equal(errkind.Of(err), errkind.Invalid)
		})
	}
}

func TestDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	src, dst := addrPort("[2001:db8::1]:50000"), addrPort("[::1]:443")
	payload := make([]byte, 1200)
	buf := make([]byte, 0, 2048)
	allocations := testing.AllocsPerRun(100, func() {
		datagram, err := Encode(buf, src, dst, payload)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(datagram); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocations, 0.0)
}

// FuzzDecode compares Decode with the go-proxyproto library on arbitrary input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte(signature))
	f.Add(reference(f, addrPort("127.0.0.1:9"), addrPort("127.0.10.1:443"), nil, []byte("x")))
	f.Add(reference(f, addrPort("[2001:db8::1]:9"), addrPort("[::1]:443"), nil, []byte("xy")))
	tlvs := []proxyproto.TLV{{Type: proxyproto.PP2_TYPE_NOOP, Value: make([]byte, 300)}}
	f.Add(reference(f, addrPort("127.0.0.1:9"), addrPort("127.0.10.1:443"), tlvs, []byte("x")))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		got, err := Decode(datagram)
		// The reader must hold the whole header, which is up to 64 KiB long.
		reader := bufio.NewReaderSize(bytes.NewReader(datagram), prefixSize+1<<16)
		want, wantErr := proxyproto.Read(reader)
		wantOK := wantErr == nil && want.Version == 2 && want.Command.IsProxy() &&
			(want.TransportProtocol == proxyproto.UDPv4 || want.TransportProtocol == proxyproto.UDPv6)
		if (err == nil) != wantOK {
			t.Fatalf("Decode: %v; reference library: %v", err, wantErr)
		}
		if err != nil {
			return
		}
		src, dst, _ := want.UDPAddrs()
		payload, _ := io.ReadAll(reader)
		if !sameAddr(got.Src, src) || !sameAddr(got.Dst, dst) || !bytes.Equal(got.Payload, payload) {
			t.Fatalf("Decode: %v; reference library: %v %v %x", got, src, dst, payload)
		}
	})
}

func sameAddr(got netip.AddrPort, want *net.UDPAddr) bool {
	return got.Addr().Unmap() == want.AddrPort().Addr().Unmap() && int(got.Port()) == want.Port
}

func BenchmarkEncode(b *testing.B) {
	src, dst := addrPort("127.0.0.1:50000"), addrPort("127.0.10.1:443")
	payload := make([]byte, 1200)
	buf := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Encode(buf, src, dst, payload)
	}
}
