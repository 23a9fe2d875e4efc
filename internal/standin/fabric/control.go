package fabric

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/errkind"
)

// maxControlBody is the largest body in bytes of a control request.
const maxControlBody = 1 << 20

// counters count datagrams since the start.
type counters struct {
	fromCallers    atomic.Uint64
	fromBalancers  atomic.Uint64
	dropped        atomic.Uint64
	malformed      atomic.Uint64
	unknownService atomic.Uint64
}

func (c *counters) countDropped(deliveries int) {
	if deliveries == 0 {
		c.dropped.Add(1)
	}
}

// Counts are the datagrams counted since the start.
type Counts struct {
	// FromCallers counts datagrams received on service addresses.
	FromCallers uint64 `json:"fromCallers"`
	// FromBalancers counts datagrams received from balancers.
	FromBalancers uint64 `json:"fromBalancers"`
	// Dropped counts datagrams dropped by Knobs.Loss or a cut, for lack of a balancer,
	// or because too many are delayed.
	Dropped uint64 `json:"dropped"`
	// Malformed counts datagrams with a bad header.
	Malformed uint64 `json:"malformed"`
	// UnknownService counts replies whose source is not a service address.
	UnknownService uint64 `json:"unknownService"`
}

// ServiceRequest is the body of POST /services and of its answer.
type ServiceRequest struct {
	// Address is the service address; port zero picks a free port.
	Address netip.AddrPort `json:"address"`
}

// Counts returns the counters.
func (f *Fabric) Counts() Counts {
	return Counts{
		FromCallers:    f.counters.fromCallers.Load(),
		FromBalancers:  f.counters.fromBalancers.Load(),
		Dropped:        f.counters.dropped.Load(),
		Malformed:      f.counters.malformed.Load(),
		UnknownService: f.counters.unknownService.Load(),
	}
}

// Handler returns the control endpoint: GET and PUT /knobs, GET and POST
// /services, PUT /balancers, GET /counts.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /knobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Knobs()) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Counts()) })
	mux.HandleFunc("GET /services", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Services()) })
	mux.HandleFunc("PUT /knobs", func(w http.ResponseWriter, r *http.Request) {
		var k Knobs
		if readJSON(w, r, &k) {
			writeResult(w, f.SetKnobs(k), f.Knobs)
		}
	})
	mux.HandleFunc("PUT /balancers", func(w http.ResponseWriter, r *http.Request) {
		var balancers []Balancer
		if readJSON(w, r, &balancers) {
			writeResult(w, f.SetBalancers(balancers), f.Knobs)
		}
	})
	mux.HandleFunc("POST /services", func(w http.ResponseWriter, r *http.Request) {
		var req ServiceRequest
		if readJSON(w, r, &req) {
			bound, err := f.AddService(req.Address)
			writeResult(w, err, func() ServiceRequest { return ServiceRequest{Address: bound} })
		}
	})
	return mux
}

// readJSON decodes the body into v. If the body is invalid, it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResult sends the outcome of a change: the result of answer if err is nil,
// otherwise the error.
func writeResult[T any](w http.ResponseWriter, err error, answer func() T) {
	if errkind.Is(err, errkind.Invalid) {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, answer())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
