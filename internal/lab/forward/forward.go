// Package forward compares the packet rate of the balancer's forwarding with that of a bare
// UDP relay, which makes the same socket calls in the same batches but neither routes nor
// seals packets.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/balancer"
	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/fabriclink"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

// Config configures a comparison.
type Config struct {
	// Rounds is the number of measurements of the relay and of the balancer, which
	// alternate.
	Rounds int
	// Span is the length of one measurement.
	Span time.Duration
	// PayloadBytes is the size of the caller's packet.
	PayloadBytes int
	// Senders is the number of goroutines that send.
	Senders int
}

// Report holds the packet rate of each round, in packets per second.
type Report struct {
	Relay, Balancer []float64
}

// Ratio returns the balancer's median rate divided by the relay's.
func (r Report) Ratio() float64 {
	return median(r.Balancer) / median(r.Relay)
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "bare relay: median %.0f packets/s %.0f\nbalancer:   median %.0f packets/s %.0f\nratio:      %.2f\n",
		median(r.Relay), r.Relay, median(r.Balancer), r.Balancer, r.Ratio())
	return err
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

var (
	loopback    = netip.MustParseAddrPort("127.0.0.1:0")
	serviceAddr = netip.MustParseAddrPort("127.0.10.1:443")
	callerAddr  = netip.MustParseAddrPort("127.9.9.9:40000")
)

// Run measures the relay and the balancer in turn, so that both are measured under the same
// load of the machine.
func Run(config Config) (Report, error) {
	var report Report
	for range config.Rounds {
		relay, err := measure(config, runRelay)
		if err != nil {
			return report, err
		}
		forwarder, err := measure(config, runForwarder)
		if err != nil {
			return report, err
		}
		report.Relay = append(report.Relay, relay)
		report.Balancer = append(report.Balancer, forwarder)
	}
	return report, nil
}

// forwardFunc receives datagrams on in and sends them from out to sink, until ctx ends.
type forwardFunc func(ctx context.Context, in, out *udpbatch.Socket, sink netip.AddrPort) error

// measure returns the rate at which packets reach the sink, in packets per second.
func measure(config Config, forward forwardFunc) (float64, error) {
	in, err := udpbatch.Listen(loopback)
	if err != nil {
		return 0, err
	}
	out, err := udpbatch.Listen(loopback)
	if err != nil {
		return 0, err
	}
	sink, err := udpbatch.Listen(loopback)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), config.Span)
	defer cancel()
	var received atomic.Uint64
	done := make(chan error, 2+config.Senders)
	go func() { done <- forward(ctx, in, out, sink.LocalAddr()) }()
	go func() { done <- countReceived(sink, &received) }()
	packet, err := samplePacket(sink.LocalAddr(), config.PayloadBytes)
	if err != nil {
		return 0, err
	}
	for range config.Senders {
		go func() { done <- flood(ctx, in.LocalAddr(), packet) }()
	}
	<-ctx.Done()
	rate := float64(received.Load()) / config.Span.Seconds()
	var failure error
	for range 1 + config.Senders {
		failure = errors.Join(failure, <-done)
	}
	closing := errors.Join(in.Close(), out.Close(), sink.Close())
	failure = errors.Join(failure, <-done)
	if failure != nil {
		return 0, failure
	}
	if rate == 0 {
		return 0, errors.New("no packets reached the sink")
	}
	return rate, ignoreClosed(closing)
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// countReceived counts the datagrams that reach the sink until it is closed.
func countReceived(sink *udpbatch.Socket, received *atomic.Uint64) error {
	reader := sink.NewReader()
	for {
		n, err := reader.Read()
		if err != nil {
			return ignoreClosed(err)
		}
		received.Add(uint64(n))
	}
}

// flood sends packet as fast as the socket accepts it.
func flood(ctx context.Context, to netip.AddrPort, packet []byte) error {
	socket, err := udpbatch.Listen(loopback)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }()
	writer := socket.NewWriter()
	for ctx.Err() == nil {
		for range udpbatch.Size {
			writer.Queue(append(writer.Buffer(), packet...), to)
		}
	}
	return nil
}

// samplePacket returns a packet of an established flow, in the fabric's encoding.
func samplePacket(agent netip.AddrPort, size int) ([]byte, error) {
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	id, err := codec.Encode(connid.Target{Agent: agent, Service: 1, Counter: 1}, 0)
	if err != nil {
		return nil, err
	}
	payload := append([]byte{0x40}, id[:]...)
	payload = append(payload, make([]byte, size-len(payload))...)
	return fabriclink.Encode(nil, callerAddr, serviceAddr, payload)
}

func newCodec() (*connid.Codec, error) {
	return connid.NewCodec([]connid.Key{{Version: 0, Secret: [connid.KeyLen]byte{1}}})
}

// runRelay forwards datagrams unchanged.
func runRelay(ctx context.Context, in, out *udpbatch.Socket, sink netip.AddrPort) error {
	context.AfterFunc(ctx, func() { _ = in.Close() })
	reader := in.NewReader()
	writer := out.NewWriter()
	for {
		n, err := reader.Read()
		if err != nil {
			return ignoreClosed(err)
		}
		for i := range n {
			writer.Queue(append(writer.Buffer(), reader.Datagram(i)...), sink)
		}
		writer.Flush()
	}
}

// runForwarder forwards datagrams with the balancer's forwarder.
func runForwarder(ctx context.Context, in, out *udpbatch.Socket, _ netip.AddrPort) error {
	codec, err := newCodec()
	if err != nil {
		return err
	}
	key := envelope.Key{Secret: [envelope.KeyLen]byte{1}}
	sealer, err := envelope.NewSealer(key, 1)
	if err != nil {
		return err
	}
	opener, err := envelope.NewOpener([]envelope.Key{key})
	if err != nil {
		return err
	}
	forwarder := balancer.NewForwarder(balancer.ForwarderConfig{
		Fabric: in, FabricAddr: serviceAddr, Link: out, Codec: codec, Sealer: sealer, Opener: opener, Workers: 1,
		FlowSeed:      func() uint64 { return 1 },
		HandleControl: func(netip.AddrPort, []byte) {},
		Metrics:       balancer.NewMetrics(metrics.NewSet()),
	})
	forwarder.SetTable(routing.NewTable([]routing.Service{{ID: 1, Addr: serviceAddr}}), nil)
	return ignoreClosed(forwarder.Run(ctx))
}
