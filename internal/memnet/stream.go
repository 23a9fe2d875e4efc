package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is the number of bytes that a stream holds for its reader.
const maxBuffered = 256 << 10

// listener is a TCP listener in memory.
type listener struct {
	host     *Host
	addr     netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		n := l.host.net
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.listeners[l.addr.String()] == l {
			delete(n.listeners, l.addr.String())
		}
	})
	return nil
}

// Addr returns the bound address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// pipe is one end of a stream. Bytes written to it are read from its peer.
type pipe struct {
	host, remote *Host
	local, far   netip.AddrPort
	peer         *pipe

	mu     sync.Mutex
	change *sync.Cond
	// incoming holds what the peer wrote.
	incoming              []byte
	readDeadline, writeBy time.Time
	closed                bool // this end
	ended                 bool // the peer closed
	broken                bool // reset
}

func newPipe(host, remote *Host, local, far netip.AddrPort) (near, other *pipe) {
	near = &pipe{host: host, remote: remote, local: local, far: far}
	other = &pipe{host: remote, remote: host, local: far, far: local}
	near.change = sync.NewCond(&near.mu)
	other.change = sync.NewCond(&other.mu)
	near.peer, other.peer = other, near
	return near, other
}

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change.Broadcast()
}

// reset breaks both ends.
func (p *pipe) reset() {
	for _, end := range []*pipe{p, p.peer} {
		end.mu.Lock()
		end.broken = true
		end.change.Broadcast()
		end.mu.Unlock()
	}
}

// Read returns what the peer wrote, once the link lets it through.
func (p *pipe) Read(buffer []byte) (int, error) {
	for {
		p.mu.Lock()
		blocked := p.remote.blocked(p.host)
		switch {
		case p.closed:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case p.broken:
			p.mu.Unlock()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		case expired(p.readDeadline):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(p.incoming) > 0 && !blocked:
			count := copy(buffer, p.incoming)
			p.incoming = p.incoming[count:]
			p.mu.Unlock()
			p.peer.wake()
			return count, nil
		case p.ended && !blocked:
			p.mu.Unlock()
			return 0, io.EOF
		}
		p.change.Wait()
		p.mu.Unlock()
	}
}

// Write hands bytes to the peer, and waits while its buffer is full.
func (p *pipe) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		count, err := p.writeSome(data[written:])
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (p *pipe) writeSome(data []byte) (int, error) {
	p.mu.Lock()
	closed, broken, late := p.closed, p.broken, expired(p.writeBy)
	p.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case broken:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case late:
		return 0, os.ErrDeadlineExceeded
	}
	peer := p.peer
	peer.mu.Lock()
	room := maxBuffered - len(peer.incoming)
	if peer.closed {
		peer.mu.Unlock()
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	}
	count := min(room, len(data))
	if count > 0 {
		peer.incoming = append(peer.incoming, data[:count]...)
		peer.change.Broadcast()
		peer.mu.Unlock()
		return count, nil
	}
	peer.mu.Unlock()
	p.waitForRoom()
	return 0, nil
}

// waitForRoom waits until the peer has read, or this end changed.
func (p *pipe) waitForRoom() {
	timer := time.AfterFunc(dialRetry, p.wake)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change.Wait()
}

// Close ends the stream after what was written.
func (p *pipe) Close() error {
	p.mu.Lock()
	p.closed = true
	p.change.Broadcast()
	p.mu.Unlock()
	p.peer.mu.Lock()
	p.peer.ended = true
	p.peer.change.Broadcast()
	p.peer.mu.Unlock()
	p.host.forget(p)
	return nil
}

func (h *Host) forget(closed *pipe) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	for i, p := range h.pipes {
		if p == closed {
			h.pipes = append(h.pipes[:i], h.pipes[i+1:]...)
			return
		}
	}
}

func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// LocalAddr returns the address of this end.
func (p *pipe) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(p.local) }

// RemoteAddr returns the address of the other end.
func (p *pipe) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(p.far) }

// SetDeadline sets both deadlines.
func (p *pipe) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

// SetReadDeadline bounds reads.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.wakeAt(t)
	return nil
}

// SetWriteDeadline bounds writes.
func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeBy = t
	p.wakeAt(t)
	return nil
}

// wakeAt lets waiting calls look at their deadline when it has come.
func (p *pipe) wakeAt(t time.Time) {
	p.change.Broadcast()
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		time.AfterFunc(wait, p.wake)
	}
}
