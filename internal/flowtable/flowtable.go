// Package flowtable records the flows of one backend server: which packets belong to them, how many
// are open, and how many requests are in progress. The table is bounded and evicts the flow that
// has been idle longest.
package flowtable

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/almondledge/almondledge/internal/flow"
)

// endedRetention is how long an ended flow is kept.
const endedRetention = 8 * time.Second

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
