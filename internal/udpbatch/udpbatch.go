// Package udpbatch reads and writes UDP datagrams in batches, with one system call per
// batch instead of one per datagram.
package udpbatch

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	// Size is the maximum number of datagrams in a batch.
	Size = 32
	// MaxDatagram is the largest datagram in bytes that is read or written.
	MaxDatagram = 2048
	// socketBufferBytes is the buffer size requested from the kernel for each direction.
	socketBufferBytes = 4 << 20
	// maxCachedAddrs bounds the destinations that a Writer caches as net.UDPAddr.
	maxCachedAddrs = 65_536
)

// Conn is a bound UDP socket with batched reads and writes. It is safe for
// concurrent use.
type Conn interface {
	// NewReader returns a reader of the socket.
	NewReader() Reader
	// NewWriter returns a writer to the socket.
	NewWriter() Writer
	// WriteTo sends one datagram.
	WriteTo(datagram []byte, to netip.AddrPort) error
	// LocalAddr returns the address that the socket is bound to.
	LocalAddr() netip.AddrPort
	// Close closes the socket; blocked reads return net.ErrClosed.
	Close() error
}

// Reader reads batches of datagrams. It is used by one goroutine.
type Reader interface {
	// Read waits for at least one datagram and returns the size of the batch.
	Read() (int, error)
	// Datagram returns datagram i of the last batch; it is valid until the next Read.
	Datagram(i int) []byte
	// From returns the sender of datagram i of the last batch.
	From(i int) netip.AddrPort
}

// Writer collects datagrams and sends them in batches. It is used by one goroutine.
type Writer interface {
	// Buffer returns an empty buffer for the next datagram.
	Buffer() []byte
	// Queue adds a datagram that was built in Buffer. If the batch is then full, Queue
	// flushes it and returns the number of datagrams that could not be sent.
	Queue(datagram []byte, to netip.AddrPort) int
	// Flush sends the queued datagrams and returns the number of datagrams that could not
	// be sent.
	Flush() int
}

// Socket is a UDP socket of the operating system.
type Socket struct {
	udp   *net.UDPConn
	batch *ipv4.PacketConn
}

// Listen binds a UDP socket to addr.
func Listen(addr netip.AddrPort) (*Socket, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "cannot bind UDP "+addr.String(),
			"choose an address of this instance that no other process uses")
	}
	// The kernel may grant smaller buffers, which reduces throughput but is not an error.
	_ = udp.SetReadBuffer(socketBufferBytes)
	_ = udp.SetWriteBuffer(socketBufferBytes)
	return &Socket{udp: udp, batch: ipv4.NewPacketConn(udp)}, nil
}

// LocalAddr returns the address that the socket is bound to.
func (s *Socket) LocalAddr() netip.AddrPort {
	addr, ok := s.udp.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Close closes the socket; blocked reads return an error.
func (s *Socket) Close() error {
	return s.udp.Close()
}

// WriteTo sends one datagram.
func (s *Socket) WriteTo(datagram []byte, to netip.AddrPort) error {
	_, err := s.udp.WriteToUDPAddrPort(datagram, to)
	return err
}

// socketReader is the Reader of a Socket.
type socketReader struct {
	socket   *Socket
	messages []ipv4.Message
	count    int
}

// NewReader returns a reader of s.
func (s *Socket) NewReader() Reader {
	reader := &socketReader{socket: s, messages: make([]ipv4.Message, Size)}
	for i := range reader.messages {
		reader.messages[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
	}
	return reader
}

// Read waits for at least one datagram and returns the size of the batch.
func (r *socketReader) Read() (int, error) {
	count, err := r.socket.batch.ReadBatch(r.messages, 0)
	if err != nil {
		return 0, err
	}
	r.count = count
	return count, nil
}

// Datagram returns datagram i of the last batch; it is valid until the next Read.
func (r *socketReader) Datagram(i int) []byte {
	return r.messages[i].Buffers[0][:r.messages[i].N]
}

// From returns the sender of datagram i of the last batch.
func (r *socketReader) From(i int) netip.AddrPort {
	addr, ok := r.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	from := addr.AddrPort()
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

// socketWriter is the Writer of a Socket.
type socketWriter struct {
	socket   *Socket
	messages []ipv4.Message
	buffers  [][]byte
	count    int
	addrs    map[netip.AddrPort]*net.UDPAddr
}

// NewWriter returns a writer to s.
func (s *Socket) NewWriter() Writer {
	writer := &socketWriter{
		socket:   s,
		messages: make([]ipv4.Message, Size),
		buffers:  make([][]byte, Size),
		addrs:    make(map[netip.AddrPort]*net.UDPAddr),
	}
	for i := range writer.messages {
		writer.buffers[i] = make([]byte, 0, MaxDatagram)
		writer.messages[i].Buffers = make([][]byte, 1)
	}
	return writer
}

// Buffer returns an empty buffer for the next datagram.
func (w *socketWriter) Buffer() []byte {
	return w.buffers[w.count][:0]
}

// Queue adds a datagram that was built in Buffer. If the batch is then full, Queue
// flushes it and returns the number of datagrams that could not be sent.
func (w *socketWriter) Queue(datagram []byte, to netip.AddrPort) int {
	w.messages[w.count].Buffers[0] = datagram
	w.messages[w.count].Addr = w.addr(to)
	w.count++
	if w.count == Size {
		return w.Flush()
	}
	return 0
}

// Flush sends the queued datagrams and returns the number of datagrams that could not
// be sent. The datagrams after a failed one are still sent.
func (w *socketWriter) Flush() int {
	failed := 0
	pending := w.messages[:w.count]
	for len(pending) > 0 {
		sent, err := w.socket.batch.WriteBatch(pending, 0)
		if err != nil || sent == 0 {
			failed++
			sent = 1
		}
		pending = pending[sent:]
	}
	w.count = 0
	return failed
}

func (w *socketWriter) addr(to netip.AddrPort) *net.UDPAddr {
	cached, ok := w.addrs[to]
	if ok {
		return cached
	}
	if len(w.addrs) >= maxCachedAddrs {
		clear(w.addrs)
	}
	cached = net.UDPAddrFromAddrPort(to)
	w.addrs[to] = cached
	return cached
}
