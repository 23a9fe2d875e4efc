package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
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

// Figures of the deployment, as in the users' small site files and the examples of their pages.
const (
	heartbeat = 770 * time.Millisecond
	drainTime = 3 * time.Second
	workTime  = 10 * time.Millisecond
	hostSlots = 5
	flowMaxS  = 60
	program   = "target/almondledge"
)

// ports are the ports of all machines of a deployment.
type ports struct{ data, ready, control, outbound, app, peer, store, metrics uint16 }

// world is one deployment with its stand-ins.
type world struct {
	net     byte
	ports   ports
	dir     string
	store   *store
	router  *router
	trouble bool
	begun   time.Time

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	over   bool
	// allowed lists the services to which any desired state sent each route.
	allowed  map[endpoint]map[string]bool
	requests map[string]*requestRecord
	// takenBy is the host that took the opening packet of each flow last.
	takenBy  map[flowKey]*host
	broken   []string
	programs []*process
	hosts    []*host
	storeSrv *http.Server
}

// requestRecord is what was seen of one request.
type requestRecord struct {
	key  flowKey
	text string
	runs []string
}

// route is a route of the desired state.
type route struct {
	addr    endpoint
	kind    string
	service string
	weights map[string]int
}

// newWorld chooses free loopback addresses and ports and starts the store.
func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "almondledge-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), file: record, record: bufio.NewWriter(record),
		allowed: map[endpoint]map[string]bool{}, requests: map[string]*requestRecord{}, takenBy: map[flowKey]*host{},
	}
	for range 50 {
		w.net = byte(20 + rand.IntN(200))
		base := uint16(12000 + rand.IntN(15000))
		w.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(w.addr(4, 1), w.ports.store).String())
		if err != nil || !w.portsAreFree() {
			continue
		}
		w.storeSrv = &http.Server{Handler: w.store}
		go func() { _ = w.storeSrv.Serve(listener) }()
		return w, nil
	}
	return nil, fmt.Errorf("no free ports")
}

