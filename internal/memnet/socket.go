package memnet

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/udpbatch"
)

// socket is a UDP socket in memory.
type socket struct {
	net      *Net
	addr     netip.AddrPort
	queue    chan packet
	closed   chan struct{}
	once     sync.Once
	deadline atomic.Pointer[time.Time]
	// wake makes receive check the deadline again.
	wake chan struct{}
}

// enqueue queues a datagram for the reader.
func (s *socket) enqueue(p packet) {
	select {
	case s.queue <- p:
	default: // a full queue loses the datagram
	}
}

// WriteTo sends one datagram.
func (s *socket) WriteTo(datagram []byte, to netip.AddrPort) error {
	select {
	case <-s.closed:
		return net.ErrClosed
	default:
	}
	s.net.Inject(s.addr, to, datagram)
	return nil
}

// LocalAddr returns the bound address.
func (s *socket) LocalAddr() netip.AddrPort { return s.addr }

// Close closes the socket and unbinds its address.
func (s *socket) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.net.mu.Lock()
		defer s.net.mu.Unlock()
		if s.net.sockets[s.addr] == s {
			delete(s.net.sockets, s.addr)
		}
	})
	return nil
}

// receive waits until the deadline for a datagram.
func (s *socket) receive() (packet, error) {
	for {
		var timeout <-chan time.Time
		if deadline := s.deadline.Load(); deadline != nil && !deadline.IsZero() {
			wait := time.Until(*deadline)
			if wait <= 0 {
				return packet{}, os.ErrDeadlineExceeded
			}
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case p := <-s.queue:
			return p, nil
		case <-s.closed:
			return packet{}, net.ErrClosed
		case <-timeout:
			return packet{}, os.ErrDeadlineExceeded
		case <-s.wake:
		}
	}
}

// NewReader returns a reader of single datagrams.
func (s *socket) NewReader() udpbatch.Reader { return &reader{socket: s} }

// NewWriter returns a writer of single datagrams.
func (s *socket) NewWriter() udpbatch.Writer {
	return &writer{socket: s, buffer: make([]byte, 0, udpbatch.MaxDatagram)}
}

type reader struct {
	socket *socket
	last   packet
}

func (r *reader) Read() (int, error) {
	p, err := r.socket.receive()
	if err != nil {
		return 0, err
	}
	r.last = p
	return 1, nil
}

func (r *reader) Datagram(int) []byte { return r.last.datagram }

func (r *reader) From(int) netip.AddrPort { return r.last.from }

type writer struct {
	socket *socket
	buffer []byte
}

func (w *writer) Buffer() []byte { return w.buffer[:0] }

func (w *writer) Queue(datagram []byte, to netip.AddrPort) int {
	if w.socket.WriteTo(datagram, to) != nil {
		return 1
	}
	return 0
}

func (w *writer) Flush() int { return 0 }

// packetConn adapts a socket to net.PacketConn.
type packetConn struct{ *socket }

func (c packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	p, err := c.receive()
	if err != nil {
		return 0, nil, err
	}
	return copy(buffer, p.datagram), net.UDPAddrFromAddrPort(p.from), nil
}

func (c packetConn) WriteTo(datagram []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not UDP")
	}
	return len(datagram), c.socket.WriteTo(datagram, udp.AddrPort())
}

func (c packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.addr) }

func (c packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c packetConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

func (c packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer and SetWriteBuffer have no effect: the queue has a fixed length.
func (c packetConn) SetReadBuffer(int) error  { return nil }
func (c packetConn) SetWriteBuffer(int) error { return nil }
