package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at,omitempty"`
	LeaseID   int64  `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 7000, changed: make(chan struct{})}
}

// put writes a key and returns its revision. The lock is held.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, LeaseID: leaseID}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator does. Its return is the ack.
func (s *store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// expire ends leases that have run out. The lock is held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.remove(key)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			reply(w, 404, map[string]any{"store_revision": s.revision})
			return
		}
		reply(w, 200, struct {
			item
			StoreRevision int64 `json:"store_revision"`
		}{it, s.revision})
	case path == "/v1/kv-range":
		items := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				items = append(items, it)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		more := len(items) > 500
		if more {
			items = items[:500]
		}
		reply(w, 200, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
	case path == "/v1/kv-txn":
		s.txn(w, r)
	case path == "/v1/kv-lease":
		var l struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&l) != nil || l.TTL < 1000 || l.TTL > 600_000 {
			reply(w, 400, nil)
			return
		}
		s.nextID++
		ttl := time.Duration(l.TTL) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]int64{"lease_id": s.nextID, "ttl_ms": l.TTL})
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, 404, nil)
			return
		}
		l.until = time.Now().Add(l.ttl)
		reply(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			reply(w, 404, nil)
			return
		}
		s.endLease(id)
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, nil)
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, nil)
		return
	}
	current, conflict := []item{}, false
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		conflict = conflict || it.Revision != e.Revision
	}
	if conflict {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, nil)
			return
		}
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			reply(w, 404, nil)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	reply(w, 200, map[string]int64{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for last := false; ; {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
