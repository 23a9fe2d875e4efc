package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// clients is the network side of one client address: all flows of its ports, and the router of its zone, which
// hashes the four addresses and ports over the nodes in rotation.
type clients struct {
	w      *world
	ip     netip.Addr
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[flowKey]*clientFlow
	// lose decides whether a packet gets lost between the client and the router. It may be nil.
	lose func(p packet) bool
	// onReset is called with each reset of the system that ends an open flow: the machine that sent the reset,
	// the front that took the last packet, and the bytes that the client got on the flow.
	onReset func(key flowKey, from, front netip.Addr, received uint32)
	// sent and lost count the client's packets.
	sent, lost int
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	key      flowKey
	seq      uint32 // next sequence number to send
	ack      uint32 // next sequence number expected
	open     bool
	reset    bool
	fin      bool
	received []byte
	acked    uint32
	wake     chan struct{}
	// firstAck is the first sequence number of the host's data.
	firstAck uint32
	// sentTo is the front to which the router handed the last packet.
	sentTo netip.Addr
}

func (w *world) startClients(ip netip.Addr) (*clients, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.ports.data)))
	if err != nil {
		return nil, err
	}
	c := &clients{w: w, ip: ip, socket: socket, flows: map[flowKey]*clientFlow{}}
	go c.receive()
	return c, nil
}

func (c *clients) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, genuine, err := decode(append([]byte(nil), buffer[:n]...))
		if err != nil {
			c.w.violation("MIXED", "client %v got a datagram that is no packet", c.ip)
			continue
		}
		systemReset := p.flags == flagRST && len(p.data) == 0 && !genuine
		if !genuine && !systemReset {
			c.w.violation("MIXED", "client %v got a packet that its sender did not write so", c.ip)
			continue
		}
		c.handle(p, from.Addr().Unmap(), systemReset)
	}
}

func (c *clients) handle(p packet, from netip.Addr, systemReset bool) {
	key := flowKey{p.dst, p.src}
	c.mu.Lock()
	f := c.flows[key]
	if f == nil {
		c.mu.Unlock()
		return
	}
	var answers []packet
	switch {
	case p.has(flagRST):
		near := int32(p.seq-f.ack) < 76_800 && int32(p.seq-f.ack) > -76_800
		if systemReset && f.open && near && !f.reset && c.onReset != nil {
			go c.onReset(f.key, from, f.sentTo, f.ack-f.firstAck)
		}
		f.reset = f.reset || !f.open || near
	case p.has(flagSYN | flagACK):
		if !f.open && p.ack == f.seq {
			f.open, f.ack, f.firstAck = true, p.seq+1, p.seq+1
		}
		if f.open && f.ack == p.seq+1 {
			answers = append(answers, f.packet(flagACK, nil))
		}
	case f.open:
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) > 0 && p.seq == f.ack {
			f.ack += uint32(len(p.data))
			f.received = append(f.received, p.data...)
		}
		if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.ack {
			f.ack++
			f.fin = true
		}
		if len(p.data) > 0 || p.has(flagFIN) {
			answers = append(answers, f.packet(flagACK, nil))
		}
	}
	c.mu.Unlock()
	for _, a := range answers {
		c.send(a)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *clientFlow) packet(flags byte, data []byte) packet {
	return packet{src: f.key.client, dst: f.key.route, flags: flags, seq: f.seq, ack: f.ack, data: data}
}

// send hands a packet to the router of the zone, unless it gets lost on the way.
func (c *clients) send(p packet) {
	c.mu.Lock()
	c.sent++
	lost := c.lose != nil && c.lose(p)
	if lost {
		c.lost++
	}
	c.mu.Unlock()
	if lost {
		c.w.logf("the network loses a packet: %v flags %d copy %d", flowKey{p.src, p.dst}, p.flags, p.ack)
		return
	}
	key := flowKey{p.src, p.dst}
	if to, ok := c.w.router.route(key); ok {
		c.mu.Lock()
		if f := c.flows[key]; f != nil {
			f.sentTo = to
		}
		c.mu.Unlock()
		_, _ = c.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to, c.w.ports.data))
	}
}

// await waits until a condition holds, for limit at most.
func (c *clients) await(f *clientFlow, limit time.Duration, condition func() bool) bool {
	timer := time.NewTimer(max(0, limit))
	defer timer.Stop()
	for {
		c.mu.Lock()
		ok := condition()
		c.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-timer.C:
			return false
		case <-f.wake:
		}
	}
}

