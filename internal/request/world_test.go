package request

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/retry"
)

// The world wires the pure objects of several agents by a list of messages
// that rapid delivers in any order, doubles or loses.

const worldService = 7

type messageKind uint8

const (
	askMessage    messageKind = iota // a caller or an agent asks an agent
	replyMessage                     // an agent answers an agent
	runMessage                       // an agent sends a request to its backend server
	ranMessage                       // the backend server answers
	actionMessage                    // an agent does what its machine decided
)

// content is what a caller wants: the unit that must run at most once.
type content struct {
	id         string
	body       byte
	key        *idempotency.Key
	repeatable bool
}

func (c content) name() string { return fmt.Sprintf("%s/%d", c.id, c.body) }

// part is a piece of an answer: its head, its end or a cut.
type part uint8

const (
	head part = iota
	end
	cut
)

type message struct {
	kind     messageKind
	agent    int // the agent that gets it
	wire     int // identifies one ask and its answers
	stream   int // identifies the answer to one delivery of an ask, as an HTTP stream does
	from     int // the agent that asks, or -1 for a caller
	content  content
	grant    *idempotency.Grant
	hops     int
	expired  bool
	told     told
	life     idempotency.Epoch
	exchange *simExchange
	action   Action
	run      string
	part     part
}

// told is what an answer says of a request.
type told string

const (
	toldRun         told = "run"
	toldNotRun      told = "not-run"
	toldUnknown     told = "unknown"
	toldInProgress  told = "in-progress"
	toldLifeMissing told = "life-missing"
)

type simAgent struct {
	index    int
	addr     netip.AddrPort
	life     uint64
	counter  uint64
	records  *Records
	budget   *retry.Budget
	draining bool
	byWire   map[int]*simExchange
	open     []*simExchange
}

type simExchange struct {
	agent   *simAgent
	ask     message
	subject RecordID
	machine *Machine
	forward bool
	peers   []int
	attempt int
	wire    int
	asked   int // the attempt that wire belongs to
	stream  int // of the answer that this exchange gives
	heard   int // the stream of the answer that it passes on
	grant   idempotency.Grant
	run     string // the run whose answer is passed on
	endRun  string // the run whose end arrived last
	heads   int
	done    bool
}

type world struct {
	t       *rapid.T
	now     time.Time
	agents  []*simAgent
	list    []message
	lives   uint64
	wires   int
	streams int
	keys    []content
	runs    map[string]int
	notRun  map[string]bool
	asked   []content
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0),
		runs: make(map[string]int), notRun: make(map[string]bool),
	}
	for i := range 3 {
		a := &simAgent{index: i, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9)}
		w.agents = append(w.agents, a)
		w.restart(a)
	}
	return w
}

func (w *world) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, label) < percent
}

func (w *world) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

// restart gives an agent a new process life; what it held is gone.
func (w *world) restart(a *simAgent) {
	w.lives++
	for _, x := range a.open {
		x.done = true
	}
	a.life = w.lives
	a.records = NewRecords(a.addr, a.life)
	a.budget = retry.NewBudget(0.5)
	a.byWire = make(map[int]*simExchange)
	a.open = nil
	a.draining = false
}

// newAsk makes a caller send a new request, or an old one once more elsewhere.
func (w *world) newAsk() {
	var c content
	switch w.pick("request", 4) {
	case 0:
		c = content{id: fmt.Sprintf("repeatable-%d", w.wires), repeatable: true}
	case 1:
		c = content{id: fmt.Sprintf("unkeyed-%d", w.wires)}
	case 2:
		a := w.agents[w.pick("issuer", len(w.agents))]
		a.counter++
		key := idempotency.Key{Granter: a.addr, Incarnation: a.life, Service: worldService, Counter: a.counter, Issued: w.now}
		c = content{id: fmt.Sprintf("key-%d-%d-%d", a.index, a.life, a.counter), key: &key}
		w.keys = append(w.keys, c)
	default:
		if len(w.keys) == 0 {
			return
		}
		c = w.keys[w.pick("old key", len(w.keys))]
		c.body = byte(w.pick("body", 4) / 3)
	}
	w.wires++
	w.asked = append(w.asked, c)
	w.list = append(w.list, message{
		kind: askMessage, agent: w.pick("agent", len(w.agents)), wire: w.wires, from: -1,
		content: c, expired: w.chance("expired", 5),
	})
}