// portsAreFree reports whether the ports of the first machines can be bound.
func (w *world) portsAreFree() bool {
	for kind := 1; kind <= 3; kind++ {
		for _, port := range []uint16{w.ports.data, w.ports.ready, w.ports.control, w.ports.outbound, w.ports.app, w.ports.peer, w.ports.metrics} {
			at := netip.AddrPortFrom(w.addr(kind, 1), port)
			u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
			if err != nil {
				return false
			}
			u.Close()
			l, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// addr returns a loopback address. Kinds: 1 front, 2 side, 3 client, 4 store, 5 route.
func (w *world) addr(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(kind), byte(number)})
}

func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

func (w *world) write(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (w *world) violation(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, rule)
	w.write("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// setState writes a desired state, as the operator does. It returns the time of the ack.
func (w *world) setState(version int, services []string, routes []route) time.Time {
	wireRoutes, wireServices := []map[string]any{}, []map[string]any{}
	w.mu.Lock()
	for i, r := range routes {
		m := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": netip.AddrFrom4(r.addr.ip).String(), "prefix": fmt.Sprintf("/%d/", r.addr.port),
			"route_type": r.kind, "timeout_ms": 2000, "target_latency_ms": 250, "priority": 1, "max_attempts": 2,
		}
		if w.allowed[r.addr] == nil {
			w.allowed[r.addr] = map[string]bool{}
		}
		if r.service != "" {
			m["service"] = r.service
			w.allowed[r.addr][r.service] = true
		}
		split := []map[string]any{}
		for service, weight := range r.weights {
			split = append(split, map[string]any{"service": service, "weight": weight})
			w.allowed[r.addr][service] = w.allowed[r.addr][service] || weight > 0
		}
		if len(split) > 0 {
			m["traffic_split"] = split
		}
		wireRoutes = append(wireRoutes, m)
	}
	w.mu.Unlock()
	for _, s := range services {
		wireServices = append(wireServices, map[string]any{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": wireRoutes, "services": wireServices,
		"limits": map[string]int{"idle_timeout_ms": 12000, "max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	w.store.Put("op/config", value)
	w.logf("operator: version %d is acknowledged: %s", version, value)
	return time.Now()
}

// opened records an opening packet that a client sent.
func (w *world) opened(key flowKey, number int) {
	if number > 0 {
		w.logf("client: copy %d of the SYN of %v", number, key)
	}
}

// asked records a request that a client sent.
func (w *world) asked(id string, key flowKey, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[id] = &requestRecord{key: key, text: text}
	w.write("sent %s on %v", id, key)
}

// taken records that a host took an opening packet.
func (w *world) taken(h *host, key flowKey, p packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takenBy[key] = h
}

// ran checks a request that a host begins to work on.
func (w *world) ran(h *host, key flowKey, id, text string) {
	w.mu.Lock()
	r := w.requests[id]
	allowed := w.allowed[key.route][h.service]
	if r != nil {
		r.runs = append(r.runs, h.name)
	}
	w.write("run %s by %s of %s", id, h.name, h.service)
	w.mu.Unlock()
	if r == nil || r.text != text || r.key != key {
		w.violation("UNASKED", "host %s of %s runs request %q, which no client sent so", h.name, h.service, id)
	}
	if !allowed {
		w.violation("ROUTE", "request %s to route %v is run by host %s of service %s, to which no desired state ever sent allows it to go", id, key.route, h.name, h.service)
	}
}

func (w *world) taker(key flowKey) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takenBy[key]
}

// holder returns the host at which a flow is open, or nil.
func (w *world) holder(key flowKey) *host {
	w.mu.Lock()
	hosts := w.hosts
	w.mu.Unlock()
	for _, h := range hosts {
		if h.holds(key) {
			return h
		}
	}
	return nil
}

// process is one process of the system on its machine.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a program of the deploy file with the settings of a machine.
func (w *world) start(role, name, zone string, ip netip.Addr, service string, first bool) (*process, error) {
	at := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	seeds := []string{}
	for _, n := range w.router.nodes[:min(3, len(w.router.nodes))] {
		seeds = append(seeds, netip.AddrPortFrom(n, w.ports.control).String())
	}
	s := map[string]any{
		"name": name, "dataCentre": zone, "ip": ip.String(), "peerPort": w.ports.peer, "data": at(w.ports.data), "ready": at(w.ports.ready),
		"reports": at(w.ports.control), "fromBackend": "", "backend": "", "service": service, "seeds": strings.Join(seeds, ","),
		"metrics": at(w.ports.metrics), "firstStart": first, "flowLifetimeSeconds": flowMaxS,
		"store": netip.AddrPortFrom(w.addr(4, 1), w.ports.store).String(),
	}
	if role == "agent" {
		s["fromBackend"], s["backend"] = at(w.ports.outbound), at(w.ports.app)
	}
	text, _ := json.MarshalIndent(s, "", "  ")
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDLEDGE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name, cmd, make(chan struct{})}
	w.mu.Lock()
	w.programs = append(w.programs, p)
	w.mu.Unlock()
	w.logf("%s %s starts at %v for service %q", role, name, ip, service)
	go func() {
		err := cmd.Wait()
		log.Close()
		w.logf("%s %s has ended: %v", role, name, err)
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// finish ends everything that was started and returns the exit code.
func (w *world) finish() int {
	w.mu.Lock()
	w.over = true
	programs, hosts := w.programs, w.hosts
	w.mu.Unlock()
	for _, p := range programs {
		if !p.hasEnded() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
		<-p.done
	}
	for _, h := range hosts {
		h.stop()
	}
	_ = w.storeSrv.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, rule := range w.broken {
		count[rule]++
	}
	w.write("rules broken: %v", count)
	fmt.Println("rules broken:", count)
	_ = w.record.Flush()
	_ = w.file.Close()
	if len(w.broken) > 0 {
		return 1
	}
	return 0
}

// fail ends everything after an error that kept the case from running.
func (w *world) fail(err error) int {
	w.logf("the case cannot run: %v", err)
	w.finish()
	fmt.Println("the case cannot run:", err)
	return 2
}

// side is a side machine: a host with an agent beside it.
type side struct {
	number  int
	zone    string
	service string
	host    *host
	agent   *process
}

func (w *world) startSide(s *side, generation int, first bool) error {
	ip := w.addr(2, s.number)
	var err error
	if s.host, err = w.startHost(fmt.Sprintf("i-%d-%d", s.number, generation), s.service, s.zone, ip); err != nil {
		return err
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, s.host)
	w.mu.Unlock()
	s.agent, err = w.start("agent", fmt.Sprintf("side-%d-%d", s.number, generation), s.zone, ip, s.service, first)
	return err
}

// deploy starts fronts and side machines and waits until all fronts are in rotation.
func (w *world) deploy(fronts int, sides []*side) ([]*process, error) {
	w.router = &router{w: w}
	for i := range fronts {
		w.router.nodes = append(w.router.nodes, w.addr(1, i+1))
	}
	var balancers []*process
	for i, ip := range w.router.nodes {
		p, err := w.start("balancer", fmt.Sprintf("front-%d", i+1), "butterworth", ip, "", true)
		if err != nil {
			return nil, err
		}
		balancers = append(balancers, p)
	}
	for _, s := range sides {
		if err := w.startSide(s, 1, true); err != nil {
			return nil, err
		}
	}
	go w.router.watch()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		w.router.mu.Lock()
		ready := w.router.answering
		w.router.mu.Unlock()
		if ready == fronts {
			return balancers, nil
		}
	}
	return nil, fmt.Errorf("not all fronts became ready")
}
