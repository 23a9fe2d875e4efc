package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	counter   = "huvo11a"
	catalogue = "wuno96b"
	// flowsOfClient is the number of ports that the client of the case uses again.
	flowsOfClient = 40
	// reuseAfter is the time for which the client leaves a port unused after its flow was closed.
	reuseAfter = 61 * time.Second
	// maxLost is the number of packets that the network loses, and lossShare the largest share of the clients'
	// packets that they may be (net.loss of the site file).
	maxLost   = 5
	lossShare = 0.0015
)

// Ports of the routes.
const (
	counterPort   = 8080
	cataloguePort = 8443
)

// counterRoute and catalogueRoute return the addresses of the routes. No socket is bound to them.
func (w *world) counterRoute() endpoint   { return endpoint{w.addr(5, 1).As4(), counterPort} }
func (w *world) catalogueRoute() endpoint { return endpoint{w.addr(5, 2).As4(), cataloguePort} }

// reusedPort: a host is drained and leaves, and its address goes to a host of another service. Later a client uses
// ports again from which it had flows to that address, and the network loses the first SYN of a few of them.
func reusedPort(w *world) int {
	w.setState(7, []string{counter, catalogue}, []route{
		{addr: w.counterRoute(), kind: "non_idempotent", service: counter}, {addr: w.catalogueRoute(), kind: "download", service: catalogue},
	})
	// The side machines of the site mbps-ledge: seven of counter and three of catalogue.
	sides := []*side{
		{number: 1, zone: "butterworth", service: counter}, {number: 2, zone: "butterworth", service: counter},
		{number: 3, zone: "butterworth", service: counter},
		{number: 4, zone: "bukit-mertajam", service: counter}, {number: 5, zone: "bukit-mertajam", service: counter},
		{number: 6, zone: "nibong-tebal", service: counter}, {number: 7, zone: "nibong-tebal", service: counter},
		{number: 8, zone: "butterworth", service: catalogue}, {number: 9, zone: "bukit-mertajam", service: catalogue},
		{number: 10, zone: "nibong-tebal", service: catalogue},
	}
	if _, err := w.deploy(2, sides); err != nil {
		return w.fail(err)
	}
	time.Sleep(time.Second)
	ours, err := w.startClients(w.addr(3, 1))
	if err != nil {
		return w.fail(err)
	}
	others, err := w.startClients(w.addr(3, 2))
	if err != nil {
		return w.fail(err)
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	served := backgroundLoad(others, stop, &background)

	before := map[uint16]*host{}
	for i := range flowsOfClient {
		port := uint16(40001 + i)
		before[port] = oneRequest(w, ours, port, fmt.Sprintf("first-%d", port))
	}
	closed := time.Now()

	moved := sides[0]
	if w.trouble {
		moved.host.drainAndLeave()
		moved.agent.signal(15)
		<-moved.agent.done
		time.Sleep(2500 * time.Millisecond) // addr_reuse_s is 2
		moved.service = catalogue
		if err := w.startSide(moved, 2, false); err != nil {
			return w.fail(err)
		}
	}
	time.Sleep(time.Until(closed.Add(reuseAfter)))

	lost := 0
	ours.lose = func(p packet) bool {
		h := before[p.src.port]
		first := p.flags == flagSYN && p.ack == 0
		if !first || lost == maxLost || h == nil || h.ip != w.addr(2, moved.number) {
			return false
		}
		lost++
		return true
	}
	for i := range flowsOfClient {
		port := uint16(40001 + i)
		oneRequest(w, ours, port, fmt.Sprintf("again-%d", port))
	}
	close(stop)
	background.Wait()
	sent := ours.sent + others.sent
	w.logf("clients sent %d packets, of which the network lost %d; %d requests of other clients were served", sent, lost, served.Load())
	if lost == 0 || float64(lost) > lossShare*float64(sent) {
		return w.fail(fmt.Errorf("%d of %d packets lost is not a share of at most %v", lost, sent, lossShare))
	}
	return w.finish()
}

// oneRequest opens a flow from a port, sends one request, closes the flow and returns the host that took it.
func oneRequest(w *world, c *clients, port uint16, id string) *host {
	f, ok := c.open(port, w.counterRoute())
	if !ok {
		w.logf("client: request %s: the flow did not open", id)
		return nil
	}
	h := w.taker(f.key)
	body, failure := c.request(f, id, "/order", 2*time.Second)
	closed := c.close(f)
	w.logf("answered %s on %v: answer %q%s; taken by %s of %s at %v; closed by both ends: %v", id, f.key, body, failure, h.name, h.service, h.ip, closed)
	return h
}

// backgroundLoad sends requests of other clients, each on a flow of its own, until stop is closed.
func backgroundLoad(c *clients, stop chan struct{}, wg *sync.WaitGroup) *atomic.Int64 {
	var served atomic.Int64
	var port atomic.Uint32
	port.Store(10000)
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				p := uint16(port.Add(1))
				to := []endpoint{c.w.counterRoute(), c.w.catalogueRoute()}[p%2]
				f, ok := c.open(p, to)
				if !ok {
					continue
				}
				id := fmt.Sprintf("other-%d", p)
				body, failure := c.request(f, id, "/feed", 2*time.Second)
				c.w.logf("answered %s: %d bytes %s", id, len(body), failure)
				if body != "" {
					served.Add(1)
				}
				c.close(f)
			}
		})
	}
	return &served
}
