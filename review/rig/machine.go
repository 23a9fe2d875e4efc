package main

import (
	"encoding/json"
	"fmt"
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

// ports are the port numbers of the day, the same on all machines.
type ports struct{ peer, data, ready, control, outbound, app, metrics, store uint16 }

// machine is one machine of the system with its one process.
type machine struct {
	w       *world
	name    string
	role    string // balancer or agent
	zone    string
	service string
	ip      netip.Addr
	ports   ports

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	host    *host
}

func (m *machine) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// settings renders the settings file as the template of the deploy file does.
func (m *machine) settings(bootstrap bool, seeds []netip.AddrPort) []byte {
	listed := []string{}
	for _, seed := range seeds {
		listed = append(listed, seed.String())
	}
	backend, fromBackend := "", ""
	if m.role == "agent" {
		backend, fromBackend = m.addr(m.ports.app).String(), m.addr(m.ports.outbound).String()
	}
	text, _ := json.MarshalIndent(map[string]any{
		"name": m.name, "dataCentre": m.zone, "ip": m.ip.String(), "peerPort": m.ports.peer,
		"data": m.addr(m.ports.data).String(), "ready": m.addr(m.ports.ready).String(), "reports": m.addr(m.ports.control).String(),
		"fromBackend": fromBackend, "backend": backend, "service": m.service, "seeds": strings.Join(listed, ","),
		"metrics": m.addr(m.ports.metrics).String(), "firstStart": bootstrap,
		"store": m.w.storeAddr.String(), "flowLifetimeSeconds": 60,
	}, "", "  ")
	return text
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start(bootstrap bool, seeds []netip.AddrPort) {
	path := filepath.Join(m.w.dir, m.name+".json")
	if err := os.WriteFile(path, m.settings(bootstrap, seeds), 0o644); err != nil {
		m.w.cannotRun(err)
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		m.w.cannotRun(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.w.root, "target/almondledge"), "platform", m.role)
	cmd.Dir = m.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ALMONDLEDGE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		m.w.cannotRun(err)
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.process, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.w.rec.log("%s: process %s starts, seeds %v", m.name, m.role, seeds)
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
	m.w.rec.log("%s: process killed", m.name)
}

// roll stops the process as planned work does and starts it again after a short delay.
func (m *machine) roll(delay time.Duration, seeds []netip.AddrPort) {
	m.w.rec.log("%s: SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	m.wait()
	m.w.rec.log("%s: process has ended", m.name)
	time.Sleep(delay)
	m.start(false, seeds)
}

func (m *machine) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// world is one run of a case.
type world struct {
	root, dir string
	trouble   bool
	rec       *record
	ports     ports
	storeAddr netip.AddrPort
	store     *store
	fabric    *fabric
	machines  []*machine
	clients   []*client
}

func newWorld(root, folder string) *world {
	w := &world{root: root, trouble: os.Getenv("TROUBLE") != "0", fabric: &fabric{}}
	var err error
	if w.dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		w.cannotRun(err)
	}
	if w.rec, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		w.cannotRun(err)
	}
	base := freePorts()
	w.ports = ports{peer: base, data: base + 1, ready: base + 2, control: base + 3, outbound: base + 4, app: base + 5, metrics: base + 6, store: base + 7}
	w.storeAddr = netip.AddrPortFrom(netip.MustParseAddr("127.71.200.7"), w.ports.store)
	if w.store, err = startStore(w.storeAddr, w.rec); err != nil {
		w.cannotRun(err)
	}
	w.rec.log("trouble: %v", w.trouble)
	return w
}

// probed is the address at which free ports are looked for. Other runs of a case use it as well.
var probed = netip.MustParseAddr("127.71.1.10")

// freePorts returns the first of eight port numbers that are free on the loopback address probed.
func freePorts() uint16 {
	for base := uint16(21000 + os.Getpid()%500*16); ; base += 16 {
		if allFree(base) {
			return base
		}
	}
}

func allFree(base uint16) bool {
	for port := base; port < base+8; port++ {
		at := netip.AddrPortFrom(probed, port)
		tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
		if err != nil {
			return false
		}
		tcp.Close()
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return false
		}
		udp.Close()
	}
	return true
}

// machine adds a machine. The last number of its address is n.
func (w *world) machine(role, name, zone, service string, zoneNumber, n int) *machine {
	m := &machine{w: w, name: name, role: role, zone: zone, service: service, ports: w.ports,
		ip: netip.AddrFrom4([4]byte{127, 71, byte(zoneNumber), byte(n)})}
	w.machines = append(w.machines, m)
	return m
}

// startHost starts the application host on an agent's machine.
func (m *machine) startHost() {
	h, err := startHost(m, m.w.rec)
	if err != nil {
		m.w.cannotRun(err)
	}
	m.host = h
}

// join adds a front machine to the routers' list.
func (m *machine) join() {
	m.w.fabric.add(m.zone, m.addr(m.ports.data), m.addr(m.ports.ready))
}

func (w *world) client(zone string, n int) *client {
	c, err := startClient(netip.AddrFrom4([4]byte{127, 72, 0, byte(n)}), zone, w.ports.data, w.fabric, w.rec)
	if err != nil {
		w.cannotRun(err)
	}
	w.clients = append(w.clients, c)
	return c
}

// waitReady waits until so many front nodes are in rotation.
func (w *world) waitReady(count int, limit time.Duration) {
	for deadline := time.Now().Add(limit); w.fabric.count() < count; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.cannotRun(fmt.Errorf("%d of %d front nodes are ready after %v", w.fabric.count(), count, limit))
		}
	}
	w.rec.log("%d front nodes are in rotation", count)
}

// close ends all processes of the run.
func (w *world) close() {
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
		m.signal(syscall.SIGCONT)
	}
	for _, m := range w.machines {
		m.wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) cannotRun(err error) {
	if w.rec != nil {
		w.rec.log("cannot run: %v", err)
	}
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	w.close()
	os.Exit(2)
}

// listenHTTP serves HTTP at an address.
func listenHTTP(addr netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}
