package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// openTimeout is how long a client waits for a flow to open.
const openTimeout = 1400 * time.Millisecond

// resetWindow is the distance from the client's last ack within which a reset of an open flow counts.
const resetWindow = 76_800

// client is a stand-in for a client machine, which has one address and any number of flows.
type client struct {
	w        *world
	ip       netip.Addr
	zone     string
	udp      *net.UDPConn
	mu       sync.Mutex
	flows    map[flowKey]*clientFlow
	nextPort uint16
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	key   flowKey
	isn   uint32
	seq   uint32
	ack   uint32
	open  bool
	reset bool
	// closed is set once the host has closed the flow.
	closed bool
	answer []byte
	wake   chan struct{}
	// opened is when the flow opened, lastUsed when it carried a packet last.
	opened, lastUsed time.Time
	// server is the stamp of the host that answered last.
	server string
}

func (w *world) newClient(ip netip.Addr, zone string) (*client, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.port(portData))))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: ip, zone: zone, udp: udp, flows: map[flowKey]*clientFlow{}, nextPort: 20000}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.udp.Read(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(buffer[:n]); ok {
			c.handle(&p)
		}
	}
}

func (c *client) handle(p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flowKey{p.dst, p.src}]
	if f == nil {
		return
	}
	switch {
	case p.has(flagRST):
		c.handleReset(f, p)
	case !p.valid():
		c.w.rec.broken("MIXED", "flow %s: a packet that its host did not write", f.key)
	case p.has(flagSYN):
		if !f.open {
			f.open, f.opened, f.ack = true, time.Now(), p.seq+1
		}
		if f.ack == p.seq+1 {
			c.send(f, flagACK, f.seq, nil)
		}
	case len(p.data) > 0 && p.seq == f.ack && f.open:
		f.ack += uint32(len(p.data))
		f.answer = p.data
		c.send(f, flagACK, f.seq, nil)
	case len(p.data) > 0 && f.open:
		c.send(f, flagACK, f.seq, nil)
	case p.has(flagFIN) && f.open && p.seq == f.ack:
		f.ack++
		f.closed = true
		c.send(f, flagFIN|flagACK, f.seq, nil)
	}
	f.lastUsed = time.Now()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// handleReset judges a reset. The lock is held.
func (c *client) handleReset(f *clientFlow, p *packet) {
	distance := int32(p.seq - f.ack)
	near := distance < resetWindow && distance > -resetWindow
	if f.open && !near {
		return
	}
	f.reset = true
	if f.open && p.sum == 0 {
		go c.w.judgeReset(f.key, f.server, time.Since(f.opened), time.Since(f.lastUsed))
	}
}

// send sends a packet of a flow by way of the routers. The lock is held.
func (c *client) send(f *clientFlow, flags byte, seq uint32, data []byte) {
	p := packet{src: f.key.client, dst: f.key.route, flags: flags, seq: seq, ack: f.ack, data: data}
	c.route(f.key, p.seal())
}

func (c *client) route(key flowKey, raw []byte) {
	if to, ok := c.w.router.pick(c.zone, key); ok {
		_, _ = c.udp.WriteToUDPAddrPort(raw, netip.AddrPortFrom(to, c.w.port(portData)))
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(route endpoint) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	isn := rand.Uint32()
	f := &clientFlow{key: flowKey{endpoint{c.ip.As4(), c.nextPort}, route}, isn: isn, seq: isn + 1, wake: make(chan struct{}, 1)}
	c.flows[f.key] = f
	return f
}

func (c *client) drop(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.key)
}

// openFlow opens a flow and reports whether that succeeded.
func (c *client) openFlow(f *clientFlow) bool {
	begun := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		if c.await(f, time.Until(begun.Add(at)), func() bool { return f.open || f.reset }) {
			break
		}
		if at < openTimeout {
			p := packet{src: f.key.client, dst: f.key.route, flags: flagSYN, seq: f.isn, ack: uint32(i)}
			c.route(f.key, p.seal())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.open && !f.reset
}

// request sends a request on an open flow and returns the answer, or nil.
func (c *client) request(f *clientFlow, id string, limit time.Duration) []byte {
	text := []byte(fmt.Sprintf("GET /watch HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n\r\n", f.key.route, id))
	c.mu.Lock()
	f.answer = nil
	seq := f.seq
	f.seq += uint32(len(text))
	c.mu.Unlock()
	begun := time.Now()
	for tries := 1; time.Since(begun) < limit; tries++ {
		c.mu.Lock()
		c.send(f, flagACK, seq, text)
		c.mu.Unlock()
		wait := min(time.Duration(retransmitMillis(tries))*time.Millisecond, time.Until(begun.Add(limit)))
		if c.await(f, wait, func() bool { return f.answer != nil || f.reset || f.closed }) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.answer == nil {
		c.w.rec.printf("client: %s on flow %s, sent %v ago: no answer, reset %v", id, f.key, time.Since(begun).Round(time.Millisecond), f.reset)
		return nil
	}
	if !bytes.Contains(f.answer, []byte("X-Request-Id: "+id+"\r\n")) {
		c.w.rec.broken("MIXED", "flow %s: request %s got another answer: %q", f.key, id, f.answer)
	}
	_, stamp, _ := bytes.Cut(f.answer, []byte("X-Server-Stamp: "))
	stamp, _, _ = bytes.Cut(stamp, []byte("\r\n"))
	f.server = string(stamp)
	c.w.rec.printf("client: %s on flow %s, sent %v ago: answered by %s", id, f.key, time.Since(begun).Round(time.Millisecond), stamp)
	return f.answer
}

// closeFlow ends a flow.
func (c *client) closeFlow(f *clientFlow) {
	c.mu.Lock()
	if f.open && !f.reset && !f.closed {
		c.send(f, flagFIN|flagACK, f.seq, nil)
	}
	c.mu.Unlock()
	c.drop(f)
}

func (c *client) await(f *clientFlow, limit time.Duration, condition func() bool) bool {
	timer := time.NewTimer(max(0, limit))
	defer timer.Stop()
	for {
		c.mu.Lock()
		met := condition()
		c.mu.Unlock()
		if met {
			return true
		}
		select {
		case <-timer.C:
			return false
		case <-f.wake:
		}
	}
}

// usage is how a user works with flows.
type usage struct {
	route    endpoint
	interval time.Duration
	limit    time.Duration
}

// runUser keeps a flow open and sends requests on it until the world ends. A request that fails is tried again
// on a new flow.
func (c *client) runUser(u usage) {
	var f *clientFlow
	pause := time.Duration(rand.Int64N(int64(u.interval)))
	for !c.w.wait(pause) {
		id := c.w.rec.newRequest()
		begun := time.Now()
		served := false
		for attempt := 0; attempt < 3 && !served && time.Since(begun) < u.limit; attempt++ {
			if f != nil && f.closed {
				c.drop(f)
				f = nil
			}
			if f == nil {
				f = c.newFlow(u.route)
				if !c.openFlow(f) {
					c.closeFlow(f)
					f = nil
					continue
				}
			}
			served = c.request(f, fmt.Sprintf("%s-%d", id, attempt), u.limit-time.Since(begun)) != nil
			if !served || f.closed || time.Since(f.opened) > c.w.maxFlowAge {
				c.closeFlow(f)
				f = nil
			}
		}
		c.w.rec.finished(begun, served)
		pause = u.interval*3/4 + time.Duration(rand.Int64N(int64(u.interval)/2))
	}
	if f != nil {
		c.closeFlow(f)
	}
}
