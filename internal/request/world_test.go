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

// testService is the service of all keys.
const testService = 7

type messageKind uint8

const (
	requestMessage  messageKind = iota // from a caller or an agent to an agent
	replyMessage                       // from an agent to the agent that relayed the request
	dispatchMessage                    // from an agent to its backend server
	backendMessage                     // from a backend server to its agent
	actionMessage                      // an action of a request's machine, performed later
)

// content is what a caller requests: the unit that must run at most once.
type content struct {
	id         string
	body       byte
	key        *idempotency.Key
	repeatable bool
}

func (c content) name() string { return fmt.Sprintf("%s/%d", c.id, c.body) }

// part is a part of an answer: its head, its end or a truncation.
type part uint8

const (
	head part = iota
	end
	cut
)

type message struct {
	kind     messageKind
	agent    int // the receiving agent
	relayID  int // identifies one sent request and its answers
	streamID int // identifies the answer to one delivery of a request, like an HTTP stream
	from     int // the sending agent, or -1 for a caller
	content  content
	grant    *idempotency.Grant
	hops     int
	expired  bool
	result   result
	epoch    idempotency.Epoch
	exchange *simExchange
	action   Action
	run      string
	part     part
}

// result is the outcome of a request as an answer reports it.
type result string

const (
	resultRun          result = "run"
	resultNotRun       result = "not-run"
	resultUnknown      result = "unknown"
	resultInProgress   result = "in-progress"
	resultEpochMissing result = "life-missing"
)

type simAgent struct {
	index       int
	addr        netip.AddrPort
	incarnation uint64
	counter     uint64
	records     *Records
	budget      *retry.Budget
	draining    bool
	byRelayID   map[int]*simExchange
	open        []*simExchange
}

type simExchange struct {
	agent          *simAgent
	request        message
	record         RecordID
	machine        *Machine
	forwarded      bool
	peers          []int
	attempt        int
	relayID        int
	relayAttempt   int // the attempt that relayID belongs to
	streamID       int // the stream of the answer that this exchange sends
	sourceStreamID int // the stream of the answer that this exchange forwards
	grant          idempotency.Grant
	run            string // the run whose answer is forwarded
	endRun         string // the run whose end arrived last
	heads          int
	done           bool
}

// simulation connects the records and machines of several agents. It holds a list of messages that
// rapid delivers in any order, duplicates or loses.
type simulation struct {
	t            *rapid.T
	now          time.Time
	agents       []*simAgent
	messages     []message
	incarnations uint64
	relayIDs     int
	streamIDs    int
	keys         []content
	runs         map[string]int
	notRun       map[string]bool
	sent         []content
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
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

func (w *simulation) drawChance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.t, label) < percent
}

func (w *simulation) drawIndex(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(w.t, label)
}

// restart gives an agent a new incarnation without any state of the earlier incarnation.
func (w *simulation) restart(a *simAgent) {
	w.incarnations++
	for _, x := range a.open {
		x.done = true
	}
	a.incarnation = w.incarnations
	a.records = NewRecords(a.addr, a.incarnation)
	a.budget = retry.NewBudget(0.5)
	a.byRelayID = make(map[int]*simExchange)
	a.open = nil
	a.draining = false
}

// newRequest sends a request with a new or an already used key, or without a key, to a random
// agent.
func (w *simulation) newRequest() {
	var c content
	switch w.drawIndex("request", 4) {
	case 0:
		c = content{id: fmt.Sprintf("repeatable-%d", w.relayIDs), repeatable: true}
	case 1:
		c = content{id: fmt.Sprintf("unkeyed-%d", w.relayIDs)}
	case 2:
		a := w.agents[w.drawIndex("issuer", len(w.agents))]
		a.counter++
		key := idempotency.Key{Granter: a.addr, Incarnation: a.incarnation, Service: testService, Counter: a.counter, Issued: w.now}
		c = content{id: fmt.Sprintf("key-%d-%d-%d", a.index, a.incarnation, a.counter), key: &key}
		w.keys = append(w.keys, c)
	default:
		if len(w.keys) == 0 {
			return
		}
		c = w.keys[w.drawIndex("old key", len(w.keys))]
		c.body = byte(w.drawIndex("body", 4) / 3)
	}
	w.relayIDs++
	w.sent = append(w.sent, c)
	w.messages = append(w.messages, message{
		kind: requestMessage, agent: w.drawIndex("agent", len(w.agents)), relayID: w.relayIDs, from: -1,
		content: c, expired: w.drawChance("expired", 5),
	})
}

