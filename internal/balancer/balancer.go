package balancer

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/packetkeys"
	"github.com/almondledge/almondledge/internal/pki"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/store"
	"github.com/almondledge/almondledge/internal/store/etcd"
	"github.com/almondledge/almondledge/internal/stream"
	"github.com/almondledge/almondledge/internal/telemetry"
	"github.com/almondledge/almondledge/internal/ticket"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

const (
	// forwardWorkers is the number of goroutines for each direction.
	forwardWorkers = 2
	// minTableInterval is the minimum time between two updates of the routing table.
	minTableInterval = 20 * time.Millisecond
	// refusalLogInterval is the minimum time between two log lines about refused streams.
	refusalLogInterval = 10 * time.Second
	// idleTime is the time without packets after which a stopping balancer leaves.
	idleTime = time.Second
	// maxLeaveTime bounds how long a stopping balancer waits for packets to stop arriving.
	maxLeaveTime      = 30 * time.Second
	leavePollInterval = 50 * time.Millisecond
)

// Options are the dependencies of a balancer.
type Options struct {
	// Log receives life-cycle events.
	Log log.Interface
	// Network opens the sockets.
	Network network.Network
	// StoreTransport carries the calls to the platform's store. Nil uses HTTP.
	StoreTransport http.RoundTripper
}

// Balancer is one balancer process.
type Balancer struct {
	settings  settings.Balancer
	network   network.Network
	log       log.Interface
	keys      *packetkeys.Set
	identity  *pki.Identity
	telemetry *telemetry.Process
	dialer    *stream.Dialer
	streams   *stream.Server
	driver    *controlplane.Driver
	store     *etcd.Client
	forwarder *Forwarder
	fabric    udpbatch.Conn
	link      udpbatch.Conn
	metrics   *Metrics
	// tableUpdate wakes the goroutine that updates the routing table; pending holds
	// the changes that it applies.
	tableUpdate chan struct{}
	pending     tableChanges
	stopping    atomic.Bool
}

// New checks the settings and binds the UDP sockets; Run starts the balancer.
func New(config settings.Balancer, options Options) (*Balancer, error) {
	keys, err := packetkeys.New(config.PacketKeys)
	if err != nil {
		return nil, err
	}
	pair := pki.KeyPair{Certificate: config.TLS.Certificate, Key: string(config.TLS.Key)}
	identity, err := pki.NewIdentity(config.TLS.CA, pair, time.Now)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		identity:    identity,
		settings:    config,
		network:     options.Network,
		log:         options.Log,
		keys:        keys,
		dialer:      stream.NewDialer(identity, options.Network.DialTCP),
		tableUpdate: make(chan struct{}, 1),
	}
	b.telemetry = telemetry.New(b.Ready)
	b.metrics = NewMetrics(b.telemetry.Set())
	keys.Register(b.telemetry.Set())
	identity.Register(b.telemetry.Set())
	b.store, err = etcd.New(etcd.Config{
		Endpoints: config.Store.Endpoints, Transport: options.StoreTransport, Metrics: b.telemetry.Set(),
	})
	if err != nil {
		return nil, err
	}
	b.driver = b.newDriver()
	b.driver.Register(b.telemetry.Set())
	b.streams = stream.NewServer(stream.Options{
		Identity: identity,
		Sync:     b.serveSync,
		Observer: stream.NewRecorder(b.telemetry.Set(), logging.NewRateLimitedLogger(b.log, refusalLogInterval)),
	})
	return b, b.bind()
}

func (b *Balancer) bind() error {
	var err error
	if b.fabric, err = b.network.ListenUDP(b.settings.FabricListen); err != nil {
		return err
	}
	if b.link, err = b.network.ListenUDP(b.settings.Address); err != nil {
		return errors.Join(err, b.fabric.Close())
	}
	b.forwarder = NewForwarder(ForwarderConfig{
		Fabric: b.fabric, FabricAddr: b.settings.FabricAddress, Link: b.link,
		Codec: b.keys.Codec, Sealer: b.keys.Sealer, Opener: b.keys.Opener, FlowSeed: b.keys.FlowSeed,
		Workers: forwardWorkers, HandleControl: b.handleControl, MarkKeyUsed: b.keys.MarkUsed, Metrics: b.metrics,
	})
	return nil
}

