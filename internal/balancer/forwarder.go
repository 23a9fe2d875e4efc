// Package balancer forwards packets between the fabric and the agents. Package
// routing selects the agents; this package owns the sockets and the worker
// goroutines.
package balancer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/fabriclink"
	"github.com/almondledge/almondledge/internal/routing"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	// Fabric is the socket that the fabric sends callers' packets to.
	Fabric udpbatch.Conn
	// FabricAddr is the address of the fabric, to which packets for callers are sent.
	FabricAddr netip.AddrPort
	// Link is the socket for envelopes. Its address identifies the balancer.
	Link udpbatch.Conn
	// Codec decodes connection IDs.
	Codec *connid.Codec
	// Sealer and Opener protect envelopes.
	Sealer *envelope.Sealer
	Opener *envelope.Opener
	// FlowSeed returns the fleet's secret seed for routing.FlowHash.
	FlowSeed func() uint64
	// Workers is the number of goroutines for each direction.
	Workers int
	// HandleControl receives the payload of each control envelope and may keep the slice.
	HandleControl func(from netip.AddrPort, payload []byte)
	// MarkKeyUsed records the key version of a packet of an established flow. It may be nil.
	MarkKeyUsed func(version uint8, now time.Time)
	// Metrics counts packets.
	Metrics *Metrics
}

// Forwarder forwards packets between the fabric and the agents. It keeps no per-flow
// state, so any balancer can forward any packet.
type Forwarder struct {
	config  ForwarderConfig
	table   atomic.Pointer[routing.Table]
	limiter atomic.Pointer[flowLimiter]
	// packets counts forwarded packets, to detect when the balancer is idle.
	packets atomic.Uint64
}

// NewForwarder returns a forwarder with an empty table.
func NewForwarder(config ForwarderConfig) *Forwarder {
	forwarder := &Forwarder{config: config}
	forwarder.table.Store(routing.NewTable(nil))
	forwarder.limiter.Store(newFlowLimiter(nil, nil))
	return forwarder
}

// SetTable replaces the routing table and the limits of new flows.
func (f *Forwarder) SetTable(table *routing.Table, limits []FlowLimit) {
	f.limiter.Store(newFlowLimiter(limits, f.limiter.Load()))
	f.table.Store(table)
}

// Table returns the current routing table.
func (f *Forwarder) Table() *routing.Table {
	return f.table.Load()
}

// Packets returns the number of packets forwarded in both directions.
func (f *Forwarder) Packets() uint64 {
	return f.packets.Load()
}

// Run forwards packets until ctx ends; then it closes both sockets.
func (f *Forwarder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range f.config.Workers {
		group.Go(func() error { return ignoreClosed(f.forwardInbound()) })
		group.Go(func() error { return ignoreClosed(f.forwardOutbound()) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(f.config.Fabric.Close(), f.config.Link.Close())
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// forwardInbound forwards packets from the fabric to the agents.
func (f *Forwarder) forwardInbound() error {
	reader := f.config.Fabric.NewReader()
	writer := f.config.Link.NewWriter()
	router := routing.NewRouter(f.config.Codec, f.config.FlowSeed)
	for {
		count, err := reader.Read()
		if err != nil {
			return err
		}
		table := f.table.Load()
		now := time.Now()
		for i := range count {
			f.handleInbound(now, router, table, reader.Datagram(i), writer)
		}
		f.config.Metrics.countUnsent(writer.Flush())
	}
}

func (f *Forwarder) handleInbound(now time.Time, router *routing.Router, table *routing.Table, datagram []byte, writer udpbatch.Writer) {
	packet, err := fabriclink.Decode(datagram)
	if err != nil {
		f.config.Metrics.malformedFabric.Inc()
		return
	}
	var decision routing.Decision
	router.Route(table, packet.Dst, packet.Payload, &decision)
	f.config.Metrics.verdicts[decision.Verdict].Inc()
	if decision.Verdict >= routing.DropMalformed {
		return
	}
	message := envelope.Envelope{
		Type:        envelope.Inbound,
		Service:     decision.Service,
		Caller:      packet.Src,
		ServiceAddr: packet.Dst,
		Payload:     packet.Payload,
	}
	if decision.Verdict == routing.ToCandidates {
		message.Candidates = decision.Chosen[:decision.Count]
		message.OverLimit = !f.limiter.Load().allow(decision.Service)
	} else {
		f.recordKeyUse(decision.KeyVersion, now)
	}
	f.packets.Add(1)
	sealed := f.config.Sealer.Seal(writer.Buffer(), &message)
	f.config.Metrics.countUnsent(writer.Queue(sealed, decision.Chosen[0]))
}

// recordKeyUse counts the use of a key version, so that operators can see when an old
// key is no longer needed.
func (f *Forwarder) recordKeyUse(version uint8, now time.Time) {
	f.config.Metrics.keyVersions[version].Inc()
	if f.config.MarkKeyUsed != nil {
		f.config.MarkKeyUsed(version, now)
	}
}

// forwardOutbound forwards packets from the agents to the fabric and passes control
// messages to HandleControl.
func (f *Forwarder) forwardOutbound() error {
	reader := f.config.Link.NewReader()
	writer := f.config.Fabric.NewWriter()
	var candidates envelope.CandidateBuffer
	for {
		count, err := reader.Read()
		if err != nil {
			return err
		}
		for i := range count {
			message, err := f.config.Opener.Open(reader.Datagram(i), &candidates)
			if err != nil {
				f.config.Metrics.refusals.Count(err)
				continue
			}
			f.handleOutbound(&message, reader.From(i), writer)
		}
		f.config.Metrics.countUnsent(writer.Flush())
	}
}

func (f *Forwarder) handleOutbound(message *envelope.Envelope, from netip.AddrPort, writer udpbatch.Writer) {
	switch message.Type {
	case envelope.Control:
		f.config.HandleControl(from, append([]byte(nil), message.Payload...))
	case envelope.Outbound:
		f.forwardReply(message, writer)
	case envelope.Inbound, envelope.Claim:
		f.config.Metrics.refusals.Misdirected.Inc()
	}
}

// forwardReply sends an agent's packet to its caller. It drops packets whose source is
// the address of another service. A source address that the table does not know yet
// is accepted, since the sealed envelope proves that an agent sent the packet.
func (f *Forwarder) forwardReply(message *envelope.Envelope, writer udpbatch.Writer) {
	known := f.table.Load().ByAddr(message.ServiceAddr)
	if known != nil && known.ID != message.Service {
		f.config.Metrics.replyOtherService.Inc()
		return
	}
	datagram, err := fabriclink.Encode(writer.Buffer(), message.ServiceAddr, message.Caller, message.Payload)
	if err != nil {
		f.config.Metrics.malformedFabric.Inc()
		return
	}
	f.packets.Add(1)
	f.config.Metrics.replies.Inc()
	f.config.Metrics.countUnsent(writer.Queue(datagram, f.config.FabricAddr))
}
