package stream

import (
	"net"
	"sync"
)

// slotConn frees the connection's slot when it is closed.
type slotConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *slotConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// handoff is a net.Listener for connections that were accepted elsewhere.
type handoff struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandoff() *handoff {
	return &handoff{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put waits until Accept takes conn; it returns false if the listener is closed.
func (h *handoff) put(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.closed:
		return false
	}
}

// Accept returns the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and put.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns an empty address; the connections know their own.
func (h *handoff) Addr() net.Addr { return &net.TCPAddr{} }
