// Package flowtable records the flows of one backend server: which packets belong to them, how many
// are open, and how many requests are in progress. The table is bounded and evicts the flow that
// has been idle longest.
package flowtable

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

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

// endedRetention is how long an ended flow is kept.
const endedRetention = 8 * time.Second

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

// Table holds the flows of one backend server. It is not safe for concurrent use.
type Table struct {
	flows *simplelru.LRU[flow.Key, *Entry]
	open  int
	// active counts flows with an expected or unanswered request.
	active int
	// expectedRequests lists the expected first requests of flows, pendingRequests the requests that were in
	// progress, the oldest first.
	expectedRequests, pendingRequests []timedRequest
}

// timedRequest is the request of a flow that was expected or in progress from the given time on.
type timedRequest struct {
	entry *Entry
	since time.Time
}

// expectedRequestTimeout is how long the first request of a flow is expected.
const expectedRequestTimeout = 300 * time.Millisecond

// New returns an empty table for at most size flows.
func New(size int) *Table {
	t := &Table{}
	flows, err := simplelru.NewLRU(size, func(_ flow.Key, e *Entry) { t.uncount(e) })
	if err != nil {
		panic(err) // NewLRU fails only for a size below one, which would be a programming error
	}
	t.flows = flows
	return t
}

// Len returns the number of flows in the table, including ended ones.
func (t *Table) Len() int { return t.flows.Len() }

// Open returns the number of flows that have not ended.
func (t *Table) Open() int { return t.open }

// Active returns the number of flows with a request in progress.
func (t *Table) Active() int { return t.active }

// Get returns the entry of a flow, or nil.
func (t *Table) Get(key flow.Key) *Entry {
	e, _ := t.flows.Peek(key)
	return e
}

// Begin adds a flow whose opening packet goes to the backend server, and replaces an ended flow of
// the same key. Callers open flows to send a request, so a first request is expected for
// expectedRequestTimeout and counts as in progress.
func (t *Table) Begin(now time.Time, key flow.Key, balancer flow.Endpoint) *Entry {
	e := t.add(now, key, balancer)
	e.requestExpected = true
	t.setRequestPending(now, e, true)
	t.expectedRequests = append(t.expectedRequests, timedRequest{e, now})
	return e
}

func (t *Table) add(now time.Time, key flow.Key, balancer flow.Endpoint) *Entry {
	t.flows.Remove(key)
	e := &Entry{Balancer: balancer, firstSeen: now, lastSeen: now}
	t.flows.Add(key, e)
	t.open++
	return e
}

// Remove removes a flow.
func (t *Table) Remove(key flow.Key) { t.flows.Remove(key) }

// Visit calls f for each flow that has not ended.
func (t *Table) Visit(f func(flow.Key, *Entry)) {
	for _, key := range t.flows.Keys() {
		if e, ok := t.flows.Peek(key); ok && e.Phase != Ended {
			f(key, e)
		}
	}
}

// Clear removes all flows, because their backend server is gone.
func (t *Table) Clear() { t.flows.Purge() }

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

// RecordCallerPacket updates a flow with a packet of the caller, which must match the entry.
func (t *Table) RecordCallerPacket(now time.Time, key flow.Key, e *Entry, p *flow.Packet) {
	t.flows.Get(key) // marks the flow as most recently used
	e.lastSeen = now
	if p.Opens() {
		e.openingSeq, e.hasOpeningSeq = p.Seq, true
		return
	}
	if e.Phase == Ended {
		return
	}
	if p.Flags.Has(flow.ACK) {
		e.CallerAck = p.Ack
		e.Phase = Open
	}
	if p.Length > 0 {
		e.requestExpected = false
		t.setRequestPending(now, e, true)
	}
	if p.Flags.Has(flow.FIN) {
		e.callerFin = true
	}
	t.endIfDone(e, p)
}

