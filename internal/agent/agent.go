// Package agent runs beside a backend server. It terminates the QUIC flows of
// callers, admits their requests, and announces the backend server to balancers.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/announce"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/gateway"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/packetkeys"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/stream"
	"github.com/almondledge/almondledge/internal/telemetry"
)

const (
	// linkWorkers is the number of goroutines that receive envelopes.
	linkWorkers = 2
	// refusalLogInterval is the minimum time between two log lines about refused streams.
	refusalLogInterval = 10 * time.Second
	// lifecyclePeriod is the interval at which the agent updates its own state.
	lifecyclePeriod = 200 * time.Millisecond
)

// Options are the dependencies of an agent.
type Options struct {
	// Log receives life-cycle events.
	Log log.Interface
	// Network opens the sockets.
	Network network.Network
	// StoreTransport carries the agent's single call to the platform's store, which reads
	// the roster. Nil uses HTTP.
	StoreTransport http.RoundTripper
}

// Agent is one agent process.
type Agent struct {
	settings settings.Agent
	network  network.Network
	log      log.Interface
	metrics  *metrics.Set
	process  *telemetry.Process
	keys     *packetkeys.Set
	registry *announce.Registry

	identity *pki.Identity
	dialer   *stream.Dialer
	store    *etcd.Client
	found    foundBalancers
	driver   *controlplane.Driver
	gateway  *gateway.Gateway
	endpoint *endpoint
	link     *link
	streams  *stream.Server

	callerCertificate atomic.Pointer[tls.Certificate]

	serviceID service.ID
	// assembled reports that assemble has created the components above.
	assembled atomic.Bool
	// spec is the specification of the service that this agent currently applies.
	spec     atomic.Pointer[service.Spec]
	removed  atomic.Bool
	stopping atomic.Bool
	// drained reports that an operator drained this agent.
	drained atomic.Bool
	// serving reports that the agent accepts new flows. draining reports that it accepts
	// neither new flows nor new requests.
	serving  atomic.Bool
	draining atomic.Bool
}

// New checks the settings and prepares an agent; Run starts it.
func New(config settings.Agent, options Options) (*Agent, error) {
	keys, err := packetkeys.New(config.PacketKeys)
	if err != nil {
		return nil, err
	}
	pair := pki.KeyPair{Certificate: config.TLS.Certificate, Key: string(config.TLS.Key)}
	identity, err := pki.NewIdentity(config.TLS.CA, pair, time.Now)
	if err != nil {
		return nil, err
	}
	registry, err := newRegistry(config)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: config,
		network:  options.Network,
		log:      options.Log,
		keys:     keys,
		registry: registry,
		identity: identity,
		dialer:   stream.NewDialer(identity, options.Network.DialTCP),
	}
	a.process = telemetry.New(a.Ready)
	a.metrics = a.process.Set()
	a.store, err = etcd.New(etcd.Config{
		Endpoints: config.Store.Endpoints, Transport: options.StoreTransport, Metrics: a.metrics,
	})
	if err != nil {
		return nil, err
	}
	keys.Register(a.metrics)
	identity.Register(a.metrics)
	return a, nil
}

// newRegistry returns the registry for the backend server: a static one if the
// settings name the backend server, or one that waits for its announcements.
func newRegistry(config settings.Agent) (*announce.Registry, error) {
	if config.Announce.IsValid() {
		return announce.NewRegistry(), nil
	}
	backend, err := url.Parse(config.Backend)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "invalid backend URL", "write it as http://127.0.0.1:PORT")
	}
	addr, err := netip.ParseAddrPort(backend.Host)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "invalid backend URL", "write it as http://127.0.0.1:PORT")
	}
	return announce.NewStatic(announce.Announcement{
		Service: config.ServiceName, Port: addr.Port(), Capacity: config.Capacity, State: announce.Serving,
	}), nil
}

