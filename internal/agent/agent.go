// Package agent runs beside a backend server. It ends the QUIC flows of
// callers, admits their requests, and announces the backend server to balancers.
package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/adminapi"
	"github.com/almondledge/almondledge/internal/administration"
	"github.com/almondledge/almondledge/internal/announce"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/gateway"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/packetkeys"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/spread"
	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/stream"
	"github.com/almondledge/almondledge/internal/telemetry"
)

const (
	// linkWorkers is the number of goroutines that receive envelopes.
	linkWorkers = 2
	// refusalLogInterval is the least time between two log lines about refused streams.
	refusalLogInterval = 10 * time.Second
	// lifecyclePeriod is how often the agent reviews its own state.
	lifecyclePeriod = 200 * time.Millisecond
)

// Options are what an agent gets from its process.
type Options struct {
	// Log gets life-cycle events.
	Log log.Interface
	// Network opens the sockets.
	Network network.Network
	// StoreTransport carries the one call to the platform's store. Nil uses HTTP.
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
	// contacts are the balancers for first contact.
	contacts []netip.AddrPort
	driver   *controlplane.Driver
	gateway  *gateway.Gateway
	endpoint *endpoint
	link     *link
	streams  *stream.Server

	callerCertificate atomic.Pointer[tls.Certificate]

	serviceID service.ID
	// spec is the service in force at this agent.
	spec     atomic.Pointer[service.Spec]
	removed  atomic.Bool
	stopping atomic.Bool
	// drained reports that an operator drained this agent.
	drained atomic.Bool
	// serving reports whether the agent takes new flows, draining whether it
	// takes no new requests either.
	serving  atomic.Bool
	draining atomic.Bool
}

// New checks the settings and prepares an agent; Run makes it work.
func New(config settings.Agent, options Options) (*Agent, error) {
	keys, err := packetkeys.New(config.PacketKeys)
	if err != nil {
		return nil, err
	}
	pair := pki.Pair{Certificate: config.TLS.Certificate, Key: string(config.TLS.Key)}
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

// newRegistry returns the registry of the backend server that the settings
// name, or of one that will announce itself.
func newRegistry(config settings.Agent) (*announce.Registry, error) {
	if config.Announce.IsValid() {
		return announce.NewRegistry(), nil
	}
	backend, err := url.Parse(config.Backend)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "bad backend URL", "write it as http://127.0.0.1:PORT")
	}
	addr, err := netip.ParseAddrPort(backend.Host)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "bad backend URL", "write it as http://127.0.0.1:PORT")
	}
	return announce.NewStatic(announce.Announcement{
		Service: config.ServiceName, Port: addr.Port(), Capacity: config.Capacity, State: announce.Serving,
	}), nil
}

// Revision returns the store revision of the configuration in force.
func (a *Agent) Revision() int64 {
	return a.driver.Catalog().Revision()
}

// Reload puts the packet keys and certificates of new settings in force, for
// flows and connections that begin from now on.
func (a *Agent) Reload(config settings.Agent) error {
	certificate, err := callerCertificate(config)
	if err != nil {
		return err
	}
	if err := a.keys.Replace(config.PacketKeys, time.Now()); err != nil {
		return err
	}
	pair := pki.Pair{Certificate: config.TLS.Certificate, Key: string(config.TLS.Key)}
	if err := a.identity.Replace(config.TLS.CA, pair); err != nil {
		return err
	}
	a.callerCertificate.Store(certificate)
	return nil
}

// callerCertificate returns the certificate that callers see.
func callerCertificate(config settings.Agent) (*tls.Certificate, error) {
	certificate, err := tls.X509KeyPair([]byte(config.CallerTLS.Certificate), []byte(config.CallerTLS.Key))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "bad callerTLS", "give a certificate and its key as PEM")
	}
	return &certificate, nil
}

// getCertificate returns the certificate for a new flow.
func (a *Agent) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return a.callerCertificate.Load(), nil
}

