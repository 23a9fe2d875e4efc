package demo

import (
	"errors"
	"fmt"
	"net/netip"
	"syscall"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/standin/platform"
)

// Port ranges.
const (
	// defaultPort is the first port of the first range that is tried.
	defaultPort = 7000
	// portStep is the distance between two ranges that are tried.
	portStep = 100
	// portChoices is the number of ranges that are tried.
	portChoices = 10
	// portCount is the number of ports that one deployment uses on each address.
	portCount = 7
	// minPort and maxPort bound the first port.
	minPort = 1024
	maxPort = 1<<16 - portCount
)

// ports is the first port of a deployment's range.
type ports uint16

func (p ports) store() netip.AddrPort  { return addr(platformNetwork, 1, uint16(p)) }
func (p ports) fabric() netip.AddrPort { return addr(platformNetwork, 2, uint16(p)+1) }
func (p ports) service(s servicePlan) netip.AddrPort {
	return addr(serviceNetwork, int(s.id), uint16(p)+2)
}
func (p ports) member(network byte, number int) netip.AddrPort {
	return addr(network, number, uint16(p)+3)
}
func (p ports) admin(network byte, number int) netip.AddrPort {
	return addr(network, number, uint16(p)+4)
}
func (p ports) fabricListen(number int) netip.AddrPort {
	return addr(balancerNetwork, number, uint16(p)+5)
}
func (p ports) announce(network byte, number int) netip.AddrPort {
	return addr(network, number, uint16(p)+6)
}

// seeds returns the addresses of the balancers that a process contacts first.
func (p ports) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for i := range balancers {
		seeds = append(seeds, p.member(balancerNetwork, i+1))
	}
	return seeds
}

// udpAndTCP returns all addresses of the deployment except that of the store.
func (p ports) udpAndTCP() (udp, tcp []netip.AddrPort) {
	udp = append(udp, p.fabric())
	for number := 1; number <= balancers; number++ {
		udp = append(udp, p.member(balancerNetwork, number), p.fabricListen(number))
		tcp = append(tcp, p.member(balancerNetwork, number), p.admin(balancerNetwork, number))
	}
	for _, s := range services {
		udp = append(udp, p.service(s))
		for number := 1; number <= s.hosts; number++ {
			member := p.member(s.agentNetwork(), number)
			udp = append(udp, member)
			tcp = append(tcp, member, p.admin(s.agentNetwork(), number), p.announce(s.agentNetwork(), number))
		}
	}
	return udp, tcp
}

// choosePorts starts the platform's store on the first port range that is free. The
// store's socket keeps another demo from using the same range. If first is zero, it
// tries several ranges, otherwise only the one that starts at first.
func choosePorts(first uint16) (ports, *platform.Server, error) {
	if first != 0 {
		if first < minPort || first > maxPort {
			return 0, nil, errkind.New(errkind.Invalid, fmt.Sprintf("%d cannot be the first of %d ports", first, portCount),
				fmt.Sprintf("use --port %d to %d", minPort, maxPort))
		}
		return tryPorts(ports(first))
	}
	var last error
	for i := range portChoices {
		p, store, err := tryPorts(ports(defaultPort + i*portStep))
		if err == nil {
			return p, store, nil
		}
		last = err
	}
	return 0, nil, last
}

func tryPorts(p ports) (ports, *platform.Server, error) {
	store, err := platform.Listen(p.store().String())
	if err != nil {
		return 0, nil, portError(p, err)
	}
	if err := p.checkFree(); err != nil {
		_ = store.Close()
		return 0, nil, portError(p, err)
	}
	return p, store, nil
}

// checkFree returns an error unless every address can be bound.
func (p ports) checkFree() error {
	udp, tcp := p.udpAndTCP()
	for _, a := range udp {
		conn, err := network.System{}.ListenUDP(a)
		if err != nil {
			return err
		}
		_ = conn.Close()
	}
	for _, a := range tcp {
		listener, err := network.System{}.ListenTCP(a)
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	return nil
}

// portError returns the error for addresses that cannot be bound, with a remedy.
func portError(p ports, cause error) error {
	if errors.Is(cause, syscall.EADDRNOTAVAIL) {
		return errkind.Wrap(cause, errkind.Unavailable, "this machine has no addresses 127.1.x.y",
			"run the demo on Linux, where all of 127.0.0.0/8 is local")
	}
	// The remedy of the cause refers to settings, which the demo does not have.
	if typed, ok := errors.AsType[*errkind.Error](cause); ok && typed.Cause != nil {
		cause = typed.Cause
	}
	return errkind.Wrap(cause, errkind.Unavailable,
		fmt.Sprintf("ports %d to %d on 127.1.x.y are not all free", p, p+portCount-1),
		"end the process that uses them, such as another demo, or choose others with --port")
}