// Reload applies the packet keys and certificates of new settings to flows and
// connections that begin from now on.
func (a *Agent) Reload(config settings.Agent) error {
	certificate, err := callerCertificate(config)
	if err != nil {
		return err
	}
	if err := a.keys.Replace(config.PacketKeys, time.Now()); err != nil {
		return err
	}
	pair := pki.KeyPair{Certificate: config.TLS.Certificate, Key: string(config.TLS.Key)}
	if err := a.identity.Replace(config.TLS.CA, pair); err != nil {
		return err
	}
	a.callerCertificate.Store(certificate)
	return nil
}

// callerCertificate returns the certificate that is presented to callers.
func callerCertificate(config settings.Agent) (*tls.Certificate, error) {
	certificate, err := tls.X509KeyPair([]byte(config.CallerTLS.Certificate), []byte(config.CallerTLS.Key))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "invalid callerTLS", "give a certificate and its key as PEM")
	}
	return &certificate, nil
}

// getCertificate returns the certificate for a new flow.
func (a *Agent) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return a.callerCertificate.Load(), nil
}

// Run serves until ctx ends, and then cuts all flows. When drain ends, the agent
// drains: it waits until all flows have ended, cuts the flows that are still open after
// the drain timeout, and Run returns.
func (a *Agent) Run(ctx, drain context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	discovery := a.startDiscovery(ctx)
	defer discovery.Wait()
	defer cancel()
	announceServer, err := a.startAnnounceServer()
	if err != nil {
		return err
	}
	defer announceServer.Close()
	stopHealth, err := a.serveHealth(ctx)
	if err != nil {
		return err
	}
	spec, err := a.awaitService(ctx, drain)
	stopHealth()
	if ctx.Err() != nil || drain.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if err := a.assemble(spec); err != nil {
		return err
	}
	a.assembled.Store(true)
	return a.serve(ctx, drain)
}

func (a *Agent) serveSync(_ context.Context, conn net.Conn) {
	if err := a.driver.ServeConn(conn); err != nil {
		a.log.WithError(err).Debug("state transfer ended")
	}
}

func (a *Agent) handleControl(from netip.AddrPort, payload []byte) {
	if err := a.driver.HandleDatagram(from, payload); err != nil {
		a.link.metrics.malformed.Inc()
	}
}

// onNotice applies a changed configuration.
func (a *Agent) onNotice(notice control.Notice) {
	if notice.Kind == control.NoticeCatalog {
		a.applySpec()
	}
}

// applySpec applies the catalog's specification of the service. If the service was
// removed, its last limits still apply to requests in progress.
func (a *Agent) applySpec() {
	entry, ok := a.driver.Catalog().ByID(a.serviceID)
	a.removed.Store(!ok || entry.Removed)
	if !ok || entry.Removed {
		return
	}
	spec := entry.Spec
	a.spec.Store(&spec)
	a.log.WithField("service", spec.Name).WithField("revision", entry.ModRevision).Info("configuration applied")
}

// acceptsFlows reports whether the agent accepts another new flow.
func (a *Agent) acceptsFlows() bool {
	return a.serving.Load() && a.endpoint.flows.Load() < int64(a.spec.Load().Limits.Connections)
}

// serve runs all components until ctx ends, or until the agent has drained. The agent
// starts to drain when drain ends.
func (a *Agent) serve(ctx, drain context.Context) error {
	listener, err := a.network.ListenTCP(a.settings.Stream)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	for range linkWorkers {
		group.Go(a.link.run)
	}
	group.Go(func() error { return a.driver.Run(groupCtx) })
	group.Go(func() error { return a.endpoint.serve(groupCtx) })
	group.Go(func() error { return a.streams.Serve(listener) })
	group.Go(func() error { return a.maintainState(groupCtx) })
	group.Go(func() error { return a.serveAdmin(groupCtx) })
	group.Go(func() error {
		a.stopWhenDrained(groupCtx, drain)
		cancel()
		return a.closeAll()
	})
	a.log.WithField("service", a.spec.Load().Name).Info("agent started")
	return group.Wait()
}

// closeAll closes all connections and sockets that are still open.
func (a *Agent) closeAll() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // do not wait: draining is over
	_ = a.streams.Shutdown(ctx)
	a.dialer.Close()
	err := a.endpoint.close()
	return errors.Join(err, a.link.socket.Close())
}
