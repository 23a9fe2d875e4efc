// Package platform is a stand-in for the platform's key-value service. It keeps
// its data in memory, serves the API of the etcd v3 JSON/HTTP gateway, and injects
// the faults of the real service on request.
package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/almondledge/almondledge/internal/store/etcdapi"
)

// Rates and sizes of the platform's service.
const (
	// WritesPerSecond is the rate limit of writes.
	WritesPerSecond = 300
	// ReadsPerSecond is the rate limit of reads. Each open watch counts as one read per second.
	ReadsPerSecond = 2000
	// MaxValueBytes is the size limit of a value.
	MaxValueBytes = 1 << 20
	// maxRequestBytes bounds a request body.
	maxRequestBytes = 4 << 20
	// clusterID is the cluster ID in the header of every answer.
	clusterID = 0xa1
)

// Counts holds the numbers of calls served or refused so far.
type Counts struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	WatchSeconds  int64 `json:"watchSeconds"`
	RefusedByRate int64 `json:"refusedByRate"`
}

// Platform is the stand-in. It is an http.Handler and safe for concurrent use.
// Its one lock, mu, is never held while writing to a connection.
type Platform struct {
	now    func() time.Time
	reads  *rate.Limiter
	writes *rate.Limiter

	mu        sync.Mutex
	data      *keyspace
	leases    map[int64]*lease
	nextLease int64
	faults    Faults
	counts    Counts
	epoch     int           // number of restores; a restore ends all open watches
	wake      chan struct{} // closed and replaced at each change that watches must see
}

// New returns an empty store. now is the clock of its leases and rate limits; nil
// means time.Now.
func New(now func() time.Time) *Platform {
	if now == nil {
		now = time.Now
	}
	return &Platform{
		now:       now,
		reads:     rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		writes:    rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		data:      newKeyspace(),
		leases:    make(map[int64]*lease),
		nextLease: 1,
		wake:      make(chan struct{}),
	}
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// wakeLocked wakes the watches, so that they send what has changed.
func (p *Platform) wakeLocked() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// ServeHTTP serves the gateway and the control endpoint.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		p.serveControl(w, r)
		return
	}
	serve, write := p.route(r.URL.Path)
	if serve == nil || r.Method != http.MethodPost {
		fail(w, http.StatusNotFound, etcdapi.CodeNotFound, "Not Found")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		fail(w, http.StatusBadRequest, etcdapi.CodeInvalidArgument, "request is too large")
		return
	}
	write = write && !isReadOnly(r.URL.Path, body)
	fault := p.nextFault(r.URL.Path, write)
	if !p.faultBefore(w, fault, write) {
		return
	}
	if fault == Late {
		go p.applyLate(serve, r, body)
		panic(http.ErrAbortHandler)
	}
	if fault == LoseAnswer || fault == FailAfter {
		serve(newDiscard(), r, body)
		p.faultAfter(w, fault)
		return
	}
	serve(w, r, body)
}

// handler serves one call; body is the complete request body.
type handler func(w http.ResponseWriter, r *http.Request, body []byte)

// route returns the handler of path and whether the call may write.
func (p *Platform) route(path string) (serve handler, write bool) {
	switch path {
	case etcdapi.PathRange:
		return p.serveRange, false
	case etcdapi.PathTxn:
		return p.serveTxn, true
	case etcdapi.PathGrant:
		return p.serveGrant, true
	case etcdapi.PathKeepAlive:
		return p.serveKeepAlive, true
	case etcdapi.PathRevoke:
		return p.serveRevoke, true
	case etcdapi.PathWatch:
		return p.serveWatch, false
	default:
		return nil, false
	}
}

// isReadOnly reports whether body is a transaction that writes nothing. It
// searches for the names of the write operations, which keys and values cannot
// contain because they are in base64.
func isReadOnly(path string, body []byte) bool {
	return path == etcdapi.PathTxn &&
		!bytes.Contains(body, []byte(`"request_put"`)) &&
		!bytes.Contains(body, []byte(`"request_delete_range"`))
}

// faultBefore injects the faults that act before a call is served and applies the
// rate limits. It reports whether to serve the call.
func (p *Platform) faultBefore(w http.ResponseWriter, fault Fault, write bool) bool {
	faults := p.Faults()
	if faults.Slow > 0 {
		time.Sleep(faults.Slow)
	}
	switch fault {
	case Refuse:
		if local, ok := w.(interface{ refuse() }); ok {
			local.refuse()
		}
		panic(http.ErrAbortHandler)
	case LoseRequest:
		panic(http.ErrAbortHandler)
	case Stall:
		time.Sleep(faults.LateBy)
	case Reject:
		fail(w, http.StatusTooManyRequests, etcdapi.CodeResourceExhausted, "etcdserver: too many requests")
		return false
	case FailBefore:
		fail(w, http.StatusServiceUnavailable, etcdapi.CodeUnavailable, "etcdserver: request timed out")
		return false
	}
	return p.countCall(w, faults.Limited, write)
}

// faultAfter ends a call that took effect with LoseAnswer or FailAfter.
func (p *Platform) faultAfter(w http.ResponseWriter, fault Fault) {
	if fault == LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	fail(w, http.StatusServiceUnavailable, etcdapi.CodeUnavailable, "etcdserver: request timed out")
}

// applyLate serves a call after the delay of Late and drops the answer.
func (p *Platform) applyLate(serve handler, r *http.Request, body []byte) {
	time.Sleep(p.Faults().LateBy)
	serve(newDiscard(), r, body)
}

// countCall counts a call and reports whether to serve it. If limited is set, it
// refuses a call beyond the rate limit.
func (p *Platform) countCall(w http.ResponseWriter, limited, write bool) bool {
	limiter := p.reads
	if write {
		limiter = p.writes
	}
	allowed := limiter.AllowN(p.now(), 1) || !limited
	p.mu.Lock()
	switch {
	case !allowed:
		p.counts.RefusedByRate++
	case write:
		p.counts.Writes++
	default:
		p.counts.Reads++
	}
	p.mu.Unlock()
	if !allowed {
		fail(w, http.StatusTooManyRequests, etcdapi.CodeResourceExhausted, "etcdserver: too many requests")
	}
	return allowed
}

func (p *Platform) headerLocked() etcdapi.Header {
	return etcdapi.Header{ClusterID: clusterID, Revision: etcdapi.Int64(p.data.revision)}
}

// decode decodes body into request. If the body is invalid, it answers 400 and returns false.
func decode(w http.ResponseWriter, body []byte, request any) bool {
	if err := json.Unmarshal(body, request); err != nil {
		fail(w, http.StatusBadRequest, etcdapi.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func fail(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcdapi.Status{Code: code, Message: message})
}

// discard is a ResponseWriter that drops the answer.
type discard struct{ header http.Header }

func newDiscard() *discard { return &discard{header: make(http.Header)} }

// Header returns a header that is not sent.
func (d *discard) Header() http.Header { return d.header }

// Write drops the answer.
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}