// Ready returns nil when the agent takes new flows, or the reason why not.
func (a *Agent) Ready() error {
	if !a.serving.Load() {
		return errkind.New(errkind.Unavailable, "the agent takes no new flows", "see the state in the log; a draining agent stays so")
	}
	return nil
}

// Run serves until ctx ends, which ends all flows at once, or until drain ends
// and all flows have ended after it.
func (a *Agent) Run(ctx, drain context.Context) error {
	announceServer, err := a.startAnnounce()
	if err != nil {
		return err
	}
	defer announceServer.Close()
	spec, err := a.awaitService(ctx, drain)
	if ctx.Err() != nil || drain.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	if err := a.assemble(spec); err != nil {
		return err
	}
	return a.serve(ctx, drain)
}

// startAnnounce serves announcements of the backend server, if the settings ask for it.
func (a *Agent) startAnnounce() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(announce.Path, a.registry)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: time.Second}
	if !a.settings.Announce.IsValid() {
		return server, nil
	}
	listener, err := a.network.ListenTCP(a.settings.Announce)
	if err != nil {
		return nil, err
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.log.WithError(err).Error("announce server failed")
		}
	}()
	return server, nil
}

// assemble builds the parts of the agent around its service.
func (a *Agent) assemble(spec service.Spec) error {
	a.serviceID = spec.ID
	a.spec.Store(&spec)
	last, _ := a.registry.Last(time.Now())
	socket, err := a.network.ListenUDP(a.settings.Address)
	if err != nil {
		return err
	}
	counters := NewMetrics(a.metrics)
	incarnation := uint64(time.Now().UnixNano())
	a.driver = a.newDriver(last, incarnation)
	a.driver.Register(a.metrics)
	if a.gateway, err = a.newGateway(last, incarnation); err != nil {
		return err
	}
	conn := newPacketConn(socket, a.keys.Sealer, a.driver.ReplyTargets, counters)
	conn.route.Store(&serviceRoute{id: spec.ID, front: spec.Address})
	refused := newRefusals()
	a.link = &link{
		self: a.settings.Address, socket: socket, sealer: a.keys.Sealer, opener: a.keys.Opener, codec: a.keys.Codec,
		conn: conn, metrics: counters, refused: refused, markKeyUsed: a.keys.MarkUsed, willing: a.willing, handleControl: a.handleControl,
		openings: opening.NewTable(a.settings.Address), load: spread.NewTracker(time.Now()), flowShare: a.flowShare,
	}
	certificate, err := callerCertificate(a.settings)
	if err != nil {
		return err
	}
	a.callerCertificate.Store(certificate)
	a.endpoint, err = newEndpoint(endpointConfig{
		conn: conn, codec: a.keys.Codec, self: a.settings.Address,
		resetKey: quic.StatelessResetKey(a.keys.StatelessReset()),
		tokenKey: quic.TokenGeneratorKey(a.keys.AddressToken()),
		tls:      &tls.Config{GetCertificate: a.getCertificate, MinVersion: tls.VersionTLS13},
		handler:  a.gateway, refused: refused, metrics: counters,
	})
	if err != nil {
		return err
	}
	a.metrics.NewGauge("almondledge_open_flows", func() float64 { return float64(a.endpoint.flows.Load()) })
	a.streams = stream.NewServer(stream.Options{
		Identity: a.identity,
		Sync:     a.serveSync,
		Relay:    a.gateway.PeerHandler(),
		ErrorLog: logging.Standard(a.log, "relay server"),
		Observer: stream.NewRecorder(a.metrics, logging.NewLimited(a.log, refusalLogInterval)),
	})
	return nil
}

func (a *Agent) newDriver(last announce.Announcement, incarnation uint64) *controlplane.Driver {
	self := member.Member{
		Addr: a.settings.Address, Stream: a.settings.Stream, Kind: member.Agent, State: member.Warming,
		Incarnation: incarnation, DataCentre: a.settings.DataCentre, Service: a.serviceID, Capacity: uint16(last.Capacity),
	}
	return controlplane.New(controlplane.Options{
		Node: control.Config{
			Self: self, Seeds: a.contacts, BytesPerSecond: a.settings.ControlBytesPerSecond,
			Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		},
		Log:      a.log,
		Send:     func(to netip.AddrPort, payload []byte) error { return a.link.sendControl(to, payload) },
		Dial:     a.dialer.DialSync,
		OnNotice: a.onNotice,
	})
}

