package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Times of a host.
const (
	heartbeatInterval = 1200 * time.Millisecond
	heartbeatTimeout  = time.Second
	workTime          = 20 * time.Millisecond
	maxRetransmits    = 8
)

// host is a stand-in for an application host on a side machine.
type host struct {
	w       *world
	ip      netip.Addr
	id      string
	service string
	zone    string

	mu sync.Mutex
	// born is the start of the current incarnation in Unix milliseconds, or zero while the host is down.
	born     int64
	startAt  time.Time
	seqNo    int
	state    string
	flows    map[flowKey]*hostFlow
	udp      *net.UDPConn
	http     *http.Server
	stopped  chan struct{}
	requests int
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	open bool
	// first is the number of the first byte sent, next the number after the last one.
	first, next uint32
	// clientSeq is the next expected number of the client.
	clientSeq uint32
	acked     uint32
	unacked   []sentPacket
	lastSeen  time.Time
	openedAt  time.Time
}

type sentPacket struct {
	raw   []byte
	end   uint32
	sent  time.Time
	tries int
}

func (h *host) app() netip.AddrPort { return netip.AddrPortFrom(h.ip, h.w.port(portApp)) }

// start begins a new incarnation.
func (h *host) start() error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.app()))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", h.app().String())
	if err != nil {
		_ = udp.Close()
		return err
	}
	h.mu.Lock()
	h.born, h.startAt, h.seqNo, h.state = time.Now().UnixMilli(), time.Now(), 0, "ready"
	h.flows = map[flowKey]*hostFlow{}
	h.udp, h.stopped = udp, make(chan struct{})
	h.http = &http.Server{Handler: http.HandlerFunc(h.health), ReadHeaderTimeout: time.Second}
	server, stopped := h.http, h.stopped
	h.mu.Unlock()
	h.w.rec.printf("host %s: starts, id %s, born %d", h.ip, h.id, h.born)
	go func() { _ = server.Serve(listener) }()
	go h.read(udp)
	go h.beatLoop(stopped)
	go h.retransmitLoop(stopped)
	return nil
}

// stop ends the incarnation; its flows are gone.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.born == 0 {
		return
	}
	h.w.rec.printf("host %s: ends, born %d, %d flows", h.ip, h.born, len(h.flows))
	h.born, h.flows = 0, nil
	close(h.stopped)
	_ = h.udp.Close()
	_ = h.http.Close()
}

func (h *host) health(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *host) read(udp *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, err := udp.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if ok {
			h.handle(p)
		}
	}
}

// send gives a packet to the node on the machine. The lock is held.
func (h *host) send(raw []byte) {
	_, _ = h.udp.WriteToUDPAddrPort(raw, netip.AddrPortFrom(h.ip, h.w.port(portOutbound)))
}

