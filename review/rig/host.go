package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	retryFirst = 200 * time.Millisecond
	retryMax   = 1600 * time.Millisecond
	hostTries  = 8
)

// flowKey is the client's end and the platform's address of a flow.
type flowKey struct{ client, service netip.AddrPort }

// hostFlow is a flow at a host. A request and its response are one packet each.
type hostFlow struct {
	expected uint32 // the client's next sequence number
	first    uint32 // the host's initial sequence number
	next     uint32 // the host's next sequence number
	open     bool
	// answer is the last response, sent until the client acknowledges it.
	answer *packet
	tries  int
	done   bool
}

// host is a stand-in for an application host beside an agent.
type host struct {
	rec     *record
	name    string
	service string
	zone    string
	ip      netip.Addr
	ports   ports
	udp     *net.UDPConn
	tcp     net.Listener
	http    *http.Server
	client  http.Client

	mu    sync.Mutex
	flows map[flowKey]*hostFlow
	born  int64
	seqNo int64
	state string
	ended bool
}

func startHost(m *machine, rec *record) (*host, error) {
	h := &host{
		rec: rec, name: "host of " + m.name, service: m.service, zone: m.zone, ip: m.ip, ports: m.ports,
		flows: map[flowKey]*hostFlow{}, born: time.Now().UnixMilli(), state: "ready",
		client: http.Client{Timeout: time.Second},
	}
	at := netip.AddrPortFrom(h.ip, h.ports.app)
	var err error
	if h.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	if h.tcp, err = net.Listen("tcp4", at.String()); err != nil {
		return nil, err
	}
	h.http = &http.Server{Handler: http.HandlerFunc(h.health)}
	go func() { _ = h.http.Serve(h.tcp) }()
	go h.serve()
	go h.reportLoop()
	return h, nil
}

// end stops the host at once, as a crash does.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	_ = h.udp.Close()
	_ = h.http.Close()
}

// holds reports whether a flow is open at the host.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return f != nil && f.open
}

func (h *host) health(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *host) reportLoop() {
	for {
		h.mu.Lock()
		ended := h.ended
		h.mu.Unlock()
		if ended {
			return
		}
		if !h.report() {
			time.Sleep(300 * time.Millisecond) // the next try; nobody else takes its reports
			continue
		}
		time.Sleep(heartbeat)
	}
}

// report sends one liveness report and returns whether it was acknowledged.
func (h *host) report() bool {
	h.mu.Lock()
	h.seqNo++
	body := fmt.Sprintf(`{"service":%q,"address":"%v:%d","zone":%q,"version":"v1","slots":5,"state":%q,"warmup_left_ms":0,"seq_no":%d,"born":%d}`,
		h.service, h.ip, h.ports.app, h.zone, h.state, h.seqNo, h.born)
	h.mu.Unlock()
	url := fmt.Sprintf("http://%v:%d/v1/Instances.Heartbeat/i-%x", h.ip, h.ports.control, h.ip.As4())
	response, err := h.client.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (h *host) serve() {
	buffer := make([]byte, 4096)
	for {
		n, err := h.udp.Read(buffer)
		if err != nil {
			return
		}
		raw := bytes.Clone(buffer[:n])
		p, genuine, ok := decode(raw)
		if !ok || !genuine {
			h.rec.log("%s: a packet that its sender did not write so", h.name)
			continue
		}
		h.mu.Lock()
		h.handle(p, raw)
		h.mu.Unlock()
	}
}

// send sends a datagram to the address outbound on the own machine.
func (h *host) send(raw []byte) {
	_, _ = h.udp.WriteToUDPAddrPort(raw, netip.AddrPortFrom(h.ip, h.ports.outbound))
}

func (h *host) bounce(raw []byte) {
	raw[30] |= flagBounced
	raw[31] = 0
	h.send(raw)
}

func (h *host) handle(p packet, raw []byte) {
	key := flowKey{p.src, p.dst}
	f := h.flows[key]
	if p.has(flagSYN) && !p.has(flagACK) {
		if f == nil || f.expected != p.seq+1 {
			f = &hostFlow{expected: p.seq + 1, first: rand.Uint32()}
			f.next = f.first + 1
			h.flows[key] = f
		}
		h.send(packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.first, ack: f.expected}.encode())
		return
	}
	// A flow is held for the packets that acknowledge this host's own numbers.
	if f == nil || (p.has(flagACK) && p.ack-f.first > f.next-f.first) {
		h.bounce(raw)
		return
	}
	if p.has(flagRST) {
		delete(h.flows, key)
		return
	}
	f.open = true
	if f.answer != nil && p.ack == f.next {
		f.answer, f.done = nil, true
	}
	if p.has(flagFIN) {
		if p.seq+uint32(len(p.data)) == f.expected {
			f.expected++
		}
		h.send(packet{src: p.dst, dst: p.src, flags: flagFIN | flagACK, seq: f.next, ack: f.expected}.encode())
		time.AfterFunc(2*time.Second, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.flows[key] == f {
				delete(h.flows, key)
			}
		})
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected { // a copy of an earlier request
		if f.answer != nil {
			h.send(f.answer.encode())
		}
		return
	}
	f.expected += uint32(len(p.data))
	request := string(p.data)
	h.rec.ran(h.name, request)
	time.AfterFunc(20*time.Millisecond, func() { h.answer(key, f, request) })
}

func (h *host) answer(key flowKey, f *hostFlow, request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	a := &packet{src: key.service, dst: key.client, flags: flagACK, seq: f.next, ack: f.expected, data: []byte(answerTo(request))}
	f.next += uint32(len(a.data))
	f.answer, f.tries = a, 0
	h.transmit(key, f, a, retryFirst)
}

// transmit sends a response until the client acknowledges it.
func (h *host) transmit(key flowKey, f *hostFlow, a *packet, delay time.Duration) {
	h.send(a.encode())
	f.tries++
	if f.tries > hostTries {
		delete(h.flows, key)
		return
	}
	time.AfterFunc(delay, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.answer == a && !h.ended {
			h.transmit(key, f, a, min(2*delay, retryMax))
		}
	})
}
