// Package network opens the sockets of a process. Tests replace the operating
// system's network by an in-memory one, so that whole processes run on a fake clock.
package network

import (
	"context"
	"net"
	"net/netip"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

// Network opens sockets.
type Network interface {
	// ListenUDP binds a UDP socket.
	ListenUDP(addr netip.AddrPort) (udpbatch.Conn, error)
	// ListenTCP binds a TCP listener.
	ListenTCP(addr netip.AddrPort) (net.Listener, error)
	// DialTCP connects to a TCP address written as IP:port.
	DialTCP(ctx context.Context, address string) (net.Conn, error)
}

// IsInstanceAddr reports whether a process on an instance can be reached at a: it is the IPv4 address of one host, with a
// port.
func IsInstanceAddr(a netip.AddrPort) bool {
	ip := a.Addr()
	return ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && a.Port() != 0
}

// System is the operating system's network.
type System struct{}

// ListenUDP binds a UDP socket.
func (System) ListenUDP(addr netip.AddrPort) (udpbatch.Conn, error) {
	return udpbatch.Listen(addr)
}

// ListenTCP binds a TCP listener. Its errors are of kind Unavailable.
func (System) ListenTCP(addr netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "cannot bind TCP "+addr.String(),
			"choose an address of this instance that no other process uses")
	}
	return listener, nil
}

// DialTCP connects to a TCP address written as IP:port.
func (System) DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}
