package stream

import (
	"net"
	"sync"
)

// slotConn is a connection that frees its slot of the server when it is closed.
type slotConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its slot.
func (c *slotConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// chanListener is a net.Listener that returns connections accepted by another
// listener.
type chanListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newChanListener() *chanListener {
	return &chanListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver waits until Accept returns conn. It returns false if the listener is closed.
func (l *chanListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept returns the next connection.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and deliver return.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address. The connections have their own local addresses.
func (l *chanListener) Addr() net.Addr { return &net.TCPAddr{} }
