package agent

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/spread"
)

var (
	selfAddr    = netip.MustParseAddrPort("127.1.0.1:7000")
	peerAddr    = netip.MustParseAddrPort("127.1.0.2:7000")
	serviceAddr = netip.MustParseAddrPort("127.0.10.1:443")
	callerAddr  = netip.MustParseAddrPort("127.9.9.9:40000")
)

func testLink(t *testing.T) *link {
	t.Helper()
	codec, err := connid.NewCodec([]connid.Key{{Secret: [connid.KeyLen]byte{7}}})
	if err != nil {
		t.Fatal(err)
	}
	counters := NewMetrics(metrics.NewSet())
	conn := newPacketConn(nil, nil, func() []netip.AddrPort { return nil }, counters)
	conn.route.Store(&serviceRoute{id: 1, addr: serviceAddr})
	return &link{
		self: selfAddr, codec: codec, conn: conn, metrics: counters, refusedCallers: newRefusedCallers(),
		markKeyUsed: func(uint8, time.Time) {}, acceptsFlows: func() bool { return true }, openings: opening.NewTable(selfAddr),
		load: spread.NewTracker(time.Now()), flowShare: func(int) float64 { return 0.5 },
	}
}

func establishedPacket(t *testing.T, l *link, target connid.Target) []byte {
	t.Helper()
	id, err := l.codec.Encode(target, 0)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{0x40}, id[:]...), "rest"...)
}

// Packets of other services and of other agents' flows must not reach the QUIC endpoint
// even if they come from an authentic peer.
func TestLinkDeliversOnlyItsOwnService(t *testing.T) {
	l := testLink(t)
	own := establishedPacket(t, l, connid.Target{Agent: selfAddr, Service: 1})
	opens := append([]byte{0xc0, 0, 0, 0, 1, 8}, "12345678rest"...)
	cases := []struct {
		name      string
		service   uint16
		payload   []byte
		delivered int
	}{
		{"own flow", 1, own, 1},
		{"own flow in an envelope of another service", 2, own, 0},
		{"flow of another service in an envelope of this service", 1, establishedPacket(t, l, connid.Target{Agent: selfAddr, Service: 2}), 0},
		{"flow of another agent", 1, establishedPacket(t, l, connid.Target{Agent: peerAddr, Service: 1}), 0},
		{"forged connection ID", 1, append([]byte{0x40}, make([]byte, 40)...), 0},
		{"opening", 1, opens, 1},
		{"opening in an envelope of another service", 2, opens, 0},
		{"empty", 1, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			message := envelope.Envelope{Type: envelope.Inbound, Caller: callerAddr, ServiceAddr: serviceAddr, Payload: c.payload}
			message.Service = serviceRoute{id: 1}.id
			if c.service != 1 {
				message.Service++
			}
			l.handle(time.Now(), peerAddr, &message, new(connid.Scratch))
			is.Equal(len(l.conn.queue), c.delivered)
			for len(l.conn.queue) > 0 {
				<-l.conn.queue
			}
		})
	}
}

func TestFullAgentRefusesTheCallersConnection(t *testing.T) {
	is := is.New(t)
	l := testLink(t)
	l.acceptsFlows = func() bool { return false }
	opens := append([]byte{0xc0, 0, 0, 0, 1, 8}, "12345678rest"...)
	message := envelope.Envelope{Type: envelope.Inbound, Service: 1, Caller: callerAddr, ServiceAddr: serviceAddr, Payload: opens}
	l.handle(time.Now(), peerAddr, &message, new(connid.Scratch))
	is.Equal(len(l.conn.queue), 1) // the endpoint gets the packet and refuses the flow
	end := &endpoint{refusedCallers: l.refusedCallers, metrics: l.metrics}
	_, err := end.admitFlow(t.Context(), clientInfo(callerAddr))
	is.True(err != nil)
	_, err = end.admitFlow(t.Context(), clientInfo(peerAddr))
	is.NoErr(err)
}

func clientInfo(addr netip.AddrPort) *quic.ClientInfo {
	return &quic.ClientInfo{RemoteAddr: net.UDPAddrFromAddrPort(addr)}
}
