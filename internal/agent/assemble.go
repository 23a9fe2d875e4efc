package agent

import (
	"crypto/rand"
	"crypto/tls"
	"fmt"
	mathrand "math/rand/v2"
	"net/netip"
	"net/url"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/almondledge/almondledge/internal/announce"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/controlplane"
	"github.com/almondledge/almondledge/internal/gateway"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/spread"
	"github.com/almondledge/almondledge/internal/stream"
)

// assemble creates the components of the agent that need the service specification.
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
	conn.route.Store(&serviceRoute{id: spec.ID, addr: spec.Address})
	refused := newRefusedCallers()
	a.link = &link{
		self: a.settings.Address, socket: socket, sealer: a.keys.Sealer, opener: a.keys.Opener, codec: a.keys.Codec,
		conn: conn, metrics: counters, refusedCallers: refused, markKeyUsed: a.keys.MarkUsed, acceptsFlows: a.acceptsFlows, handleControl: a.handleControl,
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
		handler:  a.gateway, refusedCallers: refused, metrics: counters,
	})
	if err != nil {
		return err
	}
	a.metrics.NewGauge("almondledge_open_flows", func() float64 { return float64(a.endpoint.flows.Load()) })
	a.streams = stream.NewServer(stream.Options{
		Identity: a.identity,
		Sync:     a.serveSync,
		Relay:    a.gateway.PeerHandler(),
		ErrorLog: logging.NewStandardLogger(a.log, "relay server"),
		Observer: stream.NewRecorder(a.metrics, logging.NewRateLimitedLogger(a.log, refusalLogInterval)),
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
			Self: self, Seeds: a.firstContacts(), BytesPerSecond: a.settings.ControlBytesPerSecond,
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
	_, _ = rand.Read(config.NoncePrefix[:]) // rand.Read never fails
	return gateway.New(config)
}