func (h *host) handle(p packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.born == 0 {
		return
	}
	if !p.valid() {
		h.w.rec.printf("host %s: packet with a wrong sum: flow %s", h.ip, flowKey{p.src, p.dst})
		return
	}
	key := flowKey{p.src, p.dst}
	f := h.flows[key]
	if p.has(flagSYN) && !p.has(flagACK) {
		if f != nil && f.open {
			return
		}
		if f == nil || f.clientSeq != p.seq+1 {
			first := rand.Uint32()
			f = &hostFlow{first: first, next: first + 1, acked: first + 1, clientSeq: p.seq + 1, lastSeen: time.Now()}
			h.flows[key] = f
		}
		h.reply(key, f, flagSYN|flagACK, f.first, nil)
		return
	}
	if f == nil || int32(p.ack-f.first) < 1 || int32(f.next-p.ack) < 0 {
		p.flags |= flagBounced
		h.send(p.encode(p.sum))
		return
	}
	f.lastSeen = time.Now()
	if !f.open {
		f.open, f.openedAt = true, time.Now()
	}
	if p.has(flagRST) {
		delete(h.flows, key)
		return
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	for len(f.unacked) > 0 && int32(f.acked-f.unacked[0].end) >= 0 {
		f.unacked = f.unacked[1:]
	}
	switch {
	case p.has(flagFIN) && p.seq == f.clientSeq:
		f.clientSeq++
		h.reply(key, f, flagFIN|flagACK, f.next, nil)
		delete(h.flows, key)
	case len(p.data) > 0 && p.seq == f.clientSeq:
		f.clientSeq += uint32(len(p.data))
		h.requests++
		h.w.rec.ran(h, key, p.data)
		born := h.born
		time.AfterFunc(workTime, func() { h.answer(born, key, f, p.data) })
	case len(p.data) > 0:
		h.reply(key, f, flagACK, f.next, nil)
	}
}

func (h *host) reply(key flowKey, f *hostFlow, flags byte, seq uint32, data []byte) []byte {
	p := packet{src: key.route, dst: key.client, flags: flags, seq: seq, ack: f.clientSeq, data: data}
	raw := p.seal()
	h.send(raw)
	return raw
}

// answer sends the answer to a request.
func (h *host) answer(born int64, key flowKey, f *hostFlow, request []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.born != born || h.flows[key] != f {
		return
	}
	id := requestID(request)
	body := fmt.Sprintf("%s at %s born %d", id, h.ip, h.born)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s/%d\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, h.born, id, len(body), body)
	raw := h.reply(key, f, flagACK, f.next, []byte(text))
	f.next += uint32(len(text))
	f.unacked = append(f.unacked, sentPacket{raw, f.next, time.Now(), 1})
	if h.state == "draining" {
		raw = h.reply(key, f, flagFIN|flagACK, f.next, nil)
		f.next++
		f.unacked = append(f.unacked, sentPacket{raw, f.next, time.Now(), 1})
	}
}

func (h *host) retransmitLoop(stopped chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		h.mu.Lock()
		for _, f := range h.flows {
			for i := range f.unacked {
				s := &f.unacked[i]
				if s.tries <= maxRetransmits && time.Since(s.sent) >= time.Duration(retransmitMillis(s.tries))*time.Millisecond {
					s.tries, s.sent = s.tries+1, time.Now()
					h.send(s.raw)
				}
			}
		}
		h.mu.Unlock()
	}
}

func (h *host) beatLoop(stopped chan struct{}) {
	for {
		delay := heartbeatInterval
		if !h.beat() {
			delay = 200 * time.Millisecond
		}
		select {
		case <-stopped:
			return
		case <-time.After(delay):
		}
	}
}

// beat sends one liveness report and reports whether it was acknowledged.
func (h *host) beat() bool {
	h.mu.Lock()
	h.seqNo++
	body := map[string]any{
		"service": h.service, "address": h.app().String(), "zone": h.zone, "version": "v1", "slots": 5,
		"state": h.state, "warmup_left_ms": 0, "seq_no": h.seqNo, "born": h.born,
	}
	h.mu.Unlock()
	return h.call("Heartbeat", body)
}

// call sends a call about this host to the node on the machine.
func (h *host) call(name string, body map[string]any) bool {
	return h.callBy(netip.AddrPortFrom(h.ip, h.w.port(portControl)).String(), name, body)
}

// callBy sends a call about this host to an address.
func (h *host) callBy(address, name string, body map[string]any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/v1/Instances.%s/%s", address, name, h.id)
	response, err := client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// drain reports that the host is draining, and returns when that is acknowledged.
func (h *host) drain() {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	for !h.beat() && !h.w.wait(200*time.Millisecond) {
	}
	h.w.rec.printf("host %s: draining, acknowledged", h.ip)
}

// holds reports whether the host lives and has a flow open, and since when.
func (h *host) holds(key flowKey) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	if h.born == 0 || f == nil || !f.open {
		return time.Time{}, false
	}
	return f.openedAt, true
}
