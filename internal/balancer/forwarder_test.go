package balancer

import (
	"context"
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/fabriclink"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

var (
	bookingAddr  = netip.MustParseAddrPort("127.0.10.1:443")
	bulletinAddr = netip.MustParseAddrPort("127.0.10.2:443")
	callerAddr   = netip.MustParseAddrPort("127.9.9.9:40000")
	envelopeKey  = envelope.Key{Secret: [envelope.KeyLen]byte{1}}
)

// testForwarder is a forwarder with the sockets of a simulated fabric and agent.
type testForwarder struct {
	t             *testing.T
	fabric, agent *udpbatch.Socket
	toBalancer    netip.AddrPort
	link          netip.AddrPort
	codec         *connid.Codec
	sealer        *envelope.Sealer
	opener        *envelope.Opener
	forwarder     *Forwarder
}

func listen(t *testing.T) *udpbatch.Socket {
	t.Helper()
	socket, err := udpbatch.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func newTestForwarder(t *testing.T) *testForwarder {
	is := is.New(t)
	codec, err := connid.NewCodec([]connid.Key{{Secret: [connid.KeyLen]byte{7}}})
	is.NoErr(err)
	sealer, err := envelope.NewSealer(envelopeKey, 1)
	is.NoErr(err)
	agentSealer, err := envelope.NewSealer(envelopeKey, 2)
	is.NoErr(err)
	opener, err := envelope.NewOpener([]envelope.Key{envelopeKey})
	is.NoErr(err)
	agentOpener, err := envelope.NewOpener([]envelope.Key{envelopeKey})
	is.NoErr(err)
	fabric, agent, in, link := listen(t), listen(t), listen(t), listen(t)
	forwarder := NewForwarder(ForwarderConfig{
		Fabric: in, FabricAddr: fabric.LocalAddr(), Link: link, Codec: codec, Sealer: sealer, Opener: opener,
		FlowSeed: func() uint64 { return 1 }, Workers: 1, HandleControl: func(netip.AddrPort, []byte) {},
		Metrics: NewMetrics(metrics.NewSet()),
	})
	forwarder.SetTable(routing.NewTable([]routing.Service{{ID: 1, Addr: bookingAddr}, {ID: 2, Addr: bulletinAddr}}), nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- forwarder.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &testForwarder{
		t: t, fabric: fabric, agent: agent, toBalancer: in.LocalAddr(), link: link.LocalAddr(),
		codec: codec, sealer: agentSealer, opener: agentOpener, forwarder: forwarder,
	}
}

// established returns a datagram from the fabric that carries a packet of an
// established flow of service 1, sent to serviceAddr.
func (b *testForwarder) established(serviceAddr netip.AddrPort, text string) []byte {
	id, err := b.codec.Encode(connid.Target{Agent: b.agent.LocalAddr(), Service: 1}, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	payload := append(append([]byte{0x40}, id[:]...), text...)
	datagram, err := fabriclink.Encode(nil, callerAddr, serviceAddr, payload)
	if err != nil {
		b.t.Fatal(err)
	}
	return datagram
}

func (b *testForwarder) send(from *udpbatch.Socket, datagram []byte, to netip.AddrPort) {
	if err := from.WriteTo(datagram, to); err != nil {
		b.t.Fatal(err)
	}
}

// A packet of a flow of the booking service that arrives at the address of the bulletin
// service must not reach any agent. The valid packet that follows must reach its agent.
func TestForwarderDropsInboundPacketOfOtherService(t *testing.T) {
	is := is.New(t)
	b := newTestForwarder(t)
	b.send(b.fabric, b.established(bulletinAddr, "wrong service"), b.toBalancer)
	b.send(b.fabric, []byte("not a PROXY header"), b.toBalancer)
	b.send(b.fabric, b.established(bookingAddr, "right service"), b.toBalancer)
	reader := b.agent.NewReader()
	_, err := reader.Read()
	is.NoErr(err)
	got, err := b.opener.Open(reader.Datagram(0), new(envelope.CandidateBuffer))
	is.NoErr(err)
	is.Equal(string(got.Payload[1+connid.Len:]), "right service")
	is.Equal(got.Caller, callerAddr)
	is.Equal(b.forwarder.config.Metrics.verdicts[routing.DropOtherService].Get(), uint64(1))
	is.Equal(b.forwarder.config.Metrics.malformedFabric.Get(), uint64(1))
}

// A reply of one service must not be sent from the address of another, and a forged
// reply must not be sent at all.
func TestForwarderDropsReplyOfOtherService(t *testing.T) {
	is := is.New(t)
	b := newTestForwarder(t)
	reply := envelope.Envelope{Type: envelope.Outbound, Service: 1, Caller: callerAddr, ServiceAddr: bulletinAddr, Payload: []byte("wrong service")}
	b.send(b.agent, b.sealer.Seal(nil, &reply), b.link)
	reply.ServiceAddr = bookingAddr
	forged := b.sealer.Seal(nil, &reply)
	forged[len(forged)-1] ^= 1
	b.send(b.agent, forged, b.link)
	reply.Payload = []byte("right service")
	b.send(b.agent, b.sealer.Seal(nil, &reply), b.link)
	reader := b.fabric.NewReader()
	_, err := reader.Read()
	is.NoErr(err)
	packet, err := fabriclink.Decode(reader.Datagram(0))
	is.NoErr(err)
	is.Equal(string(packet.Payload), "right service")
	is.Equal(packet.Src, bookingAddr)
	is.Equal(packet.Dst, callerAddr)
	is.Equal(b.forwarder.config.Metrics.replyOtherService.Get(), uint64(1))
	is.Equal(b.forwarder.config.Metrics.refusals.Forged(), uint64(1))
}

// Every change of the configuration builds a new limiter. If that refilled the
// buckets, frequent changes would lift the limit.
func TestFlowLimiterKeepsBucketsAcrossTables(t *testing.T) {
	is := is.New(t)
	first := newFlowLimiter([]FlowLimit{{Service: 1, FlowsPerSecond: 0.5}, {Service: 2}}, nil)
	is.True(first.allow(1))
	is.True(!first.allow(1)) // the bucket of one opening packet is used up
	is.True(first.allow(2))  // service 2 has no limit
	second := newFlowLimiter([]FlowLimit{{Service: 1, FlowsPerSecond: 0.5}}, first)
	is.True(!second.allow(1)) // a new table does not refill the bucket
}
