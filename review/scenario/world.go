package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, as offsets to a base that is free.
const (
	portData = iota
	portReady
	portControl
	portOutbound
	portPeer
	portApp
	portMetrics
	portStore
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// Third bytes of the addresses of machines.
const (
	kindFront = iota + 1
	kindSide
	kindClient
	kindStore
	kindRoute
)

// world holds the processes under test and the stand-ins around them.
type world struct {
	base       uint16
	network    byte
	dir        string
	root       string
	rec        *recorder
	store      *store
	router     *router
	nodes      []*node
	hosts      []*host
	clients    []*client
	done       chan struct{}
	users      sync.WaitGroup
	maxFlowAge time.Duration
}

func (w *world) port(offset int) uint16 { return w.base + uint16(offset) }

func (w *world) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(kind), byte(i + 1)})
}

// wait waits and reports whether the world has ended.
func (w *world) wait(d time.Duration) bool {
	select {
	case <-w.done:
		return true
	case <-time.After(d):
		return false
	}
}

func newWorld(root, dir string, rec *recorder) (*world, error) {
	w := &world{root: root, dir: dir, rec: rec, done: make(chan struct{}), maxFlowAge: 45 * time.Second}
	for range 50 {
		w.network = byte(100 + rand.IntN(100))
		w.base = uint16(20000 + rand.IntN(1000)*10)
		var err error
		w.store, err = startStore(w.storeAddr())
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	if w.store == nil {
		return nil, errors.New("no free port")
	}
	w.router = &router{w: w, misses: map[netip.Addr]int{}}
	go w.router.run()
	return w, nil
}

func (w *world) storeAddr() string {
	return netip.AddrPortFrom(w.address(kindStore, 0), w.port(portStore)).String()
}

// route returns the address of a route.
func (w *world) route(i int) endpoint { return endpoint{w.address(kindRoute, i).As4(), 443} }

// setConfig writes a desired state with one route to each service.
func (w *world) setConfig(version int, routeType string, timeout time.Duration, services ...string) error {
	routes, list := []map[string]any{}, []map[string]any{}
	for i, s := range services {
		r := w.route(i)
		routes = append(routes, map[string]any{
			"name": "r-" + s, "hostname": netip.AddrFrom4(r.ip).String(), "prefix": fmt.Sprintf("/%d/", r.port), "route_type": routeType,
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 250, "priority": 1, "service": s, "max_attempts": 2,
		})
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err == nil {
		w.store.put("op/config", value)
		w.rec.printf("operator: version %d is acknowledged", version)
	}
	return err
}

// node is a process of the system on a machine.
type node struct {
	w       *world
	name    string
	role    string
	zone    string
	ip      netip.Addr
	service string
	seeds   []netip.Addr
	// first is true for the first start of the whole system.
	first bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
	// expected is set while the process is being stopped.
	expected bool
}

func (n *node) settingsPath() string { return filepath.Join(n.w.dir, n.name+".json") }

// writeSettings writes the settings file as deploy/settings.json.tmpl renders it.
func (n *node) writeSettings() error {
	at := func(port int) string { return netip.AddrPortFrom(n.ip, n.w.port(port)).String() }
	var seeds []string
	for _, s := range n.seeds {
		seeds = append(seeds, netip.AddrPortFrom(s, n.w.port(portControl)).String())
	}
	s := map[string]any{
		"name": n.name, "dataCentre": n.zone, "ip": n.ip.String(), "peerPort": n.w.port(portPeer), "data": at(portData),
		"ready": at(portReady), "reports": at(portControl), "fromBackend": "", "backend": "", "service": "",
		"seeds": strings.Join(seeds, ","), "metrics": at(portMetrics), "firstStart": n.first, "store": n.w.storeAddr(), "flowLifetimeSeconds": 60,
	}
	if n.role == "agent" {
		s["fromBackend"], s["backend"], s["service"] = at(portOutbound), at(portApp), n.service
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath(), text, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		var err error
		if n.log, err = os.Create(filepath.Join(n.w.dir, n.name+".log")); err != nil {
			return err
		}
	}
	n.command = exec.Command("target/almondledge", "platform", n.role)
	n.command.Dir = n.w.root
	n.command.Env = []string{"ALMONDLEDGE_SETTINGS=" + n.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.expected = false
	command, ended := n.command, make(chan struct{})
	n.ended = ended
	go func() {
		err := command.Wait()
		n.mu.Lock()
		if !n.expected {
			n.w.rec.printf("%s: process ended by itself: %v", n.name, err)
		}
		n.mu.Unlock()
		close(ended)
	}()
	n.w.rec.printf("%s: started", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		n.expected = true
	}
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Signal(s)
	}
}

// terminate stops the process as the platform does and returns when it has ended.
func (n *node) terminate() {
	n.w.rec.printf("%s: SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(grace):
		n.kill()
	}
}

func (n *node) kill() {
	if n.ended == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// addFront adds a balancer without starting it.
func (w *world) addFront(zone string, seeds []netip.Addr, first bool) {
	i := 0
	for _, n := range w.nodes {
		if n.role == "balancer" {
			i++
		}
	}
	n := &node{w: w, name: fmt.Sprintf("front-%d", i+1), role: "balancer", zone: zone, ip: w.address(kindFront, i), seeds: seeds, first: first}
	w.nodes = append(w.nodes, n)
}

// addSide adds an agent and its host without starting them.
func (w *world) addSide(zone, service string, seeds []netip.Addr, first bool) *node {
	i := len(w.hosts)
	n := &node{w: w, name: fmt.Sprintf("side-%d", i+1), role: "agent", zone: zone, ip: w.address(kindSide, i), service: service, seeds: seeds, first: first}
	h := &host{w: w, ip: n.ip, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone}
	w.nodes, w.hosts = append(w.nodes, n), append(w.hosts, h)
	return n
}

// close ends everything that was started.
func (w *world) close() {
	close(w.done)
	for _, n := range w.nodes {
		n.kill()
	}
	w.users.Wait()
	for _, h := range w.hosts {
		h.stop()
	}
	for _, c := range w.clients {
		_ = c.udp.Close()
	}
	_ = w.store.server.Close()
}

// judgeReset applies rule FLOW (a): a client of an open flow got a reset that the flow's host didn't send.
func (w *world) judgeReset(key flowKey, server string, age, idle time.Duration) {
	for _, h := range w.hosts {
		opened, held := h.holds(key)
		if !held {
			continue
		}
		if !strings.HasPrefix(server, h.id+"/") && server != "" {
			continue
		}
		if age > 60*time.Second || idle > 15*time.Second {
			return
		}
		w.rec.broken("FLOW", "flow %s, open at host %s for %v: its client got a reset of the system", key, h.ip, time.Since(opened).Round(time.Millisecond))
		return
	}
	w.rec.printf("flow %s: reset, no host holds it any more", key)
}

// router is a stand-in for the platform's routers.
type router struct {
	w      *world
	mu     sync.Mutex
	misses map[netip.Addr]int
}

// run checks the readiness of each front twice per second.
func (r *router) run() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !r.w.wait(500 * time.Millisecond) {
		for _, n := range r.w.nodes {
			if n.role != "balancer" {
				continue
			}
			go func() {
				ok := false
				response, err := client.Get(fmt.Sprintf("http://%s/v1/readiness", netip.AddrPortFrom(n.ip, r.w.port(portReady))))
				if err == nil {
					_ = response.Body.Close()
					ok = response.StatusCode == http.StatusOK
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					r.misses[n.ip] = 0
				} else {
					r.misses[n.ip]++
				}
			}()
		}
	}
}

func (r *router) ready(ip netip.Addr) bool {
	misses, known := r.misses[ip]
	return known && misses < 2
}

// pick selects the front for a packet of a client in a zone.
func (r *router) pick(zone string, key flowKey) (netip.Addr, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, ready, others []netip.Addr
	for _, n := range r.w.nodes {
		switch {
		case n.role != "balancer":
		case n.zone != zone:
			if r.ready(n.ip) {
				others = append(others, n.ip)
			}
		default:
			own = append(own, n.ip)
			if r.ready(n.ip) {
				ready = append(ready, n.ip)
			}
		}
	}
	set := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		set = others
	case 2*len(ready) < len(own):
		set = own
	}
	if len(set) == 0 {
		return netip.Addr{}, false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key.String()))
	return set[hash.Sum32()%uint32(len(set))], true
}