// deliver delivers, doubles or loses one message.
func (w *world) deliver(faults bool) {
	if len(w.list) == 0 {
		return
	}
	i := w.pick("message", len(w.list))
	m := w.list[i]
	// HTTP delivers a request once; those with a record must stand more than that.
	doubles := m.kind == replyMessage || m.kind == askMessage && (m.grant != nil || m.content.key != nil)
	if faults && doubles && w.chance("double", 15) {
		w.handle(m)
		return
	}
	w.list = append(w.list[:i], w.list[i+1:]...)
	if faults && m.kind != actionMessage && w.chance("lose", 10) {
		return
	}
	w.handle(m)
}

func (w *world) handle(m message) {
	a := w.agents[m.agent]
	switch m.kind {
	case askMessage:
		w.arrive(a, m)
	case replyMessage:
		if x := a.byWire[m.wire]; x != nil && x.wire == m.wire {
			w.replied(x, m)
		}
	case runMessage:
		w.runBackend(m)
	case ranMessage:
		w.ran(m)
	case actionMessage:
		if !m.exchange.done {
			w.perform(m.exchange, m.action)
		}
	}
}

// arrive is the glue of the gateway's serveCaller, serveKeyed and servePeer.
func (w *world) arrive(a *simAgent, m message) {
	w.streams++
	x := &simExchange{agent: a, ask: m, stream: w.streams}
	switch {
	case m.grant != nil:
		x.subject = RecordID{Kind: ByGrant, Grant: *m.grant}
	case m.content.key != nil:
		x.subject = RecordID{Kind: ByKey, Key: *m.content.key}
	}
	decision := a.records.Begin(w.now, x.subject, idempotency.Fingerprint{m.content.body})
	switch decision.Verdict {
	case idempotency.Run:
	case idempotency.NotGranter:
		w.forward(x)
		return
	case idempotency.Replay:
		x.run = string(decision.Outcome.Body)
		if !decision.Outcome.Whole {
			// The gateway says that it ran and that its answer was not kept.
			x.run = m.content.name() + "#-"
		}
		w.tell(x, toldRun, head)
		w.tell(x, toldRun, end)
		return
	case idempotency.InProgress:
		w.tell(x, toldInProgress, end)
		return
	case idempotency.EpochMissing:
		w.tell(x, toldLifeMissing, end)
		return
	case idempotency.KeyReused, idempotency.RefusedBefore, idempotency.Full:
		w.tell(x, toldNotRun, end)
		return
	default:
		w.tell(x, toldUnknown, end)
		return
	}
	if m.expired {
		a.records.Refuse(w.now, x.subject)
		w.tell(x, toldNotRun, end)
		return
	}
	w.start(x, w.route(x))
}

func (w *world) route(x *simExchange) Route {
	if x.ask.hops == 0 || x.ask.content.key != nil && x.ask.grant == nil {
		for i := range w.agents {
			if i != x.agent.index {
				x.peers = append(x.peers, i)
			}
		}
	}
	route := Route{
		Repeatable: x.ask.content.repeatable, Local: true, PeersFirst: x.agent.draining, Draining: x.agent.draining,
		Peers: len(x.peers), Deadline: w.now.Add(5 * time.Second),
	}
	if !route.Repeatable {
		route.MaxResends = 2
	}
	return route
}

func (w *world) forward(x *simExchange) {
	if x.ask.hops > 0 {
		w.tell(x, toldUnknown, end)
		return
	}
	x.forward = true
	x.subject = RecordID{}
	for i, a := range w.agents {
		if a.addr == x.ask.content.key.Granter {
			x.peers = []int{i}
		}
	}
	w.start(x, Route{PeerHoldsRecord: true, Peers: 1, MaxResends: 2, Deadline: w.now.Add(5 * time.Second)})
}

