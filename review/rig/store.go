package main

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one item of the platform's store.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at,omitempty"`
	LeaseID   int64  `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// history is how long the store keeps changes.
const history = 20 * time.Second

// store is a stand-in for the platform's store. Leases run out on the real clock.
type store struct {
	rec      *record
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	forgot   int64 // the newest revision that the history has lost
	leases   map[int64]*lease
	revision int64
	nextID   int64
}

func startStore(addr netip.AddrPort, rec *record) (*store, error) {
	s := &store{rec: rec, items: map[string]storeItem{}, leases: map[int64]*lease{}, revision: 100, nextID: 7000}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handleKey)
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.handleLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.handleEnd)
	return s, listenHTTP(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}))
}

// operatorPut writes an item of the operator.
func (s *store) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// contents lists the items under a prefix.
func (s *store) contents(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	lines := []string{}
	for _, item := range s.sorted(prefix) {
		lines = append(lines, item.Key+"="+string(item.Value))
	}
	return lines
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreatedAt: created, LeaseID: leaseID, at: time.Now()}
	s.items[key] = item
	s.events = append(s.events, item)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()})
}

// expire ends the leases that have run out and forgets old history.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id, "ran out")
		}
	}
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.forgot = s.events[0].Revision
		s.events = s.events[1:]
	}
}

func (s *store) end(id int64, why string) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.LeaseID == id {
			s.rec.log("store: lease %d %s, key %s is removed", id, why, key)
			s.remove(key)
		}
	}
}

func (s *store) sorted(prefix string) []storeItem {
	found := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	respond(w, http.StatusOK, struct {
		storeItem
		StoreRevision int64 `json:"store_revision"`
	}{item, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	after := r.URL.Query().Get("after")
	page := []storeItem{}
	for _, item := range s.sorted(r.URL.Query().Get("prefix")) {
		if item.Key > after {
			page = append(page, item)
		}
	}
	more := len(page) > 500
	if more {
		page = page[:500]
	}
	respond(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "store_revision": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if after < s.forgot || after > s.revision {
			s.mu.Unlock()
			respond(w, http.StatusGone, map[string]any{})
			return
		}
		found := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				found = append(found, e)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(found) > 0 || !time.Now().Before(deadline) {
			respond(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID int64  `json:"lease_id"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range txn.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			respond(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}})
			return
		}
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			respond(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
		s.rec.log("store: %s = %s under lease %d", p.Key, p.Value, p.LeaseID)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	ttl := min(max(time.Duration(request.TTLMS)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"lease_id": s.nextID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.end(id, "was ended by its holder")
	respond(w, http.StatusOK, map[string]any{})
}
