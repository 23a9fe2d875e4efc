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

// Place describes the deployment of one user: its data centres, services and present sizes.
type Place struct {
	// Name is the name of the deployment.
	Name string
	// DataCentres lists the names of the data centres.
	DataCentres []string
	// CallerDelay is the one-way delay between callers and balancers.
	CallerDelay time.Duration
	// Services lists the services.
	Services []ServicePlan
	// Balancers is the number of balancers, assigned to the data centres in turn.
	Balancers int
	// Network is the second octet of the loopback addresses, 127.Network.x.y.
	Network byte
}

// ServicePlan describes one service of a place.
type ServicePlan struct {
	// Name is the name of the service.
	Name string
	// ID identifies the service in packets.
	ID service.ID
	// Hosts is the number of backend servers, assigned to the data centres in turn.
	Hosts int
	// Slots and Connections are the limits of one backend server.
	Slots, Connections int
}

// Limits of one backend server and caller delay in both places.
const (
	slotsPerHost       = 5
	connectionsPerHost = 2000
	callerDelay        = 3 * time.Millisecond
)

// Birlik returns the deployment of the surf schools.
func Birlik() Place {
	return Place{
		Name:        "birlik",
		DataCentres: []string{"cesme", "alacati", "bodrum", "akyaka"},
		CallerDelay: callerDelay,
		Balancers:   4,
		Network:     21,
		Services: []ServicePlan{
			{Name: "rezervasyon", ID: 1, Hosts: 7, Slots: slotsPerHost, Connections: connectionsPerHost},
			{Name: "dalga-bulten", ID: 2, Hosts: 4, Slots: slotsPerHost, Connections: connectionsPerHost},
		},
	}
}

// Majlis returns the deployment of the fastener exchange.
func Majlis() Place {
	return Place{
		Name:        "majlis",
		DataCentres: []string{"butterworth", "bukit-mertajam", "nibong-tebal"},
		CallerDelay: callerDelay,
		Balancers:   3,
		Network:     41,
		Services: []ServicePlan{
			{Name: "counter", ID: 1, Hosts: 7, Slots: slotsPerHost, Connections: connectionsPerHost},
			{Name: "catalogue", ID: 2, Hosts: 3, Slots: slotsPerHost, Connections: connectionsPerHost},
		},
	}
}

// Places returns the place with the given name, or all places for "both".
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

// Third octets of the loopback addresses.
const (
	platformNetwork = 0
	serviceNetwork  = 10
	balancerNetwork = 1
	agentNetwork    = 2
)

// Ports of the processes.
const (
	storePort         = 2379
	fabricPort        = 7200
	fabricControlPort = 7201
	servicePort       = 8443
	memberPort        = 7000
	adminPort         = 7080
	announcePort      = 7090
	fabricListenPort  = 7100
	// backendPort and backendControlPort are the bases of port ranges: agents reach
	// their backend servers on 127.0.0.1, so each backend server needs its own ports.
	// All ports stay below the ephemeral range.
	backendPort        = 10_000
	backendControlPort = 10_100
	portsPerNetwork    = 200
)

// addr returns 127.Network.third.number:port.
func (p Place) addr(third byte, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.Network, third, byte(number)}), port)
}

// loopbackAddr returns 127.0.0.1 with a port that is unique to the place and the number of
// the backend server.
func (p Place) loopbackAddr(firstPort, number int) netip.AddrPort {
	port := firstPort + int(p.Network)*portsPerNetwork + number
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// ServiceAddr returns the service address of a service.
func (p Place) ServiceAddr(s ServicePlan) netip.AddrPort {
	return p.addr(serviceNetwork, int(s.ID), servicePort)
}

// Spec returns the service specification in the first ticket.
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
