// Package fabric is a stand-in for the platform's fabric, for tests, demos and
// load runs. It receives the datagrams of callers on the service addresses and
// forwards each one to a randomly chosen balancer, with a PROXY protocol version 2
// header in front. Balancers send replies to the fabric with such a header, and it
// forwards them to the callers.
//
// Locks: Fabric.mu and the lock of the delay queue are never held together.
package fabric

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fabriclink"
)

const (
	// datagramSize is the size in bytes of the largest datagram.
	datagramSize = 64 << 10
	// socketBuffer is the size in bytes of each socket's kernel buffers.
	socketBuffer = 4 << 20
	// maxServices bounds the service addresses, since each one has a socket.
	maxServices = 256
)

// Fabric forwards datagrams between callers and balancers.
type Fabric struct {
	balancerConn *net.UDPConn
	counters     counters
	delayed      *delayQueue
	workers      errgroup.Group

	mu       sync.Mutex // guards the fields below
	closed   bool
	knobs    Knobs
	shaper   shaper
	services map[netip.AddrPort]*net.UDPConn
}

// New returns a fabric that exchanges datagrams with balancers on the address listen.
// seed determines its random choices.
func New(listen netip.AddrPort, seed uint64) (*Fabric, error) {
	conn, err := listenUDP(listen)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		balancerConn: conn,
		delayed:      newDelayQueue(),
		shaper:       newShaper(seed),
		services:     make(map[netip.AddrPort]*net.UDPConn),
	}
	f.workers.Go(f.readBalancers)
	f.workers.Go(f.delayed.run)
	return f, nil
}

// Addr returns the address that balancers send replies to.
func (f *Fabric) Addr() netip.AddrPort {
	return f.balancerConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// AddService starts to receive datagrams on a service address. Port zero picks a
// free port. It returns the bound address.
func (f *Fabric) AddService(addr netip.AddrPort) (netip.AddrPort, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.services) >= maxServices {
		return netip.AddrPort{}, errkind.New(errkind.Overloaded, "the fabric is closed or has too many service addresses",
			fmt.Sprintf("use a running fabric and at most %d service addresses", maxServices))
	}
	if _, ok := f.services[addr]; ok {
		return addr, nil
	}
	conn, err := listenUDP(addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	bound := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f.services[bound] = conn
	f.workers.Go(func() error { return f.readCallers(bound, conn) })
	return bound, nil
}

// Services returns the bound service addresses, in no particular order.
func (f *Fabric) Services() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	addrs := make([]netip.AddrPort, 0, len(f.services))
	for addr := range f.services {
		addrs = append(addrs, addr)
	}
	return addrs
}

// Knobs returns the current knobs.
func (f *Fabric) Knobs() Knobs {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knobs.clone()
}

// SetKnobs replaces all knobs.
func (f *Fabric) SetKnobs(k Knobs) error {
	if err := k.Validate(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knobs = k.clone()
	return nil
}

// SetBalancers replaces Knobs.Balancers and keeps the other knobs.
func (f *Fabric) SetBalancers(balancers []Balancer) error {
	if err := (Knobs{Balancers: balancers}).Validate(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knobs.Balancers = slices.Clone(balancers)
	return nil
}

// Serve runs until ctx ends and then closes the fabric.
func (f *Fabric) Serve(ctx context.Context) error {
	<-ctx.Done()
	return f.Close()
}

// Close stops the fabric. Delayed datagrams are dropped.
func (f *Fabric) Close() error {
	f.mu.Lock()
	f.closed = true
	for _, conn := range f.services {
		_ = conn.Close()
	}
	f.mu.Unlock()
	_ = f.balancerConn.Close()
	f.delayed.close()
	return f.workers.Wait()
}

// readCallers forwards the datagrams that callers send to a service address.
func (f *Fabric) readCallers(service netip.AddrPort, conn *net.UDPConn) error {
	buf := make([]byte, datagramSize)
	out := make([]byte, 0, datagramSize+fabriclink.MaxHeaderSize)
	var deliveries []delivery
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreClosed(err)
		}
		f.counters.fromCallers.Add(1)
		out, err = fabriclink.Encode(out[:0], caller, service, buf[:n])
		if err != nil {
			f.counters.malformed.Add(1)
			continue
		}
		f.mu.Lock()
		deliveries = f.shaper.spray(&f.knobs, deliveries[:0])
		f.mu.Unlock()
		f.counters.countDropped(len(deliveries))
		for _, d := range deliveries {
			f.send(f.balancerConn, out, d)
		}
	}
}

// readBalancers forwards the replies of balancers.
func (f *Fabric) readBalancers() error {
	buf := make([]byte, datagramSize)
	var deliveries []delivery
	for {
		n, balancer, err := f.balancerConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreClosed(err)
		}
		f.counters.fromBalancers.Add(1)
		packet, err := fabriclink.Decode(buf[:n])
		if err != nil {
			f.counters.malformed.Add(1)
			continue
		}
		f.mu.Lock()
		conn := f.services[packet.Src]
		deliveries = f.shaper.reply(&f.knobs, balancer, packet.Dst, deliveries[:0])
		f.mu.Unlock()
		if conn == nil {
			f.counters.unknownService.Add(1)
			continue
		}
		f.counters.countDropped(len(deliveries))
		for _, d := range deliveries {
			f.send(conn, packet.Payload, d)
		}
	}
}

// send sends b after the delay of d. A datagram that cannot be sent is lost, as on a network.
func (f *Fabric) send(conn *net.UDPConn, b []byte, d delivery) {
	if d.delay <= 0 {
		_, _ = conn.WriteToUDPAddrPort(b, d.to)
		return
	}
	if !f.delayed.push(conn, b, d.to, time.Now().Add(d.delay)) {
		f.counters.dropped.Add(1)
	}
}

func listenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "cannot bind "+addr.String(), "choose a free local address")
	}
	// The kernel may grant smaller buffers; they only raise the loss under load.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
