package flowtable

import (
	"time"

	"github.com/almondledge/almondledge/internal/flow"
)

// Phase is the state of a flow.
type Phase uint8

// Phases of a flow.
const (
	// Opening flows wait for the backend server's answer to the opening packet.
	Opening Phase = iota
	// Answered flows have a first answer of the backend server. If another backend server has answered a copy
	// of the opening packet, the caller may still choose that backend server.
	Answered
	// Open flows are flows in which a packet has shown that the caller uses this backend server.
	Open
	// Ended flows were closed or reset. They are kept for a while, because retransmissions may arrive late.
	Ended
)

// maxAckDistance is the maximum distance, in bytes, between an acknowledged number and the next sequence
// number of the backend server. Flows keep few packets in flight, so a more distant number belongs to another
// backend server's answer to the same caller.
const maxAckDistance = 76_800

// Entry is the state of one flow.
type Entry struct {
	// Balancer is the balancer that forwarded the flow's opening packet.
	Balancer flow.Endpoint
	Phase    Phase
	// RequestPending is set while a request of the caller is expected or unanswered.
	RequestPending bool
	// pendingSince is when RequestPending was set last.
	pendingSince time.Time
	// requestExpected is set while the first request is expected but has not arrived.
	requestExpected bool
	// hasNextSeq is set once the backend server has sent a packet, so that nextSeq is known.
	hasNextSeq            bool
	callerFin, backendFin bool
	// hasOpeningSeq is set once an opening packet of the flow has passed, so that openingSeq is known.
	hasOpeningSeq bool
	// openingSeq is the sequence number of the flow's opening packet and of its copies.
	openingSeq uint32
	// nextSeq is the sequence number after the last byte that the backend server has sent.
	nextSeq uint32
	// CallerAck is the number that the caller acknowledged last.
	CallerAck uint32
	// HomeAgentsHash identifies the home agents to which the last ownership claim was sent.
	HomeAgentsHash uint32
	firstSeen      time.Time
	lastSeen       time.Time
}

// Matches reports whether a caller's packet belongs to the flow at this backend server. Several backend
// servers may have answered copies of one opening packet; the caller acknowledges only the numbers of the
// backend server that it has chosen.
func (e *Entry) Matches(p *flow.Packet) bool {
	if !p.Flags.Has(flow.ACK) {
		return true
	}
	if !e.hasNextSeq {
		return false
	}
	distance := int32(p.Ack - e.nextSeq)
	return distance <= maxAckDistance && distance >= -maxAckDistance
}

// IsOpenedBy reports whether an opening packet has opened the flow or is a copy of the one that has. A packet with
// another sequence number opens the next flow of the same key, because the caller has abandoned this one. If the flow
// is known from its backend server only, a copy can arrive as long as the caller waits for an answer.
func (e *Entry) IsOpenedBy(now time.Time, p *flow.Packet) bool {
	switch {
	case e.Phase == Ended:
		return false
	case e.hasOpeningSeq:
		return p.Seq == e.openingSeq
	default:
		return e.Age(now) < flow.OpeningTimeout
	}
}

// AwaitsAnswer reports whether the backend server has received a request of the flow and has not answered it,
// while the caller still waits.
func (e *Entry) AwaitsAnswer() bool {
	return e.RequestPending && !e.requestExpected && !e.callerFin
}

// EndsWithoutAnswer reports whether a packet of the backend server ends the flow without a byte after those
// that it has sent before. Packets may arrive in another order than they were sent, so the number of a closing
// packet shows whether data precedes it.
func (e *Entry) EndsWithoutAnswer(p *flow.Packet) bool {
	if p.Flags.Has(flow.RST) {
		return true
	}
	return p.Flags.Has(flow.FIN) && p.Length == 0 && e.hasNextSeq && p.Seq == e.nextSeq
}

// Age returns how long ago the flow was first seen.
func (e *Entry) Age(now time.Time) time.Duration { return now.Sub(e.firstSeen) }

// FirstSeenMillis returns when the flow was first seen, in Unix milliseconds.
func (e *Entry) FirstSeenMillis() int64 { return e.firstSeen.UnixMilli() }
