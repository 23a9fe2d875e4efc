package main

import (
	"sync"
	"time"
)

// result is one request as its client saw it.
type result struct {
	sent    time.Time
	outcome string
}

// traffic is a group of clients that open one flow after the other.
type traffic struct {
	mu      sync.Mutex
	results []result
	stop    chan struct{}
	group   sync.WaitGroup
}

// startTraffic lets each client send a request about every pause.
func (w *world) startTraffic(pause, limit time.Duration) *traffic {
	t := &traffic{stop: make(chan struct{})}
	for i, c := range w.clients {
		t.group.Add(1)
		go func() {
			defer t.group.Done()
			time.Sleep(pause * time.Duration(i) / time.Duration(len(w.clients)))
			for {
				select {
				case <-t.stop:
					return
				default:
				}
				sent := time.Now()
				id, outcome := c.request(w.serviceAddr(), limit)
				w.rec.log("client %v: %s: %s", c.ip, id, outcome)
				t.mu.Lock()
				t.results = append(t.results, result{sent, outcome})
				t.mu.Unlock()
				time.Sleep(max(0, pause-time.Since(sent)))
			}
		}()
	}
	return t
}

// end stops the clients and waits for their last requests.
func (t *traffic) end() {
	close(t.stop)
	t.group.Wait()
}

// served counts the requests that were sent between two moments, and those of them that were answered.
func (t *traffic) served(from, to time.Time) (answered, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.results {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		all++
		if r.outcome == "ok" {
			answered++
		}
	}
	return answered, all
}
