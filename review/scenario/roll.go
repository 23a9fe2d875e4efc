package main

import (
	"errors"
	"net/netip"
	"time"
)

// Sizes and times of the deployment of slowRestartInARoll.
const (
	rollSides       = 24
	rollUsers       = 3000
	rollGap         = time.Second
	restartDelay    = 550 * time.Millisecond
	slowRestart     = 5 * time.Second
	rollSidesInTurn = 3
	maxSeeds        = 3
)

// startAll starts all nodes and hosts and waits until the fronts are in rotation.
func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(12 * time.Second)
}

// awaitReady waits until all fronts that run are in rotation.
func (w *world) awaitReady(limit time.Duration) error {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(100 * time.Millisecond) {
		ready := true
		w.router.mu.Lock()
		for _, n := range w.nodes {
			if n.role == "balancer" && !w.router.ready(n.ip) {
				ready = false
			}
		}
		w.router.mu.Unlock()
		if ready {
			w.rec.printf("all fronts are in rotation")
			return nil
		}
	}
	return errors.New("the fronts did not become ready")
}

// startUsers starts clients in the zones with a number of users in all.
func (w *world) startUsers(zones []string, users int, u usage) error {
	const perClient = 50
	for i := 0; i*perClient < users; i++ {
		c, err := w.newClient(w.address(kindClient, i), zones[i%len(zones)])
		if err != nil {
			return err
		}
		w.clients = append(w.clients, c)
		for range perClient {
			w.users.Go(func() { c.runUser(u) })
		}
	}
	return nil
}

// slowRestartInARoll stops and starts some agents in turn. The first of them takes longer to start again than the
// others.
func slowRestartInARoll(w *world, trouble bool) error {
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	var seeds []netip.Addr
	for i := range maxSeeds {
		seeds = append(seeds, w.address(kindFront, i))
	}
	for _, zone := range zones {
		w.addFront(zone, seeds, true)
	}
	var sides []*node
	for i := range rollSides {
		sides = append(sides, w.addSide(zones[i%len(zones)], "counter", seeds, true))
	}
	if err := w.setConfig(7, "download", 5*time.Second, "counter"); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if err := w.startUsers(zones, rollUsers, usage{route: w.route(0), interval: 3 * time.Second, limit: 5 * time.Second}); err != nil {
		return err
	}
	w.wait(10 * time.Second)
	if trouble {
		slow := sides[3]
		go func() {
			slow.terminate()
			w.wait(slowRestart)
			_ = slow.start()
		}()
		for i := range rollSidesInTurn {
			w.wait(rollGap)
			n := sides[4*(i+1)]
			go func() {
				n.terminate()
				w.wait(restartDelay)
				_ = n.start()
			}()
		}
	}
	w.wait(10 * time.Second)
	return nil
}