// deliver delivers one message. With faults it may instead duplicate or lose the message.
func (w *simulation) deliver(faults bool) {
	if len(w.messages) == 0 {
		return
	}
	i := w.drawIndex("message", len(w.messages))
	m := w.messages[i]
	// HTTP does not duplicate a request, so only requests with a record are duplicated: they must
	// tolerate it.
	mayDuplicate := m.kind == replyMessage || m.kind == requestMessage && (m.grant != nil || m.content.key != nil)
	if faults && mayDuplicate && w.drawChance("double", 15) {
		w.handle(m)
		return
	}
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	if faults && m.kind != actionMessage && w.drawChance("lose", 10) {
		return
	}
	w.handle(m)
}

func (w *simulation) handle(m message) {
	a := w.agents[m.agent]
	switch m.kind {
	case requestMessage:
		w.receive(a, m)
	case replyMessage:
		if x := a.byRelayID[m.relayID]; x != nil && x.relayID == m.relayID {
			w.peerReplied(x, m)
		}
	case dispatchMessage:
		w.runBackend(m)
	case backendMessage:
		w.backendReplied(m)
	case actionMessage:
		if !m.exchange.done {
			w.perform(m.exchange, m.action)
		}
	}
}

// receive corresponds to serveCaller, serveKeyed and servePeer of package gateway.
func (w *simulation) receive(a *simAgent, m message) {
	w.streamIDs++
	x := &simExchange{agent: a, request: m, streamID: w.streamIDs}
	switch {
	case m.grant != nil:
		x.record = RecordID{Kind: ByGrant, Grant: *m.grant}
	case m.content.key != nil:
		x.record = RecordID{Kind: ByKey, Key: *m.content.key}
	}
	decision := a.records.Begin(w.now, x.record, idempotency.Fingerprint{m.content.body})
	switch decision.Verdict {
	case idempotency.Run:
	case idempotency.NotGranter:
		w.forward(x)
		return
	case idempotency.Replay:
		x.run = string(decision.Outcome.Body)
		if !decision.Outcome.Whole {
			// The gateway replies that the request ran and that its answer was not kept.
			x.run = m.content.name() + "#-"
		}
		w.reply(x, resultRun, head)
		w.reply(x, resultRun, end)
		return
	case idempotency.InProgress:
		w.reply(x, resultInProgress, end)
		return
	case idempotency.EpochMissing:
		w.reply(x, resultEpochMissing, end)
		return
	case idempotency.KeyReused, idempotency.RefusedBefore, idempotency.Full:
		w.reply(x, resultNotRun, end)
		return
	default:
		w.reply(x, resultUnknown, end)
		return
	}
	if m.expired {
		a.records.Refuse(w.now, x.record)
		w.reply(x, resultNotRun, end)
		return
	}
	w.start(x, w.route(x))
}

func (w *simulation) route(x *simExchange) Route {
	if x.request.hops == 0 || x.request.content.key != nil && x.request.grant == nil {
		for i := range w.agents {
			if i != x.agent.index {
				x.peers = append(x.peers, i)
			}
		}
	}
	route := Route{
		Repeatable: x.request.content.repeatable, Local: true, PeersFirst: x.agent.draining, Draining: x.agent.draining,
		Peers: len(x.peers), Deadline: w.now.Add(5 * time.Second),
	}
	if !route.Repeatable {
		route.MaxResends = 2
	}
	return route
}

