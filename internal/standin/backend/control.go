package backend

import (
	"encoding/json"
	"net/http"
)

// maxControlBody is the largest body in bytes of a control request.
const maxControlBody = 1 << 16

// ControlHandler returns the control endpoint, which is served on an address of
// its own: GET and PUT /knobs, POST /crash, POST /restart, GET /ledger, GET /load.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /knobs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Knobs()) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.ledger.Runs()) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Load()) })
	mux.HandleFunc("PUT /knobs", s.putKnobs)
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		s.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Restart(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (s *Server) putKnobs(w http.ResponseWriter, r *http.Request) {
	var k Knobs
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetKnobs(k); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, k)
}
