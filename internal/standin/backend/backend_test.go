package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
)

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	cfg.Name = "cesme-1"
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// reply is an answer whose body has been read, possibly in part.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func call(t *testing.T, s *Server, method, path, body string) (reply, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(RequestField, "r1")
	req.Header.Set(keyField, "k1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: answer}, err
}

func TestContentShowsMissingAndSwappedBlocks(t *testing.T) {
	is := is.New(t)
	const size = 3*contentBlock + 17
	whole, err := io.ReadAll(NewContent("a", size))
	is.NoErr(err)
	is.Equal(len(whole), size)
	is.Equal(xxhash.Sum64(whole), Checksum("a", size))
	is.True(!bytes.Equal(whole[:contentBlock], whole[contentBlock:2*contentBlock]))
	is.True(Checksum("a", size) != Checksum("b", size))
}

func TestEndpoints(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{Capacity: 5})
	resp, err := call(t, s, http.MethodGet, "/sheet?id=a&bytes=100000", "")
	is.NoErr(err)
	is.Equal(resp.header.Get(ChecksumField), fmt.Sprintf("%016x", xxhash.Sum64(resp.body)))
	is.Equal(xxhash.Sum64(resp.body), Checksum("a", 100000))
	is.Equal(resp.header.Get(RequestField), "r1")
	is.Equal(resp.header.Get(ServerField), "cesme-1")

	resp, err = call(t, s, http.MethodPut, "/upload", "abc")
	is.NoErr(err)
	is.Equal(strings.TrimSpace(string(resp.body)), `{"bytes":3,"sha256":"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}`)

	resp, err = call(t, s, http.MethodGet, "/feed?id=f&lines=2&interval=1", "")
	is.NoErr(err)
	is.Equal(string(resp.body), "f 0\nf 1\nend\n")

	resp, err = call(t, s, http.MethodGet, "/healthz", "")
	is.NoErr(err)
	is.Equal(resp.status, http.StatusOK)
	is.Equal(s.Load(), Load{Slots: 5, MostBusy: 1, Served: 3})
}

func TestLedgerCountsRunsAndSurvivesAKill(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ledger")
	s := start(t, Config{Ledger: path})
	for _, booking := range []string{"a", "b", "a"} {
		_, err := call(t, s, http.MethodPost, "/book?booking="+booking, "{}")
		is.NoErr(err)
	}
	resp, err := call(t, s, http.MethodPost, "/book?booking=a", "{}")
	is.NoErr(err)
	var answer BookingAnswer
	is.NoErr(json.Unmarshal(resp.body, &answer))
	is.Equal(answer, BookingAnswer{Booking: "a", Runs: 3, Server: "cesme-1"})
	runs, err := ReadLedger(path) // as after a kill: the server has not closed the file
	is.NoErr(err)
	is.Equal(runs, s.Ledger().Runs())
	is.Equal(CountRuns(runs), map[string]int{"a": 3, "b": 1})
	is.Equal(runs[0].Key, "k1")
}

func TestRunWithLostAnswerIsRecorded(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	is.NoErr(s.SetKnobs(Knobs{SlowMillis: maxKnobMillis}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the caller cancels while the booking runs
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/book?booking=a", strings.NewReader("{}")))
	is.Equal(w.Body.Len(), 0)
	is.Equal(CountRuns(s.Ledger().Runs()), map[string]int{"a": 1})
	is.Equal(s.Load().Cancelled, uint64(1))
}

func TestShedRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	is.NoErr(s.SetKnobs(Knobs{ShedShare: 1}))
	resp, err := call(t, s, http.MethodPost, "/book?booking=a", "")
	is.NoErr(err)
	is.Equal(resp.status, http.StatusServiceUnavailable)
	is.Equal(len(s.Ledger().Runs()), 0)
}

func TestCutAnswerIsIncomplete(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	is.NoErr(s.SetKnobs(Knobs{CutAfterBytes: 1000}))
	resp, err := call(t, s, http.MethodGet, "/sheet?bytes=100000", "")
	is.True(err != nil)
	is.Equal(len(resp.body), 1000)
}

func TestCrashAndRestart(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{})
	control := s.ControlHandler()
	post := func(path string) int {
		w := httptest.NewRecorder()
		control.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		return w.Code
	}
	is.Equal(post("/crash"), http.StatusNoContent)
	_, err := call(t, s, http.MethodGet, "/healthz", "")
	is.True(err != nil)
	is.Equal(post("/restart"), http.StatusNoContent)
	_, err = call(t, s, http.MethodGet, "/healthz", "")
	is.NoErr(err)
}

func TestKnobsAreCheckedAndReported(t *testing.T) {
	is := is.New(t)
	s := start(t, Config{Capacity: 5})
	put := func(body string) int {
		w := httptest.NewRecorder()
		s.ControlHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/knobs", strings.NewReader(body)))
		return w.Code
	}
	is.Equal(put(`{"reportLoad":0.25,"unhealthy":true,"coldStartMillis":600000}`), http.StatusOK)
	is.Equal(s.Load().Share, 0.25)
	is.Equal(s.State(), Warming)
	resp, err := call(t, s, http.MethodGet, "/healthz", "")
	is.NoErr(err)
	is.Equal(resp.status, http.StatusServiceUnavailable)
	for _, bad := range []string{`{"shedShare":2}`, `{"reportLoad":-1}`, `{"slowMillis":-1}`, `{"cutAfterBytes":-1}`, `{"x":1}`} {
		is.Equal(put(bad), http.StatusBadRequest)
	}
	is.Equal(errkind.Of(Knobs{ShedShare: 2}.Validate()), errkind.Invalid)
}

func TestColdStartFades(t *testing.T) {
	is := is.New(t)
	k := Knobs{SlowMillis: 10, ColdStartMillis: 1000, ColdSlowMillis: 100}
	is.Equal(k.addedTime(0), 110*time.Millisecond)
	is.Equal(k.addedTime(500*time.Millisecond), 60*time.Millisecond)
	is.Equal(k.addedTime(time.Second), 10*time.Millisecond)
}

func TestAnnouncesToItsAgent(t *testing.T) {
	is := is.New(t)
	announcements := make(chan Announcement, 10)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a Announcement
		if r.URL.Path == "/announce" && json.NewDecoder(r.Body).Decode(&a) == nil {
			announcements <- a
		}
	}))
	defer agent.Close()
	s := start(t, Config{Service: "rezervasyon", Capacity: 5, Agent: agent.URL})
	s.announce(t.Context(), Serving)
	is.Equal(<-announcements, Announcement{Service: "rezervasyon", Port: s.Addr().Port(), Capacity: 5, State: Serving})
	s.Crash()
	s.announce(t.Context(), Serving)
	is.Equal(len(announcements), 0) // a crashed server announces nothing
}