func (w *simulation) forward(x *simExchange) {
	if x.request.hops > 0 {
		w.reply(x, resultUnknown, end)
		return
	}
	x.forwarded = true
	x.record = RecordID{}
	for i, a := range w.agents {
		if a.addr == x.request.content.key.Granter {
			x.peers = []int{i}
		}
	}
	w.start(x, Route{PeerHoldsRecord: true, Peers: 1, MaxResends: 2, Deadline: w.now.Add(5 * time.Second)})
}

func (w *simulation) start(x *simExchange, route Route) {
	x.agent.open = append(x.agent.open, x)
	x.agent.budget.CountRequest(w.now)
	machine, action := New(route, x.agent.budget)
	x.machine = machine
	w.schedule(x, action)
}

func (w *simulation) event(x *simExchange, e Event) {
	if !x.done {
		w.schedule(x, x.machine.Handle(w.now, e))
	}
}

// schedule queues an action that may be delayed, so that time can pass and other messages can
// arrive before it. Other actions are performed at once.
func (w *simulation) schedule(x *simExchange, a Action) {
	switch a.Kind {
	case None:
	case Admit, Dispatch, Relay:
		w.messages = append(w.messages, message{kind: actionMessage, agent: x.agent.index, exchange: x, action: a})
	default:
		w.perform(x, a)
	}
}

func (w *simulation) perform(x *simExchange, a Action) {
	records := x.agent.records
	switch a.Kind {
	case Admit:
		if w.drawChance("refused", 25) {
			w.event(x, Event{Kind: Refused, Overloaded: true})
			return
		}
		w.event(x, Event{Kind: Admitted})
	case Dispatch:
		x.attempt = a.Attempt
		if w.drawChance("backend unreached", 15) {
			w.event(x, Event{Kind: BackendUnreached, Attempt: a.Attempt})
			return
		}
		w.messages = append(w.messages, message{kind: dispatchMessage, agent: x.agent.index, exchange: x, action: a, content: x.request.content})
	case Relay:
		x.attempt = a.Attempt
		if w.drawChance("peer unreached", 25) {
			w.event(x, Event{Kind: PeerUnreached, Attempt: a.Attempt})
			return
		}
		if !a.Resend && !x.forwarded && !x.request.content.repeatable {
			x.grant = records.Grant(w.agents[x.peers[a.Peer]].addr)
		}
		w.sendToPeer(x, x.peers[a.Peer])
	case ForwardAnswer:
		x.heads++
		if x.heads > 1 {
			w.t.Fatalf("%s: an answer has two heads", x.request.content.name())
		}
		w.reply(x, resultRun, head)
	case ReplyNotRun:
		records.Refuse(w.now, x.record)
		w.finish(x, resultNotRun, end)
	case ReplyUnknown:
		records.MarkUnknown(w.now, x.record)
		w.finish(x, resultUnknown, end)
	case Finish:
		if x.endRun != x.run {
			w.t.Fatalf("an answer starts as %s and ends as %s", x.run, x.endRun)
		}
		records.Finish(w.now, x.record, idempotency.Outcome{Status: 200, Body: []byte(x.run), Whole: true})
		w.finish(x, resultRun, end)
	case Abort:
		records.Finish(w.now, x.record, idempotency.Outcome{Status: 200})
		w.finish(x, resultRun, cut)
	}
}

func (w *simulation) sendToPeer(x *simExchange, peer int) {
	w.relayIDs++
	x.relayID = w.relayIDs
	x.relayAttempt = x.attempt
	x.agent.byRelayID[x.relayID] = x
	m := message{
		kind: requestMessage, agent: peer, relayID: x.relayID, from: x.agent.index, content: x.request.content,
		hops: x.request.hops + 1, expired: w.drawChance("expired", 5),
	}
	if !x.forwarded && !x.request.content.repeatable {
		grant := x.grant
		m.grant = &grant
	}
	w.messages = append(w.messages, m)
}