func (w *world) start(x *simExchange, route Route) {
	x.agent.open = append(x.agent.open, x)
	x.agent.budget.CountRequest(w.now)
	machine, action := New(route, x.agent.budget)
	x.machine = machine
	w.plan(x, action)
}

func (w *world) event(x *simExchange, e Event) {
	if !x.done {
		w.plan(x, x.machine.Handle(w.now, e))
	}
}

// plan lets time and other messages pass before an action that need not be at once.
func (w *world) plan(x *simExchange, a Action) {
	switch a.Kind {
	case None:
	case Admit, Dispatch, Relay:
		w.list = append(w.list, message{kind: actionMessage, agent: x.agent.index, exchange: x, action: a})
	default:
		w.perform(x, a)
	}
}

func (w *world) perform(x *simExchange, a Action) {
	records := x.agent.records
	switch a.Kind {
	case Admit:
		if w.chance("refused", 25) {
			w.event(x, Event{Kind: Refused, Overloaded: true})
			return
		}
		w.event(x, Event{Kind: Admitted})
	case Dispatch:
		x.attempt = a.Attempt
		if w.chance("backend unreached", 15) {
			w.event(x, Event{Kind: BackendUnreached, Attempt: a.Attempt})
			return
		}
		w.list = append(w.list, message{kind: runMessage, agent: x.agent.index, exchange: x, action: a, content: x.ask.content})
	case Relay:
		x.attempt = a.Attempt
		if w.chance("peer unreached", 25) {
			w.event(x, Event{Kind: PeerUnreached, Attempt: a.Attempt})
			return
		}
		if !a.Resend && !x.forward && !x.ask.content.repeatable {
			x.grant = records.Grant(w.agents[x.peers[a.Peer]].addr)
		}
		w.sendAsk(x, x.peers[a.Peer])
	case ForwardAnswer:
		x.heads++
		if x.heads > 1 {
			w.t.Fatalf("%s: an answer has two heads", x.ask.content.name())
		}
		w.tell(x, toldRun, head)
	case ReplyNotRun:
		records.Refuse(w.now, x.subject)
		w.finish(x, toldNotRun, end)
	case ReplyUnknown:
		records.MarkUnknown(w.now, x.subject)
		w.finish(x, toldUnknown, end)
	case Finish:
		if x.endRun != x.run {
			w.t.Fatalf("an answer starts as %s and ends as %s", x.run, x.endRun)
		}
		records.Finish(w.now, x.subject, idempotency.Outcome{Status: 200, Body: []byte(x.run), Whole: true})
		w.finish(x, toldRun, end)
	case Abort:
		records.Finish(w.now, x.subject, idempotency.Outcome{Status: 200})
		w.finish(x, toldRun, cut)
	}
}

func (w *world) sendAsk(x *simExchange, peer int) {
	w.wires++
	x.wire = w.wires
	x.asked = x.attempt
	x.agent.byWire[x.wire] = x
	m := message{
		kind: askMessage, agent: peer, wire: x.wire, from: x.agent.index, content: x.ask.content,
		hops: x.ask.hops + 1, expired: w.chance("expired", 5),
	}
	if !x.forward && !x.ask.content.repeatable {
		grant := x.grant
		m.grant = &grant
	}
	w.list = append(w.list, m)
}