// open opens a flow from a port. It sends copies of the SYN after 200 and 600 ms and gives up after 1.4 s.
func (c *clients) open(port uint16, route endpoint) (*clientFlow, bool) {
	f := &clientFlow{key: flowKey{endpoint{c.ip.As4(), port}, route}, seq: rand.Uint32(), wake: make(chan struct{}, 1)}
	syn := f.packet(flagSYN, nil)
	f.seq++
	f.acked = f.seq
	c.mu.Lock()
	c.flows[f.key] = f
	c.mu.Unlock()
	begun := time.Now()
	for number, next := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		syn.ack = uint32(number)
		c.w.opened(f.key, number)
		c.send(syn)
		if c.await(f, next-time.Since(begun), func() bool { return f.open || f.reset }) {
			return f, f.open
		}
	}
	c.drop(f)
	return f, false
}

// request sends one request and returns the body of the answer, or a reason why there is none.
func (c *clients) request(f *clientFlow, id, path string, limit time.Duration) (body, failure string) {
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", path, f.key.route, id)
	c.mu.Lock()
	f.received = nil
	p := f.packet(flagACK, []byte(text))
	f.seq += uint32(len(text))
	end := f.seq
	c.mu.Unlock()
	c.w.asked(id, f.key, text)
	deadline, pause := time.Now().Add(limit), 200*time.Millisecond
	for time.Now().Before(deadline) {
		c.mu.Lock()
		p.ack = f.ack
		acked := int32(f.acked-end) >= 0
		c.mu.Unlock()
		if !acked {
			c.send(p)
		}
		wait := min(pause, time.Until(deadline))
		if c.await(f, wait, func() bool { return whole(f.received) || f.reset || f.fin }) {
			break
		}
		pause = min(2*pause, 1600*time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case whole(f.received):
		_, body, _ = strings.Cut(string(f.received), "\r\n\r\n")
		if got := header(string(f.received), "X-Request-Id"); got != id {
			c.w.violation("MIXED", "request %s got the answer of request %s", id, got)
		}
		return body, ""
	case f.reset:
		return "", "reset"
	case f.fin:
		return "", "closed"
	}
	return "", "time limit"
}

// whole reports whether the bytes hold a whole answer.
func whole(b []byte) bool {
	head, body, ok := strings.Cut(string(b), "\r\n\r\n")
	var length int
	if !ok {
		return false
	}
	_, err := fmt.Sscan(header(head, "Content-Length"), &length)
	return err == nil && len(body) >= length
}

// close closes a flow: the client sends a FIN and waits for the host's.
func (c *clients) close(f *clientFlow) bool {
	p := f.packet(flagFIN|flagACK, nil)
	c.mu.Lock()
	p.seq, p.ack = f.seq, f.ack
	f.seq++
	c.mu.Unlock()
	closed := false
	for pause := 200 * time.Millisecond; pause <= 1600*time.Millisecond && !closed; pause *= 2 {
		c.send(p)
		closed = c.await(f, pause, func() bool { return f.fin || f.reset })
	}
	c.drop(f)
	return closed
}

func (c *clients) drop(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flows[f.key] == f {
		delete(c.flows, f.key)
	}
}

// router is the router of the clients' zone.
type router struct {
	w     *world
	nodes []netip.Addr
	mu    sync.Mutex
	ready []netip.Addr
	// answering is the number of nodes that answered the last check with 200.
	answering int
}

// watch checks the readiness of each node twice per second; two misses take a node out of rotation.
func (r *router) watch() {
	client := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := map[netip.Addr]int{}
	for _, n := range r.nodes {
		misses[n] = 2
	}
	for !r.w.isOver() {
		var wg sync.WaitGroup
		ok := make([]bool, len(r.nodes))
		for i, n := range r.nodes {
			wg.Go(func() {
				response, err := client.Get(fmt.Sprintf("http://%v/v1/readiness", netip.AddrPortFrom(n, r.w.ports.ready)))
				if err == nil {
					ok[i] = response.StatusCode == http.StatusOK
					response.Body.Close()
				}
			})
		}
		wg.Wait()
		var ready []netip.Addr
		answering := 0
		for i, n := range r.nodes {
			misses[n]++
			if ok[i] {
				misses[n] = 0
				answering++
			}
			if misses[n] < 2 {
				ready = append(ready, n)
			}
		}
		if 2*len(ready) < len(r.nodes) {
			ready = r.nodes
		}
		r.mu.Lock()
		if len(ready) != len(r.ready) {
			r.w.logf("router: %d of %d nodes are in rotation", len(ready), len(r.nodes))
		}
		r.ready, r.answering = ready, answering
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the node for a flow: a hash modulo the nodes in rotation.
func (r *router) route(key flowKey) (netip.Addr, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		return netip.Addr{}, false
	}
	hash := uint64(14695981039346656037)
	for _, b := range []byte(key.String()) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return r.ready[(hash>>17)%uint64(len(r.ready))], true
}