// peerReplied corresponds to sendToPeer and readOutcome of package gateway.
func (w *simulation) peerReplied(x *simExchange, m message) {
	if x.heads > 0 && m.streamID != x.sourceStreamID {
		return
	}
	e := Event{Attempt: x.relayAttempt}
	peer := w.agents[m.from]
	x.agent.records.SetPeerEpoch(peer.addr, m.epoch)
	switch {
	case m.result == resultRun && m.part == head:
		w.headArrived(x, m)
		e.Kind = AnswerStarted
	case m.result == resultRun && m.part == end:
		x.endRun = m.run
		e.Kind = AnswerEnded
	case m.result == resultRun:
		e.Kind = AnswerTruncated
	case m.result == resultEpochMissing:
		// Nothing ran under a grant without an epoch, so a new grant may follow.
		x.grant = x.agent.records.Grant(peer.addr)
		w.sendToPeer(x, m.from)
		return
	case m.result == resultNotRun:
		e.Kind = PeerRefused
	case m.result == resultUnknown:
		e.Kind = PeerOutcomeUnknown
	default:
		e.Kind = PeerAnswerLost
	}
	w.event(x, e)
}

func (w *simulation) headArrived(x *simExchange, m message) {
	if x.heads == 0 {
		x.run = m.run
		x.sourceStreamID = m.streamID
	}
}

// runBackend runs a request, even if its agent has given up or restarted.
func (w *simulation) runBackend(m message) {
	run := fmt.Sprintf("%s#%d", m.content.name(), w.runs[m.content.name()])
	w.runs[m.content.name()]++
	m.kind = backendMessage
	m.run = run
	m.part = head
	w.messages = append(w.messages, m)
	m.part = end
	if w.drawChance("answer cut", 10) {
		m.part = cut
	}
	w.messages = append(w.messages, m)
}

func (w *simulation) backendReplied(m message) {
	kinds := map[part]EventKind{head: AnswerStarted, end: AnswerEnded, cut: AnswerTruncated}
	switch {
	case m.part == head && m.action.Attempt == m.exchange.attempt:
		w.headArrived(m.exchange, m)
	case m.part == end:
		m.exchange.endRun = m.run
	}
	w.event(m.exchange, Event{Kind: kinds[m.part], Attempt: m.action.Attempt})
}

// interrupt breaks a connection, lets a deadline pass or cancels a request.
func (w *simulation) interrupt() {
	var open []*simExchange
	for _, a := range w.agents {
		a.open = slices.DeleteFunc(a.open, func(x *simExchange) bool { return x.done })
		open = append(open, a.open...)
	}
	if len(open) == 0 {
		return
	}
	x := open[w.drawIndex("exchange", len(open))]
	kinds := []EventKind{PeerAnswerLost, BackendFailed, DeadlinePassed, CallerCancelled}
	w.event(x, Event{Kind: kinds[w.drawIndex("break", len(kinds))], Attempt: x.attempt})
}

func (w *simulation) finish(x *simExchange, outcome result, p part) {
	x.done = true
	w.reply(x, outcome, p)
}

// reply sends a result to the caller or to the agent that relayed the request.
func (w *simulation) reply(x *simExchange, outcome result, p part) {
	if x.request.from < 0 {
		w.checkReply(x, outcome, p)
		return
	}
	w.messages = append(w.messages, message{
		kind: replyMessage, agent: x.request.from, relayID: x.request.relayID, from: x.agent.index,
		streamID: x.streamID, result: outcome, epoch: x.agent.records.Epoch(), run: x.run, part: p,
	})
}

// checkReply checks an answer that a caller receives.
func (w *simulation) checkReply(x *simExchange, outcome result, p part) {
	name := x.request.content.name()
	switch {
	case outcome == resultNotRun:
		w.notRun[name] = true
	case outcome == resultRun && p == head && !strings.HasPrefix(x.run, name+"#"):
		w.t.Fatalf("%s: got the answer of %q", name, x.run)
	case outcome == resultRun && p == end && x.run == "":
		w.t.Fatalf("%s: an answer ended without a head", name)
	}
}

// check verifies the guarantees: at most one run of each non-repeatable request, and no run of a
// request reported as not run.
func (w *simulation) check() {
	perKey := make(map[string]int)
	for _, c := range w.sent {
		name := c.name()
		if w.notRun[name] && w.runs[name] > 0 {
			w.t.Fatalf("%s: reported as not run, but ran %d times", name, w.runs[name])
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
