package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the front stands still: the largest for_s of node_freeze in the site file.
	freezeTime = 4 * time.Second
	// contactTime is contact_ms.
	contactTime = 4 * time.Second
	// answerBytes is the size of an answer; resp_bytes of the class stock-watch are 12,000 at most.
	answerBytes = 12000
	// flowsPerSecond is the number of flows that clients open each second, and requestsPerFlow the number of
	// requests on each, with requestPause between them.
	flowsPerSecond  = 64
	requestsPerFlow = 17
	requestPause    = 150 * time.Millisecond
)

// lateSyn: a front freezes while clients open flows. The router takes the front out of rotation, and copies of the
// opening packets reach another front. When the frozen front wakes, it forwards the opening packets that it finds in
// its socket.
func lateSyn(w *world) int {
	w.setState(7, []string{counter, catalogue}, []route{
		{addr: w.counterRoute(), kind: "idempotent", service: counter}, {addr: w.catalogueRoute(), kind: "download", service: catalogue},
	})
	sides := []*side{
		{number: 1, zone: "butterworth", service: counter}, {number: 2, zone: "butterworth", service: counter},
		{number: 3, zone: "butterworth", service: counter},
		{number: 4, zone: "bukit-mertajam", service: counter}, {number: 5, zone: "bukit-mertajam", service: counter},
		{number: 6, zone: "butterworth", service: catalogue}, {number: 7, zone: "bukit-mertajam", service: catalogue},
	}
	balancers, err := w.deploy(2, sides)
	if err != nil {
		return w.fail(err)
	}
	time.Sleep(time.Second)
	c, err := w.startClients(w.addr(3, 1))
	if err != nil {
		return w.fail(err)
	}
	var frozenUntil atomic.Int64
	frozenUntil.Store(time.Now().Add(-time.Hour).UnixNano())
	frozenFront := w.router.nodes[0]
	c.onReset = func(key flowKey, from, front netip.Addr, received uint32) {
		h := w.holder(key)
		held := h != nil
		name := "none"
		if held {
			name = h.name
		}
		sinceFreeze := time.Since(time.Unix(0, frozenUntil.Load()))
		disturbed := sinceFreeze < contactTime
		what := fmt.Sprintf("flow %v is reset by %v; its last packet went to front %v; %d bytes received; held open by host: %s; %.3f s after the front woke",
			key, from, front, received, name, sinceFreeze.Seconds())
		if held && !(disturbed && (from == frozenFront || front == frozenFront)) {
			w.violation("FLOW", "%s; front-1 is the only machine that was disturbed", what)
			return
		}
		w.logf("not counted: %s", what)
	}
	var served, failed atomic.Int64
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { openFlows(w, c, stop, &running, &served, &failed) })

	time.Sleep(10 * time.Second)
	if w.trouble {
		w.logf("front-1 at %v freezes", frozenFront)
		frozenUntil.Store(time.Now().Add(time.Hour).UnixNano())
		balancers[0].signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		balancers[0].signal(syscall.SIGCONT)
		frozenUntil.Store(time.Now().UnixNano())
		w.logf("front-1 at %v wakes", frozenFront)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	running.Wait()
	w.logf("%d requests served, %d failed; clients sent %d packets", served.Load(), failed.Load(), c.sent)
	if served.Load() < 1000 {
		return w.fail(fmt.Errorf("only %d requests were served", served.Load()))
	}
	return w.finish()
}

// openFlows opens flows at a steady rate until stop is closed. Each carries several requests with pauses.
func openFlows(w *world, c *clients, stop chan struct{}, running *sync.WaitGroup, served, failed *atomic.Int64) {
	for port := uint16(20000); ; port++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / flowsPerSecond):
		}
		running.Go(func() {
			f, ok := c.open(port, w.counterRoute())
			if !ok {
				w.logf("client: the flow from port %d did not open", port)
				failed.Add(1)
				return
			}
			for i := range requestsPerFlow {
				id := fmt.Sprintf("q-%d-%d", port, i)
				body, failure := c.request(f, id, fmt.Sprintf("/stock?bytes=%d", answerBytes), 2*time.Second)
				w.logf("answered %s: %d bytes %s", id, len(body), failure)
				if failure != "" {
					failed.Add(1)
					c.drop(f)
					return
				}
				served.Add(1)
				select {
				case <-stop:
					c.close(f)
					return
				case <-time.After(requestPause):
				}
			}
			c.close(f)
		})
	}
}