// RecordBackendPacket updates a flow with a packet of the backend server, and adds the flow if it
// is unknown, as after a restart of this process. It returns the entry, and whether the flow was
// unknown.
func (t *Table) RecordBackendPacket(now time.Time, key flow.Key, p *flow.Packet) (e *Entry, unknown bool) {
	e, known := t.flows.Get(key)
	if !known {
		if p.Flags.Has(flow.RST) {
			return nil, false // a refused flow, not an open one
		}
		e = t.add(now, key, flow.Endpoint{})
	}
	e.lastSeen = now
	t.advanceSeq(e, p)
	if e.Phase == Ended {
		return e, false
	}
	if e.Phase == Opening {
		e.Phase = Answered
		if !p.Flags.Has(flow.SYN) {
			e.Phase = Open
		}
	}
	if p.Length > 0 {
		t.setRequestPending(now, e, false)
	}
	if p.Flags.Has(flow.FIN) {
		e.backendFin = true
	}
	t.endIfDone(e, p)
	return e, !known
}

// advanceSeq moves nextSeq forward after a packet of the backend server. Until the flow is open, each answer to an
// opening packet sets it.
func (t *Table) advanceSeq(e *Entry, p *flow.Packet) {
	if p.Flags.Has(flow.RST) {
		return
	}
	next := p.Seq + uint32(p.Length)
	if p.Flags.Has(flow.SYN) || p.Flags.Has(flow.FIN) {
		next++
	}
	answersOpening := p.Flags.Has(flow.SYN) && e.Phase != Open
	if !e.hasNextSeq || answersOpening || int32(next-e.nextSeq) > 0 {
		e.nextSeq = next
		e.hasNextSeq = true
	}
}

func (t *Table) setRequestPending(now time.Time, e *Entry, pending bool) {
	if e.RequestPending == pending {
		return
	}
	e.RequestPending = pending
	if !pending {
		t.active--
		return
	}
	t.active++
	e.pendingSince = now
	t.pendingRequests = append(t.pendingRequests, timedRequest{e, now})
}

func (t *Table) endIfDone(e *Entry, p *flow.Packet) {
	if p.Flags.Has(flow.RST) || (e.callerFin && e.backendFin) {
		t.uncount(e)
		e.Phase = Ended
	}
}

// uncount removes a flow from the counts of open flows and of requests in progress.
func (t *Table) uncount(e *Entry) {
	if e.Phase == Ended {
		return
	}
	t.setRequestPending(time.Time{}, e, false)
	e.requestExpected = false
	t.open--
}

// ExpireRequests stops counting expected requests that have not arrived in time, and requests that have been in
// progress for timeout: their callers have given up, also if no packet says so.
func (t *Table) ExpireRequests(now time.Time, timeout time.Duration) {
	for len(t.expectedRequests) > 0 && now.Sub(t.expectedRequests[0].since) >= expectedRequestTimeout {
		if e := t.expectedRequests[0].entry; e.requestExpected && e.Phase != Ended {
			t.setRequestPending(now, e, false)
		}
		t.expectedRequests[0].entry.requestExpected = false
		t.expectedRequests = t.expectedRequests[1:]
	}
	for len(t.pendingRequests) > 0 && now.Sub(t.pendingRequests[0].since) >= timeout {
		if r := t.pendingRequests[0]; r.entry.pendingSince.Equal(r.since) && r.entry.Phase != Ended {
			t.setRequestPending(now, r.entry, false)
		}
		t.pendingRequests = t.pendingRequests[1:]
	}
}

// Expire removes flows that were idle for longer than idle and ended flows that were idle for endedRetention.
func (t *Table) Expire(now time.Time, idle time.Duration) {
	for {
		key, e, ok := t.flows.GetOldest()
		if !ok {
			return
		}
		limit := idle
		if e.Phase == Ended {
			limit = min(idle, endedRetention)
		}
		if now.Sub(e.lastSeen) < limit {
			return
		}
		t.flows.Remove(key)
	}
}
