// Package flowtable remembers the flows of one backend server: which packets
// belong to them, how many are open, and how many requests are in progress. The
// table is bounded, and forgets the flow that has been silent longest first.
package flowtable

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/almondledge/almondledge/internal/flow"
)

// Phase is how far a flow has come.
type Phase uint8

// Phases of a flow.
const (
	// Opening flows wait for the backend server's answer to the opening packet.
	Opening Phase = iota
	// Answered flows have a first answer of the backend server; the caller may still
	// choose the answer of another one.
	Answered
	// Open flows have had a packet that only this backend server can have caused.
	Open
	// Ended flows were closed or reset. They are kept for late retransmissions.
	Ended
)

// reach is how far, in bytes, an acknowledged number may lie from the last number
// that the backend server has sent. Flows keep few packets in flight, so a number
// farther away belongs to another backend server's answer to the same caller.
const reach = 76_800

// lingerTime is how long an ended flow is kept.
const lingerTime = 8 * time.Second

// Entry is one flow.
type Entry struct {
	// Balancer took the flow's opening packet.
	Balancer flow.Endpoint
	Phase    Phase
	// RequestPending is set while a request of the caller is expected or unanswered.
	RequestPending bool
	// promised is set while the first request is expected.
	promised bool
	// knowsNext is set once the backend server has sent something.
	knowsNext             bool
	callerFin, backendFin bool
	// next is the number after the last byte that the backend server has sent.
	next uint32
	// CallerAck is the number that the caller acknowledged last.
	CallerAck uint32
	// HomeAgentsHash identifies the homes that were told of the flow.
	HomeAgentsHash uint32
	created        time.Time
	seen           time.Time
}

// Table holds the flows of one backend server. It is not safe for concurrent use.
type Table struct {
	flows *simplelru.LRU[flow.Key, *Entry]
	open  int
	// active counts flows with an expected or unanswered request.
	active int
	// promises lists flows whose first request is expected, the oldest first.
	promises []promise
}

// promise is a flow whose first request is expected.
type promise struct {
	entry *Entry
	since time.Time
}

// promiseTime is how long the first request of a flow is expected.
const promiseTime = 300 * time.Millisecond

// New returns an empty table for at most size flows.
func New(size int) *Table {
	t := &Table{}
	flows, err := simplelru.NewLRU(size, func(_ flow.Key, e *Entry) { t.discount(e) })
	if err != nil {
		panic(err) // only a size below one is refused, which is a fault of the program
	}
	t.flows = flows
	return t
}

// Len returns the number of remembered flows, Open that of open ones, and Active
// that of open ones with a request in progress.
func (t *Table) Len() int { return t.flows.Len() }

// Open returns the number of flows that are opening or open.
func (t *Table) Open() int { return t.open }

// Active returns the number of flows with a request in progress.
func (t *Table) Active() int { return t.active }

// Get returns the entry of a flow, or nil.
func (t *Table) Get(key flow.Key) *Entry {
	e, _ := t.flows.Peek(key)
	return e
}

// Begin notes that an opening packet goes to the backend server, in place of an
// ended flow of the same key. Callers open flows to send a request, so one is
// expected for a while.
func (t *Table) Begin(now time.Time, key flow.Key, balancer flow.Endpoint) *Entry {
	e := t.add(now, key, balancer)
	e.promised = true
	t.setWaiting(e, true)
	t.promises = append(t.promises, promise{e, now})
	return e
}

func (t *Table) add(now time.Time, key flow.Key, balancer flow.Endpoint) *Entry {
	t.flows.Remove(key)
	e := &Entry{Balancer: balancer, created: now, seen: now}
	t.flows.Add(key, e)
	t.open++
	return e
}

// Remove forgets a flow.
func (t *Table) Remove(key flow.Key) { t.flows.Remove(key) }

// Visit calls f for each flow that has not ended.
func (t *Table) Visit(f func(flow.Key, *Entry)) {
	for _, key := range t.flows.Keys() {
		if e, ok := t.flows.Peek(key); ok && e.Phase != Ended {
			f(key, e)
		}
	}
}

// Clear forgets all flows, because their backend server is gone.
func (t *Table) Clear() { t.flows.Purge() }

