package main

import (
	"sync"
	"time"
)

// Bounds of rule FLOW (b).
const (
	strayTime    = 2000 * time.Millisecond
	strayPackets = 3
)

// strays counts the packets of flows that reach other hosts than their own.
type strays struct {
	mu    sync.Mutex
	flows map[flowKey]*stray
}

// stray counts the packets of one flow that reached other hosts since one reached its own.
type stray struct {
	first time.Time
	count int
}

func (s *strays) elsewhere(key flowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if f == nil {
		f = &stray{first: time.Now()}
		s.flows[key] = f
	}
	f.count++
}

// own applies rule FLOW (b) when a packet of a flow reaches its host h.
func (s *strays) own(w *world, h *host, key flowKey) {
	s.mu.Lock()
	f := s.flows[key]
	delete(s.flows, key)
	s.mu.Unlock()
	if !w.judgeStrays {
		return
	}
	if f != nil && f.count >= strayPackets && time.Since(f.first) >= strayTime {
		w.rec.broken("FLOW", "flow %s of host %s: in %v, %d of its packets reached other hosts and none its own", key, h.ip, time.Since(f.first).Round(time.Millisecond), f.count)
	}
}

// finish applies rule FLOW (b) to the flows whose hosts still wait for a packet.
func (s *strays) finish(w *world) {
	s.mu.Lock()
	var keys []flowKey
	for key := range s.flows {
		keys = append(keys, key)
	}
	s.mu.Unlock()
	for _, key := range keys {
		for _, h := range w.hosts {
			if _, held := h.holds(key); held {
				s.own(w, h, key)
			}
		}
	}
}