// replied is the glue of the gateway's ask and readOutcome.
func (w *world) replied(x *simExchange, m message) {
	if x.heads > 0 && m.stream != x.heard {
		return
	}
	e := Event{Attempt: x.asked}
	peer := w.agents[m.from]
	x.agent.records.SetPeerEpoch(peer.addr, m.life)
	switch {
	case m.told == toldRun && m.part == head:
		w.headArrived(x, m)
		e.Kind = AnswerStarted
	case m.told == toldRun && m.part == end:
		x.endRun = m.run
		e.Kind = AnswerEnded
	case m.told == toldRun:
		e.Kind = AnswerTruncated
	case m.told == toldLifeMissing:
		// Nothing ran under a grant without a life, so another one may be given.
		x.grant = x.agent.records.Grant(peer.addr)
		w.sendAsk(x, m.from)
		return
	case m.told == toldNotRun:
		e.Kind = PeerRefused
	case m.told == toldUnknown:
		e.Kind = PeerOutcomeUnknown
	default:
		e.Kind = PeerAnswerLost
	}
	w.event(x, e)
}

func (w *world) headArrived(x *simExchange, m message) {
	if x.heads == 0 {
		x.run = m.run
		x.heard = m.stream
	}
}

// runBackend runs a request; its agent may have given up or be gone by now.
func (w *world) runBackend(m message) {
	run := fmt.Sprintf("%s#%d", m.content.name(), w.runs[m.content.name()])
	w.runs[m.content.name()]++
	m.kind = ranMessage
	m.run = run
	m.part = head
	w.list = append(w.list, m)
	m.part = end
	if w.chance("answer cut", 10) {
		m.part = cut
	}
	w.list = append(w.list, m)
}

func (w *world) ran(m message) {
	kinds := map[part]EventKind{head: AnswerStarted, end: AnswerEnded, cut: AnswerTruncated}
	switch {
	case m.part == head && m.action.Attempt == m.exchange.attempt:
		w.headArrived(m.exchange, m)
	case m.part == end:
		m.exchange.endRun = m.run
	}
	w.event(m.exchange, Event{Kind: kinds[m.part], Attempt: m.action.Attempt})
}

// breakOff lets a connection break, a deadline pass or a caller cancel.
func (w *world) breakOff() {
	var open []*simExchange
	for _, a := range w.agents {
		a.open = slices.DeleteFunc(a.open, func(x *simExchange) bool { return x.done })
		open = append(open, a.open...)
	}
	if len(open) == 0 {
		return
	}
	x := open[w.pick("exchange", len(open))]
	kinds := []EventKind{PeerAnswerLost, BackendFailed, DeadlinePassed, CallerCancelled}
	w.event(x, Event{Kind: kinds[w.pick("break", len(kinds))], Attempt: x.attempt})
}

func (w *world) finish(x *simExchange, told told, p part) {
	x.done = true
	w.tell(x, told, p)
}

// tell answers the caller or the asking agent.
func (w *world) tell(x *simExchange, told told, p part) {
	if x.ask.from < 0 {
		w.hear(x, told, p)
		return
	}
	w.list = append(w.list, message{
		kind: replyMessage, agent: x.ask.from, wire: x.ask.wire, from: x.agent.index,
		stream: x.stream, told: told, life: x.agent.records.Epoch(), run: x.run, part: p,
	})
}

// hear checks what a caller is told.
func (w *world) hear(x *simExchange, told told, p part) {
	name := x.ask.content.name()
	switch {
	case told == toldNotRun:
		w.notRun[name] = true
	case told == toldRun && p == head && !strings.HasPrefix(x.run, name+"#"):
		w.t.Fatalf("%s: got the answer of %q", name, x.run)
	case told == toldRun && p == end && x.run == "":
		w.t.Fatalf("%s: an answer ended without a head", name)
	}
}

// check verifies the promises.
func (w *world) check() {
	perKey := make(map[string]int)
	for _, c := range w.asked {
		name := c.name()
		if w.notRun[name] && w.runs[name] > 0 {
			w.t.Fatalf("%s: told not run, ran %d times", name, w.runs[name])
		}
		if !c.repeatable {
			perKey[c.id] = w.runs[c.id+"/0"] + w.runs[c.id+"/1"]
		}
	}
	for id, n := range perKey {
		if n > 1 {
			w.t.Fatalf("%s: ran %d times", id, n)
		}
	}
}
