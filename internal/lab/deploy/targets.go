package deploy

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"

	"github.com/almondledge/almondledge/internal/lab/load"
	"github.com/almondledge/almondledge/internal/localfleet"
)

// Ledgers returns the ledger files of all backend servers.
func (d *Deployment) Ledgers() []string {
	var paths []string
	for _, h := range d.Hosts {
		paths = append(paths, h.ledger)
	}
	return paths
}

// MetricsSources returns the metrics endpoints of balancers and agents.
func (d *Deployment) MetricsSources() []load.MetricsSource {
	var sources []load.MetricsSource
	add := func(role Role, admin netip.AddrPort) {
		sources = append(sources, load.MetricsSource{
			Role: string(role), URL: "http://" + admin.String() + "/metrics", Token: d.fleet.AdminToken,
		})
	}
	for _, b := range d.Balancers() {
		add(Balancer, b.admin)
	}
	for _, h := range d.Hosts {
		add(Agent, h.admin)
	}
	return sources
}

// TLS returns a configuration with the certificates that callers trust.
func (d *Deployment) TLS() *tls.Config {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(d.fleet.CallerCA()))
	return &tls.Config{RootCAs: pool}
}

// Targets returns all services as load targets with the same mix.
func (d *Deployment) Targets(mix load.Mix) []load.Target {
	var targets []load.Target
	for _, s := range d.cfg.Place.Services {
		targets = append(targets, load.Target{
			Name: s.Name, Address: d.cfg.Place.ServiceAddr(s), ServerName: localfleet.CallerHost, Servers: s.Hosts, Mix: mix,
		})
	}
	return targets
}
