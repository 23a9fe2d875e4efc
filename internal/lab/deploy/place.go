// Package deploy runs a small deployment of almondledge as separate processes on
// loopback addresses: the stand-ins of the platform, backend servers, agents and
// balancers. It ends only processes that it started itself.
package deploy

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/service"
)

// Place is one user's deployment at today's sizes.
type Place struct {
	// Name names the deployment.
	Name string
	// DataCentres are its data centres.
	DataCentres []string
	// CallerDelay is the one-way delay between callers and the fabric's balancers.
	CallerDelay time.Duration
	// Services are its services.
	Services []ServicePlan
	// Balancers is the number of balancers, which take the data centres in turn.
	Balancers int
	// Network is the second number of all its loopback addresses, 127.Network.x.y.
	Network byte
}

// ServicePlan is one service of a place.
type ServicePlan struct {
	// Name is the name of the service.
	Name string
	// ID identifies the service inside packets.
	ID service.ID
	// Hosts is the number of backend servers, which take the data centres in turn.
	Hosts int
	// Slots and Connections are the limits of one backend server.
	Slots, Connections int
}

// Sizes of one backend server in both places.
const (
	slots       = 5
	connections = 2000
	callerDelay = 3 * time.Millisecond
)

// Birlik returns the places of the surf schools.
func Birlik() Place {
	return Place{
		Name:        "birlik",
		DataCentres: []string{"cesme", "alacati", "bodrum", "akyaka"},
		CallerDelay: callerDelay,
		Balancers:   4,
		Network:     21,
		Services: []ServicePlan{
			{Name: "rezervasyon", ID: 1, Hosts: 7, Slots: slots, Connections: connections},
			{Name: "dalga-bulten", ID: 2, Hosts: 4, Slots: slots, Connections: connections},
		},
	}
}

// Majlis returns the places of the fastener exchange.
func Majlis() Place {
	return Place{
		Name:        "majlis",
		DataCentres: []string{"butterworth", "bukit-mertajam", "nibong-tebal"},
		CallerDelay: callerDelay,
		Balancers:   3,
		Network:     41,
		Services: []ServicePlan{
			{Name: "counter", ID: 1, Hosts: 7, Slots: slots, Connections: connections},
			{Name: "catalogue", ID: 2, Hosts: 3, Slots: slots, Connections: connections},
		},
	}
}

// Places returns the place with the given name, or both for "both".
func Places(name string) ([]Place, error) {
	switch name {
	case "birlik":
		return []Place{Birlik()}, nil
	case "majlis":
		return []Place{Majlis()}, nil
	case "both":
		return []Place{Birlik(), Majlis()}, nil
	default:
		return nil, fmt.Errorf("unknown place %q: use birlik, majlis or both", name)
	}
}

// Third numbers of loopback addresses.
const (
	platformNetwork = 0
	serviceNetwork  = 10
	balancerNetwork = 1
	agentNetwork    = 2
)

// Ports of each kind of instance.
const (
	storePort         = 2379
	fabricPort        = 7200
	fabricControlPort = 7201
	servicePort       = 8443
	memberPort        = 7000
	adminPort         = 7080
	announcePort      = 7090
	fabricListenPort  = 7100
	// backendPort and backendControlPort count upwards: agents reach their
	// backend servers on 127.0.0.1. All stay below the ephemeral ports.
	backendPort        = 10_000
	backendControlPort = 10_100
	portsPerNetwork    = 200
)

// addr returns 127.Network.third.number:port.
func (p Place) addr(third byte, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.Network, third, byte(number)}), port)
}

// loopback returns 127.0.0.1 with a port of its own for backend server number.
func (p Place) loopback(base, number int) netip.AddrPort {
	port := base + int(p.Network)*portsPerNetwork + number
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// ServiceAddr returns the service address of a service.
func (p Place) ServiceAddr(s ServicePlan) netip.AddrPort {
	return p.addr(serviceNetwork, int(s.ID), servicePort)
}

// Spec returns the state of a service as the first ticket creates it.
func (p Place) Spec(s ServicePlan) service.Spec {
	return service.Spec{
		Name:           s.Name,
		ID:             s.ID,
		Address:        p.ServiceAddr(s),
		BackendServers: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{127, p.Network, agentNetwork, 0}), 24)},
		Limits: service.Limits{
			Connections:    s.Connections,
			Slots:          s.Slots,
			QueueLength:    20 * s.Slots,
			DeadlineMillis: 10_000,
		},
		Repeat: service.RepeatPolicy{RequireKey: true},
	}
}

func (p Place) dataCentre(i int) string { return p.DataCentres[i%len(p.DataCentres)] }
