package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a client's opening packets, and the end of its attempt.
var openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openingLimit = 1400 * time.Millisecond

// client is a stand-in for one client machine.
type client struct {
	rec    *record
	ip     netip.Addr
	zone   string
	fabric *fabric
	udp    *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]chan packet
}

func startClient(ip netip.Addr, zone string, port uint16, f *fabric, rec *record) (*client, error) {
	c := &client{rec: rec, ip: ip, zone: zone, fabric: f, port: 40000, flows: map[flowKey]chan packet{}}
	var err error
	c.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	buffer := make([]byte, 4096)
	for {
		n, err := c.udp.Read(buffer)
		if err != nil {
			return
		}
		p, genuine, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok || (!genuine && !(p.flags == flagRST && len(p.data) == 0)) {
			c.rec.log("client %v: a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		ch := c.flows[flowKey{p.dst, p.src}]
		c.mu.Unlock()
		if ch != nil {
			select {
			case ch <- p:
			default:
			}
		}
	}
}

var requestCount atomic.Int64

func (c *client) send(key flowKey, p packet) {
	p.src, p.dst = key.client, key.service
	if to, ok := c.fabric.front(c.zone, key); ok {
		_, _ = c.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}

// open opens a flow and returns the client's next sequence number and the host's, or why there is no flow.
func (c *client) open(key flowKey, ch chan packet) (seq, ack uint32, failure string) {
	begun := time.Now()
	isn := rand.Uint32()
	for copies := 0; time.Since(begun) < openingLimit; {
		if copies < len(openingTimes) && time.Since(begun) >= openingTimes[copies] {
			c.send(key, packet{flags: flagSYN, seq: isn, ack: uint32(copies)})
			copies++
		}
		select {
		case p := <-ch:
			if p.has(flagRST) {
				return 0, 0, "reset before the flow was open"
			}
			if p.has(flagSYN|flagACK) && p.ack == isn+1 {
				return isn + 1, p.seq + 1, ""
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
	return 0, 0, "no answer to the opening packet"
}

const resetOfOpenFlow = "reset of the open flow"

// ask sends a request on an open flow, with copies, and returns "" or why it has no answer.
func (c *client) ask(key flowKey, ch chan packet, seq, ack uint32, id string, deadline time.Time) string {
	data := packet{flags: flagACK, seq: seq, ack: ack, data: []byte(id)}
	c.rec.log("client %v sends %s", key.client, id)
	for delay := retryFirst; time.Now().Before(deadline); delay = min(2*delay, retryMax) {
		c.send(key, data)
		for retry := time.After(min(delay, time.Until(deadline))); ; {
			var p packet
			select {
			case p = <-ch:
			case <-retry:
			}
			if p.flags == 0 {
				break
			}
			if p.has(flagRST) && p.seq-ack+76800 < 2*76800 {
				return resetOfOpenFlow
			}
			if len(p.data) > 0 && p.seq == ack {
				if string(p.data) != answerTo(id) {
					return "foreign answer " + string(p.data)
				}
				return ""
			}
		}
	}
	return "time limit"
}

// answerTo returns a host's answer to a request.
func answerTo(id string) string { return "200 " + id }

// register gives a new flow its port and its channel of packets.
func (c *client) register(service netip.AddrPort) (flowKey, chan packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.port++; c.port > 60000 {
		c.port = 40000
	}
	key := flowKey{netip.AddrPortFrom(c.ip, c.port), service}
	ch := make(chan packet, 64)
	c.flows[key] = ch
	return key, ch
}

func (c *client) forget(key flowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, key)
}

// request opens a flow, sends one request on it and returns how it ended: "ok" or a reason.
func (c *client) request(service netip.AddrPort, limit time.Duration) (id, outcome string) {
	id = fmt.Sprintf("r%d", requestCount.Add(1))
	deadline := time.Now().Add(limit)
	key, ch := c.register(service)
	defer c.forget(key)
	seq, ack, failure := c.open(key, ch)
	if failure != "" {
		return id, failure
	}
	if failure = c.ask(key, ch, seq, ack, id, deadline); failure != "" {
		return id, failure
	}
	c.send(key, packet{flags: flagFIN | flagACK, seq: seq + uint32(len(id)), ack: ack + uint32(len(answerTo(id)))})
	return id, "ok"
}

// keepFlow opens a flow and sends requests on it, with pauses, until the given time. It returns "ok" or why the
// flow ended, and the number of requests that were answered.
func (c *client) keepFlow(service netip.AddrPort, until time.Time, pause func() time.Duration) (key flowKey, outcome string, answers int) {
	key, ch := c.register(service)
	defer c.forget(key)
	seq, ack, failure := c.open(key, ch)
	if failure != "" {
		return key, failure, 0
	}
	for time.Now().Before(until) {
		id := fmt.Sprintf("r%d", requestCount.Add(1))
		failure := c.ask(key, ch, seq, ack, id, time.Now().Add(12*time.Second))
		if failure != "" {
			c.rec.log("client %v: %s: %s", key.client, id, failure)
			return key, failure, answers
		}
		c.rec.log("client %v: %s: ok", key.client, id)
		answers++
		seq += uint32(len(id))
		ack += uint32(len(answerTo(id)))
		c.send(key, packet{flags: flagACK, seq: seq, ack: ack})
		time.Sleep(pause())
	}
	c.send(key, packet{flags: flagFIN | flagACK, seq: seq, ack: ack})
	return key, "ok", answers
}
