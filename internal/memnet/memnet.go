// Package memnet simulates a network in memory for tests. Whole processes run on it
// inside a testing/synctest bubble. It simulates delay, loss, cut links, frozen hosts
// and killed hosts.
package memnet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/udpbatch"
)

// queueLen is the number of datagrams that a socket or a handler buffers, and the
// number of connections that a listener buffers.
const queueLen = 4096

var errRefused = errors.New("connection refused")

// Link describes the link from one host to another, in that direction only.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Loss is the probability that a datagram is lost, 0 to 1.
	Loss float64
	// Cut means that every datagram is lost and every stream is blocked.
	Cut bool
}

// Handler handles the datagrams sent to an address on which no simulated process listens.
type Handler func(from netip.AddrPort, datagram []byte)

// Net is a simulated network. Its methods are safe for concurrent use.
//
// Lock order: the lock of a pipe, then Net.mu. No goroutine holds two pipe locks at once.
type Net struct {
	mu        sync.Mutex
	random    *rand.Rand
	links     func(from, to netip.Addr) Link
	hosts     map[netip.Addr]*Host
	sockets   map[netip.AddrPort]*socket
	listeners map[string]*listener
	handlers  map[netip.AddrPort]chan packet
}

// New returns a network without delay or loss. The seed determines its random choices.
func New(seed uint64) *Net {
	return &Net{
		random:    rand.New(rand.NewPCG(seed, seed)),
		links:     func(_, _ netip.Addr) Link { return Link{} },
		hosts:     make(map[netip.Addr]*Host),
		sockets:   make(map[netip.AddrPort]*socket),
		listeners: make(map[string]*listener),
		handlers:  make(map[netip.AddrPort]chan packet),
	}
}

// SetLinks replaces the function that returns the link between two addresses.
func (n *Net) SetLinks(links func(from, to netip.Addr) Link) {
	n.mu.Lock()
	n.links = links
	n.mu.Unlock()
	n.wakeStreams()
}

// Handle calls handler with the datagrams sent to addr, one at a time, until ctx ends.
func (n *Net) Handle(ctx context.Context, addr netip.AddrPort, handler Handler) {
	queue := make(chan packet, queueLen)
	n.mu.Lock()
	n.handlers[addr] = queue
	n.mu.Unlock()
	go func() {
		for {
			select {
			case p := <-queue:
				handler(p.from, p.datagram)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// Intn returns a random number in [0, limit).
func (n *Net) Intn(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

// Host returns the host at addr. It creates the host at first use.
func (n *Net) Host(addr netip.Addr) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostLocked(addr)
}

func (n *Net) hostLocked(addr netip.Addr) *Host {
	host, ok := n.hosts[addr]
	if !ok {
		host = &Host{net: n, addr: addr}
		n.hosts[addr] = host
	}
	return host
}

// Inject sends a copy of datagram as if from had sent it.
func (n *Net) Inject(from, to netip.AddrPort, datagram []byte) {
	copied := append([]byte(nil), datagram...)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sendLocked(packet{from: from, to: to, datagram: copied})
}

// packet is a datagram with its source and destination.
type packet struct {
	from, to netip.AddrPort
	datagram []byte
}

// sendLocked sends a datagram over the link between its addresses. The caller holds n.mu.
func (n *Net) sendLocked(p packet) {
	source := n.hostLocked(p.from.Addr())
	if source.killed {
		return
	}
	if source.frozen {
		source.enqueuePending(p)
		return
	}
	link := n.links(p.from.Addr(), p.to.Addr())
	if link.Cut || n.random.Float64() < link.Loss {
		return
	}
	if link.Delay == 0 {
		n.deliverLocked(p)
		return
	}
	time.AfterFunc(link.Delay, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.deliverLocked(p)
	})
}

// deliverLocked queues a datagram at its destination. The caller holds n.mu.
func (n *Net) deliverLocked(p packet) {
	if queue, ok := n.handlers[p.to]; ok {
		select {
		case queue <- p:
		default: // a full queue loses the datagram
		}
		return
	}
	target := n.hostLocked(p.to.Addr())
	if target.killed {
		return
	}
	if target.frozen {
		target.enqueuePending(p)
		return
	}
	if socket, ok := n.sockets[p.to]; ok {
		socket.enqueue(p)
	}
}

// ListenUDP binds a UDP socket in memory.
func (h *Host) ListenUDP(addr netip.AddrPort) (udpbatch.Conn, error) {
	return h.listen(addr), nil
}

// ListenPacket binds a UDP socket in memory and returns it as a net.PacketConn, for
// simulated callers.
func (h *Host) ListenPacket(port uint16) net.PacketConn {
	return packetConn{h.listen(netip.AddrPortFrom(h.addr, port))}
}

func (h *Host) listen(addr netip.AddrPort) *socket {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	created := &socket{net: h.net, addr: addr, queue: make(chan packet, queueLen), closed: make(chan struct{}), wake: make(chan struct{}, 1)}
	h.net.sockets[addr] = created
	return created
}

// ListenTCP binds a TCP listener in memory.
func (h *Host) ListenTCP(addr netip.AddrPort) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	created := &listener{host: h, addr: addr, accepted: make(chan net.Conn, queueLen), closed: make(chan struct{})}
	h.net.listeners[addr.String()] = created
	return created, nil
}

// DialTCP connects to a TCP address. While a link is cut or a host is frozen, it tries
// again, until ctx ends. A killed host refuses the connection.
func (h *Host) DialTCP(ctx context.Context, address string) (net.Conn, error) {
	for {
		conn, retry, err := h.connect(address)
		if !retry {
			return conn, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}

// retryInterval is the interval at which DialTCP and blocked writes try again.
const retryInterval = 20 * time.Millisecond

// connect tries once to connect. retry reports that a later attempt may succeed.
func (h *Host) connect(address string) (conn net.Conn, retry bool, err error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, false, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	remote := n.hostLocked(target.Addr())
	if h.frozen || remote.frozen || n.links(h.addr, remote.addr).Cut || n.links(remote.addr, h.addr).Cut {
		return nil, true, nil
	}
	server, ok := n.listeners[address]
	if !ok || remote.killed || h.killed {
		return nil, false, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	localEnd, remoteEnd := newPipe(h, remote, netip.AddrPortFrom(h.addr, 0), target)
	h.pipes = append(h.pipes, localEnd)
	remote.pipes = append(remote.pipes, remoteEnd)
	select {
	case server.accepted <- remoteEnd:
		return localEnd, false, nil
	default:
		return nil, true, nil
	}
}
