package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	announcePeriod  = time.Second
	announceTimeout = time.Second
)

// Announcement is the body that the server posts to /announce of its agent.
type Announcement struct {
	// Service is the name of the service that the server serves.
	Service string `json:"service"`
	// Port is the TCP port on which the server serves requests.
	Port uint16 `json:"port"`
	// Capacity is the number of slots of the server.
	Capacity int `json:"capacity"`
	// State is the life-cycle state of the server.
	State State `json:"state"`
}

// announcePeriodically announces the server at once and then once every period, until ctx ends.
func (s *Server) announcePeriodically(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		s.announce(ctx, s.State())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce posts one announcement. Failures are ignored, since the next
// announcement follows soon. A crashed server and a server without an agent
// announce nothing.
func (s *Server) announce(ctx context.Context, state State) {
	if s.cfg.Agent == "" || s.crashed() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(Announcement{
		Service:  s.cfg.Service,
		Port:     s.Addr().Port(),
		Capacity: s.cfg.Capacity,
		State:    state,
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.cfg.Agent+"/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.cfg.Client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}

func (s *Server) crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http == nil
}
