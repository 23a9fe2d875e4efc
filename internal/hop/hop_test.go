package hop_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/hop"
)

func drawEndpoint(t *rapid.T, name string) flow.Endpoint {
	ip := rapid.Uint32().Draw(t, name)
	return flow.Endpoint{
		IP:   [4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)},
		Port: rapid.Uint16().Draw(t, name),
	}
}

func drawKey(t *rapid.T) flow.Key {
	return flow.Key{Caller: drawEndpoint(t, "caller"), ServiceAddr: drawEndpoint(t, "service address")}
}

func TestDatagramsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f := hop.Forward{
			Balancer: drawEndpoint(t, "balancer"), OwnerKnown: rapid.Bool().Draw(t, "owner known"), Search: rapid.Bool().Draw(t, "search"),
			Version: rapid.Uint64().Draw(t, "version"), Service: rapid.Uint32().Draw(t, "service"),
			Waited: time.Duration(rapid.IntRange(0, int(hop.MaxWaited.Milliseconds())).Draw(t, "waited")) * time.Millisecond,
			Packet: rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "packet"),
		}
		for range rapid.IntRange(0, hop.MaxVisited).Draw(t, "visited") {
			f.Visited = append(f.Visited, drawEndpoint(t, "visited"))
		}
		got, err := hop.DecodeForward(f.AppendTo(nil))
		is.NoErr(err)
		is.Equal(got, f)

		n := hop.Notice{Key: drawKey(t), Flows: 3, Active: 4, Refused: rapid.Bool().Draw(t, "refused"), Overloaded: rapid.Bool().Draw(t, "overloaded")}
		gotNotice, err := hop.DecodeNotice(n.AppendTo(nil))
		is.NoErr(err)
		is.Equal(gotNotice, n)

		c := hop.Claim{Owner: drawEndpoint(t, "owner"), Keys: []flow.Key{drawKey(t), drawKey(t)}}
		gotClaim, err := hop.DecodeClaim(c.AppendTo(nil))
		is.NoErr(err)
		is.Equal(gotClaim, c)

		q := hop.Query{Key: drawKey(t), Ack: rapid.Uint32().Draw(t, "ack"), Home: drawEndpoint(t, "home")}
		gotQuery, err := hop.DecodeQuery(q.AppendTo(nil))
		is.NoErr(err)
		is.Equal(gotQuery, q)

		a := hop.Answer{Key: drawKey(t), Finding: hop.Inconclusive}
		gotAnswer, err := hop.DecodeAnswer(a.AppendTo(nil))
		is.NoErr(err)
		is.Equal(gotAnswer, a)
	})
}

func FuzzDecode(f *testing.F) {
	forward := hop.Forward{Visited: []flow.Endpoint{{Port: 1}}, Waited: time.Second, Packet: []byte{1}}
	f.Add(forward.AppendTo(nil))
	claim := hop.Claim{Keys: []flow.Key{{}}}
	f.Add(claim.AppendTo(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := hop.DecodeForward(b); err == nil && len(got.Visited) > hop.MaxVisited {
			t.Fatal("more than MaxVisited agents")
		}
		if got, err := hop.DecodeClaim(b); err == nil && !bytes.Equal(got.AppendTo(nil), b) {
			t.Fatal("an encoded claim differs from the one decoded")
		}
		_, _ = hop.DecodeNotice(b)
		_, _ = hop.DecodeQuery(b)
		_, _ = hop.DecodeAnswer(b)
	})
}
