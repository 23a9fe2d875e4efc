package demo

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"

	"github.com/almondledge/almondledge/internal/localfleet"
	"github.com/almondledge/almondledge/internal/service"
)

// Names of the services.
const (
	bookingService  = "rezervasyon"
	bulletinService = "dalga-bulten"
)

// Sizes of the deployment.
const (
	balancers   = 3
	slots       = 5
	connections = 2000
	queueLength = 100
	// deadlineMillis bounds the time to the start of an answer, in milliseconds.
	deadlineMillis = 10_000
)

// dataCentres are assigned in turn to the balancers and to the hosts of each service.
var dataCentres = []string{"cesme", "alacati"}

// servicePlan is one service of the deployment.
type servicePlan struct {
	name  string
	id    service.ID
	hosts int
}

// services lists the services of the demo. They are modelled on the services of
// surf schools, with fewer hosts.
var services = []servicePlan{
	{name: bookingService, id: 1, hosts: 4},
	{name: bulletinService, id: 2, hosts: 2},
}

// Third octets of the loopback addresses 127.1.x.y.
const (
	platformNetwork = 0
	balancerNetwork = 1
	// firstAgentNetwork is the network of the agents of service 1.
	firstAgentNetwork = 2
	serviceNetwork    = 10
)

// agentNetworkBits is the length in bits of the networks of agents.
const agentNetworkBits = 24

func addr(network byte, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, network, byte(number)}), port)
}

func dataCentre(i int) string { return dataCentres[i%len(dataCentres)] }

// agentNetwork returns the third octet of the addresses of a service's agents.
func (s servicePlan) agentNetwork() byte { return firstAgentNetwork + byte(s.id) - 1 }

// serverName names a backend server; number counts from 1.
func (s servicePlan) serverName(number int) string { return fmt.Sprintf("%s-%d", s.name, number) }

// serverNames returns the names of all backend servers of the service.
func (s servicePlan) serverNames() []string {
	var names []string
	for number := range s.hosts {
		names = append(names, s.serverName(number+1))
	}
	return names
}

// spec returns the state of the service as the first ticket creates it.
func (s servicePlan) spec(p ports) service.Spec {
	return service.Spec{
		Name:           s.name,
		ID:             s.id,
		Address:        p.service(s),
		DataCentres:    dataCentres,
		BackendServers: []netip.Prefix{netip.PrefixFrom(addr(s.agentNetwork(), 0, 0).Addr(), agentNetworkBits)},
		Limits: service.Limits{
			Connections: connections, Slots: slots, QueueLength: queueLength, DeadlineMillis: deadlineMillis,
		},
		Repeat: service.RepeatPolicy{RequireKey: true},
	}
}

// serviceByServer returns the name of the service of each backend server.
func serviceByServer() map[string]string {
	owner := make(map[string]string)
	for _, s := range services {
		for _, name := range s.serverNames() {
			owner[name] = s.name
		}
	}
	return owner
}

// serverNames returns the names of the backend servers of a service.
func serverNames(name string) []string {
	for _, s := range services {
		if s.name == name {
			return s.serverNames()
		}
	}
	return nil
}

// callerTLS returns the TLS configuration of callers.
func callerTLS(keys *localfleet.Fleet) *tls.Config {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(keys.CallerCA()))
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}