func (b *Balancer) newDriver() *controlplane.Driver {
	self := member.Member{
		Addr: b.settings.Address, Stream: b.settings.Stream, Kind: member.Balancer, State: member.Serving,
		Incarnation: uint64(time.Now().UnixNano()), DataCentre: b.settings.DataCentre,
	}
	return controlplane.New(controlplane.Options{
		Node: control.Config{
			Self: self, Seeds: b.settings.Peers, BytesPerSecond: b.settings.ControlBytesPerSecond,
			Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		},
		Log:      b.log,
		Send:     b.sendControl,
		Dial:     b.dialer.DialSync,
		OnNotice: b.onNotice,
		OnCandidates: func(ids []service.ID) {
			b.pending.addServices(ids)
			b.requestTableUpdate()
		},
	})
}

// Driver returns the control plane of the balancer.
func (b *Balancer) Driver() *controlplane.Driver {
	return b.driver
}

// Packets returns the number of packets forwarded in both directions.
func (b *Balancer) Packets() uint64 {
	return b.forwarder.Packets()
}

// Store returns the client of the platform's store.
func (b *Balancer) Store() store.Store {
	return b.store
}

// Reload applies the packet keys and certificates of new settings to connections that
// begin from now on.
func (b *Balancer) Reload(config settings.Balancer) error {
	if err := b.keys.Replace(config.PacketKeys, time.Now()); err != nil {
		return err
	}
	pair := pki.KeyPair{Certificate: config.TLS.Certificate, Key: string(config.TLS.Key)}
	return b.identity.Replace(config.TLS.CA, pair)
}

// Run serves until ctx ends, which stops the balancer at once, or until drain ends
// and packets have stopped arriving.
func (b *Balancer) Run(ctx, drain context.Context) error {
	listener, err := b.network.ListenTCP(b.settings.Stream)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	watcher := &controlplane.Watcher{Driver: b.driver, Store: b.store, Prefix: ticket.ServicePrefix, Decode: decodeEvent}
	group.Go(func() error { return b.forwarder.Run(groupCtx) })
	group.Go(func() error { return b.driver.Run(groupCtx) })
	group.Go(func() error { return watcher.Run(groupCtx) })
	group.Go(func() error { return b.streams.Serve(listener) })
	group.Go(func() error { return b.buildTables(groupCtx) })
	group.Go(func() error { return b.serveAdmin(groupCtx) })
	group.Go(func() error {
		b.discoverBalancers(groupCtx)
		return nil
	})
	group.Go(func() error {
		b.keepRosterEntry(groupCtx)
		return nil
	})
	group.Go(func() error {
		b.leaveWhenIdle(groupCtx, drain)
		cancel()
		b.dialer.Close()
		return ignoreCanceled(b.streams.Shutdown(groupCtx))
	})
	b.log.Info("balancer started")
	return group.Wait()
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// leaveWhenIdle announces that the balancer is leaving once drain ends. It then waits
// until no packet has arrived for idleTime, but not longer than maxLeaveTime or until
// ctx ends.
func (b *Balancer) leaveWhenIdle(ctx, drain context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-drain.Done():
	}
	b.log.Info("leaving")
	b.stopping.Store(true)
	b.driver.SetState(member.Leaving)
	deadline := time.Now().Add(maxLeaveTime)
	last, since := b.forwarder.Packets(), time.Now()
	for ctx.Err() == nil && time.Since(since) < idleTime && time.Now().Before(deadline) {
		time.Sleep(leavePollInterval)
		if now := b.forwarder.Packets(); now != last {
			last, since = now, time.Now()
		}
	}
	b.log.WithField("packets", last).Info("balancer left")
}

// onNotice requests a new routing table when the configuration has changed.
func (b *Balancer) onNotice(notice control.Notice) {
	if notice.Kind != control.NoticeCatalog {
		return
	}
	b.log.WithField("revision", b.driver.Catalog().Revision()).Info("configuration applied")
	b.pending.addCatalog()
	b.requestTableUpdate()
}

func (b *Balancer) sendControl(to netip.AddrPort, payload []byte) error {
	message := envelope.Envelope{Type: envelope.Control, Payload: payload}
	var buffer [udpbatch.MaxDatagram]byte
	return b.link.WriteTo(b.keys.Sealer.Seal(buffer[:0], &message), to)
}

func (b *Balancer) handleControl(from netip.AddrPort, payload []byte) {
	if err := b.driver.HandleDatagram(from, payload); err != nil {
		b.metrics.refusals.Misdirected.Inc()
	}
}

func (b *Balancer) serveSync(_ context.Context, conn net.Conn) {
	if err := b.driver.ServeConn(conn); err != nil {
		b.log.WithError(err).Debug("state transfer ended")
	}
}