func (a *Agent) newGateway(last announce.Announcement, incarnation uint64) (*gateway.Gateway, error) {
	config := gateway.Config{
		Addr: a.settings.Address, Incarnation: incarnation, DataCentre: a.settings.DataCentre,
		Spec:     func() service.Spec { return *a.spec.Load() },
		Backend:  &url.URL{Scheme: "http", Host: fmt.Sprintf("127.0.0.1:%d", last.Port)},
		Peers:    func() []member.Member { return a.driver.Peers() },
		PeerURL:  func(m member.Member) string { return "https://" + m.Stream.String() },
		Relay:    a.dialer.RoundTripper(),
		Draining: a.draining.Load,
		Keys:     a.keys.Idempotency,
		Now:      time.Now, Rand: mathrand.Float64, Metrics: a.metrics, Log: a.log, Dial: a.network.DialTCP,
		OnLoad: a.onLoad,
	}
	_, _ = rand.Read(config.NoncePrefix[:]) // never fails
	return gateway.New(config)
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

// onNotice follows the configuration in force.
func (a *Agent) onNotice(notice control.Notice) {
	if notice.Kind == control.NoticeCatalog {
		a.takeSpec()
	}
}

// takeSpec puts the service's state in the catalog in force. A removed service
// keeps its last limits, so that running requests end under them.
func (a *Agent) takeSpec() {
	entry, ok := a.driver.Catalog().ByID(a.serviceID)
	a.removed.Store(!ok || entry.Removed)
	if !ok || entry.Removed {
		return
	}
	spec := entry.Spec
	a.spec.Store(&spec)
	a.log.WithField("service", spec.Name).WithField("revision", entry.ModRevision).Info("configuration in force")
}

// willing reports whether the agent takes another new flow.
func (a *Agent) willing() bool {
	return a.serving.Load() && a.endpoint.flows.Load() < int64(a.spec.Load().Limits.Connections)
}

// serve runs all parts until ctx or drain ends.
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
	group.Go(func() error { return a.review(groupCtx) })
	group.Go(func() error { return a.serveAdmin(groupCtx) })
	group.Go(func() error {
		a.stopWhenDrained(groupCtx, drain)
		cancel()
		return a.closeAll()
	})
	a.log.WithField("service", a.spec.Load().Name).Info("agent started")
	return group.Wait()
}

// serveAdmin serves the administration API until ctx ends.
func (a *Agent) serveAdmin(ctx context.Context) error {
	listener, err := a.network.ListenTCP(a.settings.Admin)
	if err != nil {
		return err
	}
	handler := adminapi.NewHandler(adminapi.Options{
		Instance:      administration.Instance(a.settings.Common),
		Token:         string(a.settings.AdminToken),
		Ready:         a.Ready,
		Configuration: administration.Configuration{Driver: a.driver},
		Members:       a.driver,
		Drainer:       a,
		Telemetry:     a.process,
		Logger:        a.log,
	})
	return adminapi.Serve(ctx, listener, adminapi.TLSConfig(listener.Addr(), a.identity), handler, a.log)
}

// Drain takes the backend server out of service until the process ends. A drain
// that must outlast the process is a change ticket.
func (a *Agent) Drain(submitter string) error {
	if !a.drained.Swap(true) {
		a.log.WithField("submitter", submitter).Info("drain ordered")
	}
	return nil
}

// closeAll ends everything that still runs.
func (a *Agent) closeAll() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no grace: draining is over
	_ = a.streams.Shutdown(ctx)
	a.dialer.Close()
	err := a.endpoint.close()
	return errors.Join(err, a.link.socket.Close())
}
