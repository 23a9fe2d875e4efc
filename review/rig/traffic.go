package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

// flowGroup is a group of clients that keep flows open.
type flowGroup struct {
	mu     sync.Mutex
	opened int
	resets []string
	group  sync.WaitGroup
}

// flowLife is shorter than flow_max_s (60 s).
const flowLife = 45 * time.Second

// startFlows lets each client keep so many flows open until the given time. A flow that fails is opened again.
func (w *world) startFlows(count int, until time.Time) *flowGroup {
	g := &flowGroup{}
	for _, c := range w.clients {
		for range count {
			g.group.Go(func() {
				base := 200*time.Millisecond + rand.N(2*time.Second)
				time.Sleep(rand.N(3 * time.Second))
				for time.Now().Before(until) {
					end := time.Now().Add(flowLife)
					if end.After(until) {
						end = until
					}
					key, outcome, answers := c.keepFlow(w.serviceAddr(), end, func() time.Duration { return base + rand.N(time.Second) })
					g.ended(w, key, outcome, answers)
				}
			})
		}
	}
	return g
}

func (g *flowGroup) ended(w *world, key flowKey, outcome string, answers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answers > 0 {
		g.opened++
	}
	if outcome == "ok" {
		return
	}
	w.rec.log("client %v: flow ended after %d answers: %s", key.client, answers, outcome)
	if holder := w.holder(key); outcome == resetOfOpenFlow && holder != "" {
		w.rec.log("%s lives and holds the flow of client %v", holder, key.client)
		g.resets = append(g.resets, key.client.String())
	}
	if answers == 0 {
		time.Sleep(100 * time.Millisecond)
	}
}

// holder returns the name of the host at which a flow is open, or "".
func (w *world) holder(key flowKey) string {
	for _, m := range w.machines {
		if m.host != nil && m.host.holds(key) {
			return m.host.name
		}
	}
	return ""
}

// judge applies the rule FLOW (a): no host has sent a reset, and all hosts live from the begin to the end.
func (g *flowGroup) judge(w *world) verdict {
	g.group.Wait()
	if g.opened == 0 {
		w.cannotRun(errors.New("no flow was open"))
	}
	return verdict{len(g.resets) > 0, fmt.Sprintf("%d flows were open, %d of them got a reset that their host did not send", g.opened, len(g.resets))}
}
