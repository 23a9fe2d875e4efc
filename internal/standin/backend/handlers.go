package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Header fields of requests and answers.
const (
	// RequestField identifies the request; the answer repeats it.
	RequestField = "Lab-Request"
	// ServerField names the backend server that answered.
	ServerField = "Lab-Server"
	// ChecksumField is the xxhash of the answer's body in hexadecimal digits.
	ChecksumField = "Lab-Checksum"
	// keyField carries the idempotency key.
	keyField = "Idempotency-Key"
)

// Bounds of the request parameters.
const (
	maxSheetBytes  = 1 << 30
	maxUploadBytes = 1 << 30
	maxMillis      = 60_000
	maxFeedLines   = 1_000_000
	maxBookingBody = 1 << 20
)

// UploadAnswer is the body of the answer to an upload.
type UploadAnswer struct {
	// Bytes is the size of the uploaded body.
	Bytes int64 `json:"bytes"`
	// SHA256 is the checksum of the uploaded body in hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// BookingAnswer is the body of the answer to a booking.
type BookingAnswer struct {
	// Booking is the caller's name for the booking.
	Booking string `json:"booking"`
	// Runs is the number of times that this server has run the booking.
	Runs int `json:"runs"`
	// Server is the backend server that ran the booking.
	Server string `json:"server"`
}

// Load is the body of /load.
type Load struct {
	// Slots is the announced capacity.
	Slots int `json:"slots"`
	// Busy is the number of requests being served.
	Busy int64 `json:"busy"`
	// MostBusy is the highest number of requests served at the same time.
	MostBusy int64 `json:"mostBusy"`
	// Share is the occupied share of the slots, or Knobs.ReportLoad if that is set.
	Share float64 `json:"share"`
	// Served, Shed and Cancelled count requests since the start.
	Served    uint64 `json:"served"`
	Shed      uint64 `json:"shed"`
	Cancelled uint64 `json:"cancelled"`
}

// Handler returns the handler of requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /sheet", s.withKnobs(s.sheet))
	mux.Handle("POST /upload", s.withKnobs(s.upload))
	mux.Handle("PUT /upload", s.withKnobs(s.upload))
	mux.Handle("POST /book", s.withKnobs(s.book))
	mux.Handle("GET /feed", s.withKnobs(s.feed))
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Load()) })
	return mux
}

// withKnobs wraps the handler of a request: it counts the request, and sheds it or
// cuts its answer according to the knobs.
func (s *Server) withKnobs(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		busy := s.busy.Add(1)
		defer s.busy.Add(-1)
		for highest := s.mostBusy.Load(); busy > highest && !s.mostBusy.CompareAndSwap(highest, busy); {
			highest = s.mostBusy.Load()
		}
		w.Header().Set(ServerField, s.cfg.Name)
		w.Header().Set(RequestField, r.Header.Get(RequestField))
		shed, cutAfter := s.drawFaults()
		if shed {
			s.shed.Add(1)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "shed", http.StatusServiceUnavailable)
			return
		}
		s.served.Add(1)
		if cutAfter > 0 {
			w = &cuttingWriter{ResponseWriter: w, remaining: cutAfter}
		}
		next(w, r)
		if r.Context().Err() != nil {
			s.cancelled.Add(1)
		}
	})
}

// drawFaults decides whether to shed a request, and returns the number of bytes after
// which its answer is cut, or zero.
func (s *Server) drawFaults() (shed bool, cutAfter int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shed = s.knobs.ShedShare > 0 && s.rng.Float64() < s.knobs.ShedShare
	return shed, s.knobs.CutAfterBytes
}

// pause waits for the time that the request asks for plus the time that the knobs add.
// It returns false if the request is cancelled meanwhile.
func (s *Server) pause(r *http.Request) bool {
	s.mu.Lock()
	wait := s.knobs.addedTime(time.Since(s.started))
	s.mu.Unlock()
	wait += time.Duration(queryNumber(r, "millis", maxMillis)) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// sheet answers with deterministic content: parameters id, bytes and millis.
func (s *Server) sheet(w http.ResponseWriter, r *http.Request) {
	if !s.pause(r) {
		return
	}
	id := r.URL.Query().Get("id")
	size := queryNumber(r, "bytes", maxSheetBytes)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.Header().Set(ChecksumField, fmt.Sprintf("%016x", Checksum(id, size)))
	_, _ = io.Copy(w, NewContent(id, size))
}

// upload answers with the checksum of the request's body.
func (s *Server) upload(w http.ResponseWriter, r *http.Request) {
	h := sha256.New()
	n, err := io.Copy(h, http.MaxBytesReader(w, r.Body, maxUploadBytes))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	if s.pause(r) {
		writeJSON(w, UploadAnswer{Bytes: n, SHA256: hex.EncodeToString(h.Sum(nil))})
	}
}

// book runs a booking: parameters booking and millis. The run is recorded before the
// wait, so that a run whose answer is lost counts as well.
func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBookingBody)); err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	booking := r.URL.Query().Get("booking")
	if booking == "" {
		http.Error(w, "the parameter booking is missing", http.StatusBadRequest)
		return
	}
	runs, err := s.ledger.Add(Run{Booking: booking, Key: r.Header.Get(keyField), Server: s.cfg.Name})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if s.pause(r) {
		writeJSON(w, BookingAnswer{Booking: booking, Runs: runs, Server: s.cfg.Name})
	}
}

// feed answers with one line per interval: parameters id, lines and interval
// (milliseconds). The last line is "end".
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	lines := queryNumber(r, "lines", maxFeedLines)
	interval := time.Duration(max(1, queryNumber(r, "interval", maxMillis))) * time.Millisecond
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	flusher := http.NewResponseController(w)
	for i := range lines {
		if _, err := fmt.Fprintf(w, "%s %d\n", id, i); err != nil {
			return
		}
		_ = flusher.Flush()
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
	_, _ = fmt.Fprintln(w, "end")
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if s.Knobs().Unhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, s.State())
}

// Load returns what /load reports.
func (s *Server) Load() Load {
	l := Load{
		Slots:     s.cfg.Capacity,
		Busy:      s.busy.Load(),
		MostBusy:  s.mostBusy.Load(),
		Served:    s.served.Load(),
		Shed:      s.shed.Load(),
		Cancelled: s.cancelled.Load(),
	}
	if l.Slots > 0 {
		l.Share = float64(l.Busy) / float64(l.Slots)
	}
	if override := s.Knobs().ReportLoad; override != nil {
		l.Share = *override
	}
	return l
}

// cuttingWriter aborts the connection after a number of bytes.
type cuttingWriter struct {
	http.ResponseWriter
	remaining int64
}

// Write implements io.Writer.
func (w *cuttingWriter) Write(p []byte) (int, error) {
	if int64(len(p)) < w.remaining {
		w.remaining -= int64(len(p))
		return w.ResponseWriter.Write(p)
	}
	_, _ = w.ResponseWriter.Write(p[:w.remaining])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *cuttingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// queryNumber returns a query parameter, limited to the range from 0 to limit.
func queryNumber(r *http.Request, name string, limit int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return min(max(n, 0), limit)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
