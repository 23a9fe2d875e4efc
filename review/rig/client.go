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

// request opens a flow, sends one request on it and returns how it ended: "ok" or a reason. It sends new
// packets through whichever front the fabric selects.
func (c *client) request(service netip.AddrPort, limit time.Duration) (id, outcome string) {
	id = fmt.Sprintf("r%d", requestCount.Add(1))
	c.mu.Lock()
	c.port++
	if c.port > 60000 {
		c.port = 40000
	}
	key := flowKey{netip.AddrPortFrom(c.ip, c.port), service}
	ch := make(chan packet, 64)
	c.flows[key] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, key)
		c.mu.Unlock()
	}()
	return id, c.exchange(key, ch, id, limit)
}

func (c *client) send(key flowKey, p packet) {
	p.src, p.dst = key.client, key.service
	if to, ok := c.fabric.front(c.zone, key); ok {
		_, _ = c.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}

func (c *client) exchange(key flowKey, ch chan packet, id string, limit time.Duration) string {
	begun := time.Now()
	isn := rand.Uint32()
	var synAck packet
	copies := 0
open:
	for {
		if copies < len(openingTimes) && time.Since(begun) >= openingTimes[copies] {
			c.send(key, packet{flags: flagSYN, seq: isn, ack: uint32(copies)})
			copies++
		}
		select {
		case p := <-ch:
			if p.has(flagRST) {
				return "reset before the flow was open"
			}
			if p.has(flagSYN|flagACK) && p.ack == isn+1 {
				synAck = p
				break open
			}
		case <-time.After(5 * time.Millisecond):
		}
		if time.Since(begun) >= openingLimit {
			return "no answer to the opening packet"
		}
	}
	seq, ack := isn+1, synAck.seq+1
	data := packet{flags: flagACK, seq: seq, ack: ack, data: []byte(id)}
	delay := retryFirst
	for {
		c.send(key, data)
		retry := time.After(delay)
	wait:
		for {
			select {
			case p := <-ch:
				if p.has(flagRST) && p.seq-ack+76800 < 2*76800 {
					return "reset of the open flow"
				}
				if len(p.data) > 0 && p.seq == ack {
					if string(p.data) != "200 "+id {
						return "foreign answer " + string(p.data)
					}
					ack += uint32(len(p.data))
					c.send(key, packet{flags: flagFIN | flagACK, seq: seq + uint32(len(id)), ack: ack})
					return "ok"
				}
			case <-retry:
				break wait
			}
			if time.Since(begun) >= limit {
				return "time limit"
			}
		}
		if time.Since(begun) >= limit {
			return "time limit"
		}
		delay = min(2*delay, retryMax)
	}
}
