package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/replypath"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

// receiveQueueLen is the maximum number of packets that wait for the QUIC endpoint.
const receiveQueueLen = 4096

// packetConn is the net.PacketConn of the QUIC endpoint. It receives the packets that
// the link delivers and sends through a balancer that is alive. To the QUIC endpoint,
// the remote addresses are those of the callers.
type packetConn struct {
	link    udpbatch.Conn
	sealer  *envelope.Sealer
	metrics *Metrics
	// chooser selects one of the balancers that replyTargets returns.
	chooser *replypath.Chooser
	// replyTargets returns the balancers that responded recently.
	replyTargets func() []netip.AddrPort
	// route holds the ID and the address of the service, for outbound envelopes.
	route atomic.Pointer[serviceRoute]

	queue   chan callerPacket
	buffers sync.Pool
	closed  chan struct{}
	once    sync.Once

	deadline atomic.Pointer[time.Time]
	// wake interrupts a waiting read when the deadline changes.
	wake chan struct{}
}

type serviceRoute struct {
	id   service.ID
	addr netip.AddrPort
}

type callerPacket struct {
	buffer *[udpbatch.MaxDatagram]byte
	len    int
	from   netip.AddrPort
}

func newPacketConn(link udpbatch.Conn, sealer *envelope.Sealer, targets func() []netip.AddrPort, metrics *Metrics) *packetConn {
	return &packetConn{
		link:         link,
		sealer:       sealer,
		metrics:      metrics,
		chooser:      replypath.NewChooser(),
		replyTargets: targets,
		queue:        make(chan callerPacket, receiveQueueLen),
		buffers:      sync.Pool{New: func() any { return new([udpbatch.MaxDatagram]byte) }},
		closed:       make(chan struct{}),
		wake:         make(chan struct{}, 1),
	}
}

// deliver queues a packet of a caller for the QUIC endpoint. A full queue drops
// it, as a full socket buffer would.
func (c *packetConn) deliver(payload []byte, from netip.AddrPort) {
	buffer, ok := c.buffers.Get().(*[udpbatch.MaxDatagram]byte)
	if !ok {
		return
	}
	packet := callerPacket{buffer: buffer, len: copy(buffer[:], payload), from: from}
	select {
	case c.queue <- packet:
	default:
		c.buffers.Put(buffer)
		c.metrics.queueFull.Inc()
	}
}

// ReadFrom returns the next packet and the address of its caller.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		timeout, stop, err := c.readTimeout()
		if err != nil {
			return 0, nil, err
		}
		select {
		case packet := <-c.queue:
			stop()
			n := copy(p, packet.buffer[:packet.len])
			c.buffers.Put(packet.buffer)
			return n, net.UDPAddrFromAddrPort(packet.from), nil
		case <-timeout:
			return 0, nil, os.ErrDeadlineExceeded
		case <-c.wake:
			stop()
		case <-c.closed:
			stop()
			return 0, nil, net.ErrClosed
		}
	}
}

// readTimeout returns a channel that fires at the read deadline, and a function that
// releases its timer.
func (c *packetConn) readTimeout() (<-chan time.Time, func(), error) {
	deadline := c.deadline.Load()
	if deadline == nil || deadline.IsZero() {
		return nil, func() {}, nil
	}
	wait := time.Until(*deadline)
	if wait <= 0 {
		return nil, nil, os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(wait)
	return timer.C, func() { timer.Stop() }, nil
}

// WriteTo sends a packet to the caller at addr through a balancer. A flow keeps its
// balancer while that balancer is alive, so that its packets stay in order.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("caller address is not UDP")
	}
	route := c.route.Load()
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	balancer, ok := c.chooser.Choose(caller, c.replyTargets(), time.Now())
	if !ok || route == nil {
		// The packet is dropped, like one lost on the network; QUIC retransmits it.
		c.metrics.noBalancer.Inc()
		return len(p), nil
	}
	message := envelope.Envelope{
		Type:        envelope.Outbound,
		Service:     route.id,
		Caller:      caller,
		ServiceAddr: route.addr,
		Payload:     p,
	}
	buffer, ok := c.buffers.Get().(*[udpbatch.MaxDatagram]byte)
	if !ok {
		return len(p), nil
	}
	sealed := c.sealer.Seal(buffer[:0], &message)
	err := c.link.WriteTo(sealed, balancer)
	c.buffers.Put(buffer)
	if err != nil {
		c.metrics.unsent.Inc()
	}
	return len(p), nil
}

// Close makes pending and later reads fail with net.ErrClosed.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the agent's UDP socket.
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.link.LocalAddr())
}

// SetDeadline sets the read deadline; writes do not block.
func (c *packetConn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the time at which reads fail with os.ErrDeadlineExceeded.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// SetWriteDeadline does nothing, since writes do not block.
func (c *packetConn) SetWriteDeadline(time.Time) error {
	return nil
}

// SetReadBuffer does nothing, since the buffer sizes of the socket are set when it opens.
func (c *packetConn) SetReadBuffer(int) error {
	return nil
}

// SetWriteBuffer does nothing, for the same reason as SetReadBuffer.
func (c *packetConn) SetWriteBuffer(int) error {
	return nil
}