// Matches reports whether a caller's packet belongs to the entry's flow at this
// backend server. The caller acknowledges what only the backend server of its
// choice has sent, which tells apart two answers to copies of one opening packet.
func (e *Entry) Matches(p *flow.Packet) bool {
	if !p.Flags.Has(flow.ACK) {
		return true
	}
	if !e.knowsNext {
		return false
	}
	distance := int32(p.Ack - e.next)
	return distance <= reach && distance >= -reach
}

// Age returns how long ago the flow was first seen.
func (e *Entry) Age(now time.Time) time.Duration { return now.Sub(e.created) }

// FirstSeenMillis returns when the flow was first seen, in Unix milliseconds.
func (e *Entry) FirstSeenMillis() int64 { return e.created.UnixMilli() }

// RecordCallerPacket follows a caller's packet of the flow. The packet must match.
func (t *Table) RecordCallerPacket(now time.Time, key flow.Key, e *Entry, p *flow.Packet) {
	t.flows.Get(key) // makes the flow the one seen last
	e.seen = now
	if p.Opens() || e.Phase == Ended {
		return
	}
	if p.Flags.Has(flow.ACK) {
		e.CallerAck = p.Ack
		e.Phase = Open
	}
	if p.Length > 0 {
		e.promised = false
		t.setWaiting(e, true)
	}
	if p.Flags.Has(flow.FIN) {
		e.callerFin = true
	}
	t.endIfDone(e, p)
}

// RecordBackendPacket follows a packet of the backend server and returns the flow's entry
// with whether the flow was unknown so far, as after a restart of this process.
func (t *Table) RecordBackendPacket(now time.Time, key flow.Key, p *flow.Packet) (e *Entry, unknown bool) {
	e, known := t.flows.Get(key)
	if !known {
		if p.Flags.Has(flow.RST) {
			return nil, false // a refusal of a flow that nobody holds
		}
		e = t.add(now, key, flow.Endpoint{})
	}
	e.seen = now
	t.advance(e, p)
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
		t.setWaiting(e, false)
	}
	if p.Flags.Has(flow.FIN) {
		e.backendFin = true
	}
	t.endIfDone(e, p)
	return e, !known
}

// advance moves the number after the last byte sent.
func (t *Table) advance(e *Entry, p *flow.Packet) {
	if p.Flags.Has(flow.RST) {
		return
	}
	next := p.Seq + uint32(p.Length)
	if p.Flags.Has(flow.SYN) || p.Flags.Has(flow.FIN) {
		next++
	}
	if !e.knowsNext || p.Flags.Has(flow.SYN) || int32(next-e.next) > 0 {
		e.next = next
		e.knowsNext = true
	}
}

func (t *Table) setWaiting(e *Entry, waiting bool) {
	if e.RequestPending == waiting {
		return
	}
	e.RequestPending = waiting
	if waiting {
		t.active++
	} else {
		t.active--
	}
}

func (t *Table) endIfDone(e *Entry, p *flow.Packet) {
	if p.Flags.Has(flow.RST) || (e.callerFin && e.backendFin) {
		t.discount(e)
		e.Phase = Ended
	}
}

// discount takes a flow out of the counts.
func (t *Table) discount(e *Entry) {
	if e.Phase == Ended {
		return
	}
	t.setWaiting(e, false)
	e.promised = false
	t.open--
}

// Expire forgets flows that were silent for longer than idle, and ended ones after a
// while, and gives up on requests that did not come.
func (t *Table) Expire(now time.Time, idle time.Duration) {
	for len(t.promises) > 0 && now.Sub(t.promises[0].since) >= promiseTime {
		if e := t.promises[0].entry; e.promised && e.Phase != Ended {
			t.setWaiting(e, false)
		}
		t.promises[0].entry.promised = false
		t.promises = t.promises[1:]
	}
	for {
		key, e, ok := t.flows.GetOldest()
		if !ok {
			return
		}
		limit := idle
		if e.Phase == Ended {
			limit = min(idle, lingerTime)
		}
		if now.Sub(e.seen) < limit {
			return
		}
		t.flows.Remove(key)
	}
}
