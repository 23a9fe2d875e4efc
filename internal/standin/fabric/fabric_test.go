package fabric

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fabriclink"
)

const seed = 7

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	cesme    = Balancer{Addr: netip.MustParseAddrPort("127.0.0.1:7001"), DataCentre: "cesme"}
	bodrum   = Balancer{Addr: netip.MustParseAddrPort("127.0.0.1:7002"), DataCentre: "bodrum"}
	caller   = netip.MustParseAddrPort("127.0.0.1:9")
)

func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := listenUDP(loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func receive(t *testing.T, conn *net.UDPConn) ([]byte, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, datagramSize)
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	return buf[:n], from
}

func TestDatagramGoesToBalancerAndBack(t *testing.T) {
	is := is.New(t)
	f, err := New(loopback, seed)
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	service, err := f.AddService(loopback)
	is.NoErr(err)
	balancer, balancerAddr := listen(t)
	callerConn, callerAddr := listen(t)
	is.NoErr(f.SetBalancers([]Balancer{{Addr: balancerAddr}}))

	_, err = callerConn.WriteToUDPAddrPort([]byte("question"), service)
	is.NoErr(err)
	datagram, from := receive(t, balancer)
	packet, err := fabriclink.Decode(datagram)
	is.NoErr(err)
	is.Equal(packet, fabriclink.Packet{Src: callerAddr, Dst: service, Payload: []byte("question")})
	is.Equal(from, f.Addr())

	reply, err := fabriclink.Encode(nil, service, callerAddr, []byte("answer"))
	is.NoErr(err)
	stray, err := fabriclink.Encode(nil, callerAddr, callerAddr, []byte("stray"))
	is.NoErr(err)
	for _, b := range [][]byte{stray, []byte("no header"), reply} {
		_, err = balancer.WriteToUDPAddrPort(b, f.Addr())
		is.NoErr(err)
	}
	answer, from := receive(t, callerConn)
	is.Equal(string(answer), "answer")
	is.Equal(from, service) // the caller sees only the service address
	is.Equal(f.Counts(), Counts{FromCallers: 1, FromBalancers: 3, Malformed: 1, UnknownService: 1})
}

func TestSprayUsesEveryBalancerAndIsDeterministic(t *testing.T) {
	is := is.New(t)
	k := Knobs{Balancers: []Balancer{cesme, bodrum}, DelayMillis: map[string]float64{"bodrum": 3}}
	a, b := newShaper(seed), newShaper(seed)
	seen := make(map[delivery]int)
	for range 1000 {
		d := a.spray(&k, nil)
		is.Equal(d, b.spray(&k, nil))
		is.Equal(len(d), 1)
		seen[d[0]]++
	}
	is.Equal(len(seen), 2)
	is.True(seen[delivery{to: cesme.Addr}] > 400)
	is.True(seen[delivery{to: bodrum.Addr, delay: 3 * time.Millisecond}] > 400)
}

func TestKnobsShapeBothDirections(t *testing.T) {
	cases := map[string]struct {
		knobs     Knobs
		toward    int
		back      int
		withDelay time.Duration
	}{
		"plain":     {Knobs{}, 1, 1, 0},
		"lost":      {Knobs{Loss: 1}, 0, 0, 0},
		"doubled":   {Knobs{Duplication: 1}, 2, 2, 0},
		"reordered": {Knobs{Reordering: 1, ReorderMillis: 5}, 1, 1, 5 * time.Millisecond},
		"cut to":    {Knobs{CutTo: []netip.AddrPort{cesme.Addr}}, 0, 1, 0},
		"cut from":  {Knobs{CutFrom: []netip.AddrPort{cesme.Addr}}, 1, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.knobs.Balancers = []Balancer{cesme}
			s := newShaper(seed)
			toward := s.spray(&c.knobs, nil)
			back := s.reply(&c.knobs, cesme.Addr, caller, nil)
			is.Equal(len(toward), c.toward)
			is.Equal(len(back), c.back)
			for _, d := range append(toward, back...) {
				is.Equal(d.delay, c.withDelay)
			}
		})
	}
}

func TestDelayQueueKeepsOrderAndBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newDelayQueue()
		start := time.Now()
		due := func(d time.Duration) { is.True(q.push(nil, nil, caller, start.Add(d))) }
		due(2 * time.Second)
		due(time.Second)
		is.Equal(q.sendDue(start), time.Second)
		for range maxDelayed - 2 {
			due(time.Hour)
		}
		is.True(!q.push(nil, nil, caller, start)) // full
	})
}

func TestControlEndpoint(t *testing.T) {
	is := is.New(t)
	f, err := New(loopback, seed)
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	do := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		f.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	code, _ := do(http.MethodPut, "/knobs", `{"balancers":[{"addr":"127.0.0.1:7001"}],"loss":0.5}`)
	is.Equal(code, http.StatusOK)
	code, _ = do(http.MethodPut, "/balancers", `[{"addr":"127.0.0.1:7002","dataCentre":"bodrum"}]`)
	is.Equal(code, http.StatusOK)
	is.Equal(f.Knobs(), Knobs{Balancers: []Balancer{bodrum}, Loss: 0.5})

	code, body := do(http.MethodPost, "/services", `{"address":"127.0.0.1:0"}`)
	is.Equal(code, http.StatusOK)
	var answer ServiceRequest
	is.NoErr(json.NewDecoder(bytes.NewBufferString(body)).Decode(&answer))
	is.Equal(f.Services(), []netip.AddrPort{answer.Address})

	for _, bad := range []string{`{"loss":2}`, `{"unknown":1}`, `{"delayMillis":{"cesme":-1}}`, `{"balancers":[{}]}`} {
		code, _ = do(http.MethodPut, "/knobs", bad)
		is.Equal(code, http.StatusBadRequest)
	}
	is.Equal(errkind.Of(f.SetKnobs(Knobs{Loss: -1})), errkind.Invalid)
	is.Equal(f.Knobs().Loss, 0.5) // refused knobs change nothing
}
