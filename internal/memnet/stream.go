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

// maxBuffered is the number of unread bytes that one end of a stream buffers.
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

// Close closes the listener and unbinds its address.
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

// pipe is one end of a stream. Bytes written to a pipe are read from its peer.
type pipe struct {
	host, remote          *Host
	localAddr, remoteAddr netip.AddrPort
	peer                  *pipe

	mu sync.Mutex
	// changed is signalled when a waiting call must check its conditions again.
	changed *sync.Cond
	// incoming holds the bytes that the peer wrote and this end has not read.
	incoming                    []byte
	readDeadline, writeDeadline time.Time
	closed                      bool // Close was called on this end
	peerClosed                  bool // Close was called on the peer
	wasReset                    bool // the stream was reset
}

// newPipe returns the two ends of a stream between host and remote.
func newPipe(host, remote *Host, localAddr, remoteAddr netip.AddrPort) (localEnd, remoteEnd *pipe) {
	localEnd = &pipe{host: host, remote: remote, localAddr: localAddr, remoteAddr: remoteAddr}
	remoteEnd = &pipe{host: remote, remote: host, localAddr: remoteAddr, remoteAddr: localAddr}
	localEnd.changed = sync.NewCond(&localEnd.mu)
	remoteEnd.changed = sync.NewCond(&remoteEnd.mu)
	localEnd.peer, remoteEnd.peer = remoteEnd, localEnd
	return localEnd, remoteEnd
}

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

// reset resets both ends: their reads and writes fail from now on.
func (p *pipe) reset() {
	for _, end := range []*pipe{p, p.peer} {
		end.mu.Lock()
		end.wasReset = true
		end.changed.Broadcast()
		end.mu.Unlock()
	}
}

// Read reads bytes that the peer wrote. It waits while no bytes are available or the
// link is blocked.
func (p *pipe) Read(buffer []byte) (int, error) {
	for {
		p.mu.Lock()
		blocked := p.remote.blocked(p.host)
		switch {
		case p.closed:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case p.wasReset:
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
		case p.peerClosed && !blocked:
			p.mu.Unlock()
			return 0, io.EOF
		}
		p.changed.Wait()
		p.mu.Unlock()
	}
}

// Write appends data to the buffer of the peer. It waits while the buffer is full.
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

// writeSome writes as much of data as fits into the buffer of the peer. If the buffer
// is full, it waits and returns 0.
func (p *pipe) writeSome(data []byte) (int, error) {
	p.mu.Lock()
	closed, wasReset, late := p.closed, p.wasReset, expired(p.writeDeadline)
	p.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case wasReset:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	case late:
		return 0, os.ErrDeadlineExceeded
	}
	peer := p.peer
	peer.mu.Lock()
	free := maxBuffered - len(peer.incoming)
	if peer.closed {
		peer.mu.Unlock()
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
	}
	count := min(free, len(data))
	if count > 0 {
		peer.incoming = append(peer.incoming, data[:count]...)
		peer.changed.Broadcast()
		peer.mu.Unlock()
		return count, nil
	}
	peer.mu.Unlock()
	p.waitForChange()
	return 0, nil
}

// waitForChange waits until the peer has read or the state of this end has changed,
// for retryInterval at most.
func (p *pipe) waitForChange() {
	timer := time.AfterFunc(retryInterval, p.wake)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Wait()
}

// Close closes this end. The peer can still read the bytes written before.
func (p *pipe) Close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.peer.mu.Lock()
	p.peer.peerClosed = true
	p.peer.changed.Broadcast()
	p.peer.mu.Unlock()
	p.host.removePipe(p)
	return nil
}

// removePipe removes a closed pipe from the host.
func (h *Host) removePipe(closed *pipe) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	for i, p := range h.pipes {
		if p == closed {
			h.pipes = append(h.pipes[:i], h.pipes[i+1:]...)
			return
		}
	}
}

// expired reports whether a deadline is set and has passed.
func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// LocalAddr returns the address of this end.
func (p *pipe) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(p.localAddr) }

// RemoteAddr returns the address of the other end.
func (p *pipe) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(p.remoteAddr) }

// SetDeadline sets the deadlines of reads and writes.
func (p *pipe) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.wakeAt(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	p.wakeAt(t)
	return nil
}

// wakeAt makes waiting calls check their deadline now and again at time t. The caller
// holds p.mu.
func (p *pipe) wakeAt(t time.Time) {
	p.changed.Broadcast()
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		time.AfterFunc(wait, p.wake)
	}
}
