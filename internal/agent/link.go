package agent

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/opening"
	"github.com/almondledge/almondledge/internal/spread"
	"github.com/almondledge/almondledge/internal/udpbatch"
)

// link receives envelopes and delivers callers' packets to the packetConn.
//
// Lock order: mu is acquired last. It protects only openings and load.
type link struct {
	self           netip.AddrPort
	socket         udpbatch.Conn
	sealer         *envelope.Sealer
	opener         *envelope.Opener
	codec          *connid.Codec
	conn           *packetConn
	metrics        *Metrics
	refusedCallers *refusedCallers
	// markKeyUsed records the key version of a packet of an established flow.
	markKeyUsed func(version uint8, now time.Time)
	// acceptsFlows reports whether the agent accepts new flows now.
	acceptsFlows func() bool
	// flowShare returns the share of the connections that would be occupied if more flows
	// were open in addition to the current ones.
	flowShare func(more int) float64
	// handleControl receives the payload of each control envelope and may keep the slice.
	handleControl func(from netip.AddrPort, payload []byte)

	mu       sync.Mutex
	openings *opening.Table
	load     *spread.Tracker
}

// run receives until the socket is closed.
func (l *link) run() error {
	reader := l.socket.NewReader()
	var candidates envelope.CandidateBuffer
	var scratch connid.Scratch
	for {
		count, err := reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		now := time.Now()
		for i := range count {
			message, err := l.opener.Open(reader.Datagram(i), &candidates)
			if err != nil {
				l.metrics.refusals.Count(err)
				continue
			}
			l.handle(now, reader.From(i), &message, &scratch)
		}
	}
}

func (l *link) handle(now time.Time, from netip.AddrPort, message *envelope.Envelope, scratch *connid.Scratch) {
	switch message.Type {
	case envelope.Control:
		l.conn.chooser.RecordPacket(from, now)
		l.handleControl(from, append([]byte(nil), message.Payload...))
	case envelope.Inbound:
		l.conn.chooser.RecordPacket(from, now)
		l.handleInbound(now, message, scratch)
	case envelope.Claim:
		l.handleClaim(now, from, message)
	case envelope.Outbound:
		l.metrics.refusals.Misdirected.Inc()
	}
}

// handleInbound drops malformed packets and packets of other services or of other
// agents' flows, even if an authentic peer sent them. It delivers packets of this agent's
// flows and passes opening packets to handleOpening.
func (l *link) handleInbound(now time.Time, message *envelope.Envelope, scratch *connid.Scratch) {
	route := l.conn.route.Load()
	if route == nil || message.Service != route.id {
		l.metrics.otherService.Inc()
		return
	}
	header, err := connid.ParseHeader(message.Payload)
	if err != nil {
		l.metrics.malformed.Inc()
		return
	}
	owner, version, err := l.codec.Decode(header.DestID, scratch)
	switch {
	case err == nil && owner.Service != route.id:
		l.metrics.otherService.Inc()
	case err == nil && owner.Agent != l.self:
		l.metrics.refusals.Misdirected.Inc()
	case err == nil:
		l.markKeyUsed(version, now)
		l.conn.deliver(message.Payload, message.Caller)
	case header.Long:
		l.handleOpening(now, message, header.DestID)
	default:
		l.metrics.malformed.Inc()
	}
}

func (l *link) handleOpening(now time.Time, message *envelope.Envelope, destID []byte) {
	packet := opening.Packet{
		DestID:      destID,
		Hops:        message.Hops,
		Candidates:  message.Candidates,
		Caller:      message.Caller,
		ServiceAddr: message.ServiceAddr,
		Payload:     message.Payload,
	}
	acceptsFlows := l.acceptsFlows()
	l.mu.Lock()
	if acceptsFlows && l.shouldOffload(now, packet) {
		acceptsFlows = false
	}
	action, sends := l.openings.HandlePacket(now, packet, acceptsFlows)
	l.mu.Unlock()
	l.metrics.countAction(action)
	if action == opening.Refuse || message.OverLimit {
		l.refusedCallers.add(message.Caller, now)
	}
	if action == opening.Deliver || action == opening.Refuse {
		l.conn.deliver(message.Payload, message.Caller)
	}
	l.sendAll(message, sends)
}

func (l *link) handleClaim(now time.Time, from netip.AddrPort, message *envelope.Envelope) {
	route := l.conn.route.Load()
	if route == nil || message.Service != route.id {
		l.metrics.otherService.Inc()
		return
	}
	claimed, err := parseClaim(message)
	if err != nil {
		l.metrics.malformed.Inc()
		return
	}
	l.mu.Lock()
	if claimed.hasLoad && claimed.owner == from {
		l.load.RecordReport(now, from, claimed.report)
	}
	sends := l.openings.HandleClaim(now, claimed.destID, claimed.owner)
	l.mu.Unlock()
	l.sendAll(message, sends)
}

// sendAll sends the datagrams that the opening table returned for the envelope cause.
func (l *link) sendAll(cause *envelope.Envelope, sends []opening.Send) {
	var buffer [udpbatch.MaxDatagram]byte
	for _, send := range sends {
		message := l.envelopeFor(cause, send)
		if err := l.socket.WriteTo(l.sealer.Seal(buffer[:0], &message), send.To); err != nil {
			l.metrics.unsent.Inc()
		}
	}
}

// envelopeFor returns the envelope for a datagram that the opening table returned for
// the envelope cause. Both envelopes have the same service.
func (l *link) envelopeFor(cause *envelope.Envelope, send opening.Send) envelope.Envelope {
	if send.Claim {
		content := claim{owner: send.Owner, destID: send.DestID}
		if send.Owner == l.self {
			content = l.ownClaim(time.Now(), send.DestID)
		}
		message := content.envelope()
		message.Service = cause.Service
		return message
	}
	return envelope.Envelope{
		Type:        envelope.Inbound,
		Service:     cause.Service,
		Hops:        send.Packet.Hops,
		OverLimit:   cause.OverLimit,
		Caller:      send.Packet.Caller,
		ServiceAddr: send.Packet.ServiceAddr,
		Candidates:  send.Packet.Candidates,
		Payload:     send.Packet.Payload,
	}
}

// sendControl sends a message of the control plane.
func (l *link) sendControl(to netip.AddrPort, payload []byte) error {
	message := envelope.Envelope{Type: envelope.Control, Payload: payload}
	var buffer [udpbatch.MaxDatagram]byte
	return l.socket.WriteTo(l.sealer.Seal(buffer[:0], &message), to)
}
