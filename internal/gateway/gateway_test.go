package gateway

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

func TestMain(m *testing.M) {
	flag.Parse()
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// testAgent is a gateway with its servers for callers and for peers.
type testAgent struct {
	*Gateway
	member       member.Member
	callerServer *httptest.Server
	relay        *httptest.Server
	backend      *httptest.Server
	// runs counts the requests that the backend server received.
	runs atomic.Int64
}

// testFleet is a set of agents of one service.
type testFleet struct {
	t      *testing.T
	spec   service.Spec
	keys   *idempotency.Keyring
	client *http.Client
	// host is the host name that requests carry.
	host string

	mu     sync.Mutex
	agents []*testAgent
}

func newFleet(t *testing.T, change func(*service.Spec)) *testFleet {
	spec := service.Spec{
		Name:    "counter",
		ID:      7,
		Address: netip.MustParseAddrPort("127.0.10.1:443"),
		Limits:  service.Limits{Connections: 100, Slots: 2, QueueLength: 0, DeadlineMillis: 60_000},
		Repeat:  service.RepeatPolicy{RequireKey: true, RepeatablePaths: []string{"/search"}},
	}
	if change != nil {
		change(&spec)
	}
	keys, err := idempotency.NewKeyring(1, map[uint8][]byte{1: make([]byte, 16)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
		ForceAttemptHTTP2: true,
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &testFleet{t: t, host: "counter.example", spec: spec, keys: keys, client: &http.Client{Transport: transport}}
}

// add starts an agent with a backend server that runs handler.
func (f *testFleet) add(handler http.Handler, change func(*Config)) *testAgent {
	a := &testAgent{}
	a.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.runs.Add(1)
		handler.ServeHTTP(w, r)
	}))
	f.t.Cleanup(a.backend.Close)
	base, err := url.Parse(a.backend.URL)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	n := len(f.agents) + 1
	f.mu.Unlock()
	a.relay = httptest.NewUnstartedServer(nil)
	a.relay.EnableHTTP2 = true
	a.member = member.Member{
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n)}), 9000),
		Stream: netip.MustParseAddrPort(a.relay.Listener.Addr().String()),
		Kind:   member.Agent, State: member.Serving, Service: f.spec.ID,
	}
	var rnd sync.Mutex
	source := rand.New(rand.NewPCG(uint64(n), 1))
	cfg := Config{
		Addr: a.member.Addr, Incarnation: uint64(100 + n), NoncePrefix: idempotency.NoncePrefix{byte(n)},
		Spec:    func() service.Spec { return f.spec },
		Backend: base,
		Peers:   f.members,
		PeerURL: func(m member.Member) string { return "https://" + m.Stream.String() },
		Relay:   f.client.Transport,
		Keys:    func() *idempotency.Keyring { return f.keys },
		Now:     time.Now,
		Rand: func() float64 {
			rnd.Lock()
			defer rnd.Unlock()
			return source.Float64()
		},
		Metrics: metrics.NewSet(),
	}
	if change != nil {
		change(&cfg)
	}
	a.Gateway, err = New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	a.relay.Config.Handler = a.PeerHandler()
	a.relay.StartTLS()
	a.callerServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// HTTP/3 always allows writes during reads; HTTP/1.1 needs this setting.
		if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
			panic(err)
		}
		a.ServeHTTP(w, r)
	}))
	f.t.Cleanup(a.relay.Close)
	f.t.Cleanup(a.callerServer.Close)
	f.mu.Lock()
	f.agents = append(f.agents, a)
	f.mu.Unlock()
	return a
}

func (f *testFleet) members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []member.Member
	for _, a := range f.agents {
		all = append(all, a.member)
	}
	return all
}

// reply is an answer that was read completely.
type reply struct {
	status  int
	outcome Outcome
	key     string
	body    string
	header  http.Header
	err     error
}

// send sends one request through the agent and reads the whole answer.
func (f *testFleet) send(a *testAgent, method, path, key string, body []byte) reply {
	r, err := http.NewRequest(method, a.callerServer.URL+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = f.host
	if key != "" {
		r.Header.Set(KeyField, key)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, outcome: Outcome(response.Header.Get(OutcomeField)),
		key: response.Header.Get(KeyField), body: string(data), header: response.Header, err: err,
	}
}

var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Idempotency-Key", "forged by the backend server")
	w.Header().Set("Almondledge-Outcome", "not-run")
	w.Header().Set(relayEpochMissingField, "1")
	_, _ = io.Copy(w, r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI())
})

// TestServesAndClassifies checks the answers to repeatable and non-repeatable requests, with and
// without a key, and that a backend server cannot set the fields of this system.
func TestServesAndClassifies(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, func(s *service.Spec) { s.HostNames = []string{"Counter.example"} })
	a := f.add(echo, nil)

	got := f.send(a, "GET", "/stock?q=bolt", "", nil)
	is.Equal(got.status, 200)
	is.Equal(got.body, "GET /stock?q=bolt")
	is.Equal(got.outcome, OutcomeRun) // not the field that the backend server set
	is.Equal(got.header.Get(relayEpochMissingField), "")
	is.True(got.key != "" && got.key != "forged by the backend server")

	got = f.send(a, "POST", "/orders", "", []byte("x"))
	is.Equal(got.status, 428)
	is.Equal(got.outcome, OutcomeNotRun)
	var p problem
	is.NoErr(json.Unmarshal([]byte(got.body), &p))
	is.True(p.NotRun)

	first := f.send(a, "POST", "/orders", got.key, []byte("ten nuts "))
	is.Equal(first.body, "ten nuts POST /orders")
	again := f.send(a, "POST", "/orders", got.key, []byte("ten nuts "))
	is.Equal(again.body, first.body)
	other := f.send(a, "POST", "/orders", got.key, []byte("two nuts "))
	is.Equal(other.status, 422)
	is.Equal(other.outcome, OutcomeNotRun)
	is.Equal(a.runs.Load(), int64(2))

	is.Equal(f.send(a, "POST", "/search/x", "", nil).status, 200)
	is.Equal(f.send(a, "POST", "/searches", "", nil).status, 428)
	f.host = "catalogue.example"
	got = f.send(a, "GET", "/", "", nil)
	is.Equal(got.status, 421)
	is.Equal(got.outcome, OutcomeNotRun)
}

// TestRelays checks that requests with a key run at the granter, and that a draining agent relays
// both kinds of requests.
func TestRelays(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, nil)
	a, b := f.add(echo, nil), f.add(echo, nil)
	key := f.send(a, "GET", "/", "", nil).key

	// Another agent forwards the request to the agent that issued the key.
	is.Equal(f.send(b, "POST", "/orders", key, []byte("x")).status, 200)
	is.Equal(a.runs.Load(), int64(2))
	is.Equal(f.send(b, "POST", "/orders", key, []byte("x")).status, 200)
	is.Equal(f.send(a, "POST", "/orders", key, []byte("x")).status, 200)
	is.Equal(a.runs.Load()+b.runs.Load(), int64(2))

	// A draining agent relays both kinds of requests to its peer.
	key = f.send(a, "GET", "/", "", nil).key
	before := a.runs.Load()
	a.Drain()
	is.Equal(f.send(a, "GET", "/sheet", "", nil).body, "GET /sheet")
	got := f.send(a, "POST", "/orders", key, []byte("y"))
	is.Equal(got.status, 200)
	is.Equal(got.outcome, OutcomeRun)
	is.Equal(a.runs.Load(), before)
	is.Equal(b.runs.Load(), int64(2))
	<-a.Idle()
}
