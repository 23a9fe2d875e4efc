// Package announce receives the announcements that a backend server sends to its agent.
// There is no list of backend servers: each backend server announces itself
// periodically, so that its agent notices when the backend server stops.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// Path is the HTTP path to which announcements are posted.
	Path = "/announce"
	// SilenceLimit is the time without an announcement after which a backend server
	// counts as gone.
	SilenceLimit = 2500 * time.Millisecond
	// maxBody bounds the body of an announcement, in bytes.
	maxBody = 4 << 10
)

// State is the life-cycle state that a backend server announces.
type State string

// States of a backend server.
const (
	Warming  State = "warming"
	Serving  State = "serving"
	Draining State = "draining"
)

// Announcement is the body of an announcement call.
type Announcement struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Port is the loopback TCP port of the backend server.
	Port uint16 `json:"port"`
	// Capacity is the number of slots of the backend server.
	Capacity int `json:"capacity"`
	// State is the life-cycle state of the backend server.
	State State `json:"state"`
}

// Validate returns an error of kind Invalid that names the first invalid field, or nil.
func (a Announcement) Validate() error {
	if a.Service == "" {
		return errkind.New(errkind.Invalid, "announcement field service is missing", "give the name of a service")
	}
	if a.Port == 0 {
		return errkind.New(errkind.Invalid, "announcement field port is missing", "give the TCP port on loopback")
	}
	if a.Capacity < 1 || a.Capacity > 1<<16-1 {
		return errkind.New(errkind.Invalid, "announcement field capacity is out of range", "give the number of slots, 1 to 65535")
	}
	if a.State != Warming && a.State != Serving && a.State != Draining {
		return errkind.New(errkind.Invalid, "announcement field state is unknown", "use warming, serving or draining")
	}
	return nil
}

// Registry holds the last announcement of one backend server. It is safe for
// concurrent use.
type Registry struct {
	mu     sync.Mutex
	last   Announcement
	at     time.Time     // time of receipt of last
	first  chan struct{} // closed when the first announcement is received
	static bool          // last comes from the settings
}

// NewRegistry returns a registry without an announcement.
func NewRegistry() *Registry {
	return &Registry{first: make(chan struct{})}
}

// NewStatic returns a registry of a backend server that the settings define. The
// backend server counts as present although it sends no announcements.
func NewStatic(a Announcement) *Registry {
	registry := NewRegistry()
	registry.last = a
	registry.static = true
	close(registry.first)
	return registry
}

// First returns a channel that is closed when the first announcement is received. The
// channel of NewStatic is closed from the start.
func (r *Registry) First() <-chan struct{} {
	return r.first
}

// Announce records an announcement that was received at now. It returns an error of
// kind Conflict if the service or the port differs from earlier announcements: a
// backend server may not change them while its agent runs.
func (r *Registry) Announce(a Announcement, now time.Time) error {
	if err := a.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() && !r.static {
		close(r.first)
	} else if a.Service != r.last.Service || a.Port != r.last.Port {
		return errkind.New(errkind.Conflict, "the backend server changed its service or port", "restart the agent of the backend server")
	}
	r.last = a
	r.at = now
	return nil
}

// Last returns the last announcement, and whether it is at most SilenceLimit old. A
// registry of NewStatic always returns true.
func (r *Registry) Last(now time.Time) (Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.static || now.Sub(r.at) <= SilenceLimit
}

// ServeHTTP receives announcements as JSON by POST.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		http.Error(w, "use POST", http.StatusMethodNotAllowed)
		return
	}
	var announcement Announcement
	err := json.NewDecoder(io.LimitReader(req.Body, maxBody)).Decode(&announcement)
	if err != nil {
		http.Error(w, "the announcement is not JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	err = r.Announce(announcement, time.Now())
	switch {
	case errkind.Is(err, errkind.Conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
