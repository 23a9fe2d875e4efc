// Package memnet is a network in memory for tests. Whole processes run on it
// inside a testing/synctest bubble, with delays, losses, cuts, frozen hosts and
// killed hosts.
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

// queueLen is the number of datagrams that a socket holds for its reader.
const queueLen = 4096

var errRefused = errors.New("connection refused")

// Link describes the way from one host to another.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Loss is the share of datagrams that are lost, 0 to 1.
	Loss float64
	// Cut loses every datagram and blocks every stream.
	Cut bool
}

// Handler receives the datagrams of an address that no process owns.
type Handler func(from netip.AddrPort, datagram []byte)

// Net is the network. Its methods are safe for concurrent use.
//
// Lock order: the lock of a pipe, then Net.mu. Two pipe locks are never held at once.
type Net struct {
	mu        sync.Mutex
	random    *rand.Rand
	links     func(from, to netip.Addr) Link
	hosts     map[netip.Addr]*Host
	sockets   map[netip.AddrPort]*socket
	listeners map[string]*listener
	handlers  map[netip.AddrPort]chan parcel
}

// New returns a network without delay or loss; seed fixes its random choices.
func New(seed uint64) *Net {
	return &Net{
		random:    rand.New(rand.NewPCG(seed, seed)),
		links:     func(_, _ netip.Addr) Link { return Link{} },
		hosts:     make(map[netip.Addr]*Host),
		sockets:   make(map[netip.AddrPort]*socket),
		listeners: make(map[string]*listener),
		handlers:  make(map[netip.AddrPort]chan parcel),
	}
}

// SetLinks replaces the function that describes the links.
func (n *Net) SetLinks(links func(from, to netip.Addr) Link) {
	n.mu.Lock()
	n.links = links
	n.mu.Unlock()
	n.wakeStreams()
}

// Handle hands the datagrams for addr to handler, one after another, until ctx ends.
func (n *Net) Handle(ctx context.Context, addr netip.AddrPort, handler Handler) {
	queue := make(chan parcel, queueLen)
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

// Host returns the host at addr, which it makes at first use.
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

// Inject sends a datagram as if from had sent it.
func (n *Net) Inject(from, to netip.AddrPort, datagram []byte) {
	copied := append([]byte(nil), datagram...)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sendLocked(parcel{from: from, to: to, datagram: copied})
}

type parcel struct {
	from, to netip.AddrPort
	datagram []byte
}

// sendLocked moves a datagram along its link.
func (n *Net) sendLocked(p parcel) {
	source := n.hostLocked(p.from.Addr())
	if source.killed {
		return
	}
	if source.frozen {
		source.hold(p)
		return
	}
	link := n.links(p.from.Addr(), p.to.Addr())
	if link.Cut || n.random.Float64() < link.Loss {
		return
	}
	if link.Delay == 0 {
		n.arriveLocked(p)
		return
	}
	time.AfterFunc(link.Delay, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.arriveLocked(p)
	})
}

func (n *Net) arriveLocked(p parcel) {
	if queue, ok := n.handlers[p.to]; ok {
		select {
		case queue <- p:
		default: // a full buffer loses the datagram
		}
		return
	}
	target := n.hostLocked(p.to.Addr())
	if target.killed {
		return
	}
	if target.frozen {
		target.hold(p)
		return
	}
	if socket, ok := n.sockets[p.to]; ok {
		socket.push(p)
	}
}

// ListenUDP binds a UDP socket in memory.
func (h *Host) ListenUDP(addr netip.AddrPort) (udpbatch.Conn, error) {
	return h.listen(addr), nil
}

// ListenPacket binds a UDP socket in memory as a net.PacketConn, for callers.
func (h *Host) ListenPacket(port uint16) net.PacketConn {
	return packetConn{h.listen(netip.AddrPortFrom(h.addr, port))}
}

func (h *Host) listen(addr netip.AddrPort) *socket {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	created := &socket{net: h.net, addr: addr, queue: make(chan parcel, queueLen), closed: make(chan struct{}), wake: make(chan struct{}, 1)}
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

// DialTCP connects to a TCP address. A cut link or a frozen host keeps the
// caller waiting until ctx ends; a killed one refuses.
func (h *Host) DialTCP(ctx context.Context, address string) (net.Conn, error) {
	for {
		conn, wait, err := h.connect(address)
		if !wait {
			return conn, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialRetry):
		}
	}
}

const dialRetry = 20 * time.Millisecond

// connect tries once; wait reports that nobody answers.
func (h *Host) connect(address string) (conn net.Conn, wait bool, err error) {
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
	near, far := newPipe(h, remote, netip.AddrPortFrom(h.addr, 0), target)
	h.pipes = append(h.pipes, near)
	remote.pipes = append(remote.pipes, far)
	select {
	case server.accepted <- far:
		return near, false, nil
	default:
		return nil, true, nil
	}
}
