package gateway

import (
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/request"
	"github.com/almondledge/almondledge/internal/service"
)

// RelayPrefix precedes the path of relayed requests at a peer.
const RelayPrefix = "/almondledge/relay"

// loadBuckets is the number of steps in which the load of peers is compared;
// within a step the choice is random, so that agents do not all pick one peer.
const loadBuckets = 8

// peers returns the other agents of the service that take new work.
func (g *Gateway) peers() []member.Member {
	return g.peersOf(g.cfg.Spec().ID)
}

func (g *Gateway) peersOf(id service.ID) []member.Member {
	return slices.DeleteFunc(slices.Clone(g.cfg.Peers()), func(m member.Member) bool {
		return m.Kind != member.Agent || m.Service != id || m.Addr == g.cfg.Addr || !m.State.TakesNewFlows()
	})
}

// candidates returns the peers to try for one request, the best first.
func (g *Gateway) candidates(id service.ID) []member.Member {
	type ranked struct {
		peer member.Member
		rank float64
	}
	var all []ranked
	for _, peer := range g.peersOf(id) {
		rank := float64(int(peer.Load)*loadBuckets/256) + g.cfg.Rand()
		if peer.DataCentre != g.cfg.DataCentre {
			rank++
		}
		all = append(all, ranked{peer: peer, rank: rank})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	var best []member.Member
	for _, r := range all[:min(len(all), maxPeers)] {
		best = append(best, r.peer)
	}
	return best
}

// findPeer returns the agent of the service at addr, whatever its state.
func (g *Gateway) findPeer(addr netip.AddrPort) (member.Member, bool) {
	id := g.cfg.Spec().ID
	for _, m := range g.cfg.Peers() {
		if m.Addr == addr && m.Kind == member.Agent && m.Service == id {
			return m, true
		}
	}
	return member.Member{}, false
}

// relay sends the request to a peer.
func (x *exchange) relay(a request.Action) request.Event {
	peer := x.peers[a.Peer]
	if a.Resend {
		x.g.counters.reasks.Inc()
	} else {
		x.g.counters.relays.Inc()
		x.newGrant(peer)
	}
	event, again := x.ask(a, peer)
	if again {
		x.newGrant(peer)
		event, _ = x.ask(a, peer)
	}
	if a.FreeSlotOnly {
		x.noteAsk(event)
	}
	event.Attempt = a.Attempt
	return event
}

// newGrant makes the grant of one attempt, if the request needs one: peers run
// a repeatable request without, and the granting agent of a key by the key.
func (x *exchange) newGrant(peer member.Member) {
	if x.repeatable || x.forward {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.grant = x.g.shared.records.Grant(peer.Addr)
}

// ask sends one relayed request. It reports as again that nothing ran because
// the grant named no life of the peer, and that a new grant can name it now.
func (x *exchange) ask(a request.Action, peer member.Member) (event request.Event, again bool) {
	base, err := url.Parse(x.g.cfg.PeerURL(peer))
	if err != nil || x.ctx.Err() != nil || x.remaining() <= hopAllowance {
		return request.Event{Kind: request.PeerUnreached}, false
	}
	base.Path += RelayPrefix
	body := x.relayBody()
	out := x.outgoing(x.ctx, base, body)
	x.setRelayFields(out.Header)
	if a.FreeSlotOnly {
		out.Header.Set(relayFreeSlotField, "1")
	}
	response, err := x.g.cfg.Relay.RoundTrip(out) //nolint:bodyclose // dropAnswer closes it.
	if err != nil {
		x.body.end(body)
		return x.relayFailed(err), false
	}
	x.answer = &answer{response: response, body: body}
	x.learnLife(peer, response)
	event = x.readOutcome(a, response)
	if event.Kind == request.AnswerStarted || x.isGranterProblem(event) {
		return event, false
	}
	again = response.Header.Get(relayLifeMissingField) != "" && x.grant.Executor == (idempotency.Epoch{})
	x.dropAnswer()
	return event, again
}

// isGranterProblem reports whether e is the word of the key's granting agent
// that the caller gets as it is.
func (x *exchange) isGranterProblem(e request.Event) bool {
	return x.forward && (e.Kind == request.PeerRefused || e.Kind == request.PeerOutcomeUnknown)
}

// relayBody returns the body of one relayed request. A grant that only asks
// for the peer's process life carries none, because nothing runs under it.
func (x *exchange) relayBody() *attemptBody {
	if !x.repeatable && !x.forward && x.grant.Executor == (idempotency.Epoch{}) {
		return &attemptBody{}
	}
	return x.body.open()
}

func (x *exchange) relayFailed(err error) request.Event {
	switch {
	case notSent(err):
		return request.Event{Kind: request.PeerUnreached}
	case x.ctx.Err() != nil:
		return x.ended()
	default:
		return request.Event{Kind: request.PeerAnswerLost}
	}
}

func (x *exchange) setRelayFields(h http.Header) {
	h.Set(relayServiceField, strconv.Itoa(int(x.spec.ID)))
	h.Set(relayHopsField, strconv.Itoa(x.hops+1))
	h.Set(relayCallerField, x.caller.String())
	h.Set(DeadlineField, formatMillis(x.remaining()-hopAllowance))
	switch {
	case x.forward:
		h.Set(relayKeyField, x.keyText)
	case !x.repeatable:
		h.Set(relayGrantField, x.grant.String())
	}
}

// readOutcome turns the head of a peer's answer into an event.
func (x *exchange) readOutcome(a request.Action, response *http.Response) request.Event {
	switch Outcome(response.Header.Get(OutcomeField)) {
	case OutcomeRun:
		return x.answerStarted()
	case OutcomeNotRun:
		if !x.knowsRequest(response) {
			return request.Event{Kind: request.PeerUnreached}
		}
		wait, _ := parseMillis(response.Header.Get(relayRetryMsField))
		return request.Event{
			Kind:       request.PeerRefused,
			RetryAfter: wait,
			Overloaded: response.Header.Get(relayOverloadField) != "",
		}
	case OutcomeUnknown:
		return request.Event{Kind: request.PeerOutcomeUnknown}
	case OutcomeInProgress:
		if x.forward && !a.Resend {
			return x.answerStarted()
		}
		return request.Event{Kind: request.PeerAnswerLost}
	default:
		// Something that is no agent answered; it may have passed the request on.
		return request.Event{Kind: request.PeerAnswerLost}
	}
}

// knowsRequest reports whether a refusal comes from the process life that the
// key or the grant names, or from the closed ledger of that life. Another one
// can only tell that this ask did not run.
func (x *exchange) knowsRequest(response *http.Response) bool {
	if x.forward && response.Header.Get(relayLedgerField) == strconv.FormatUint(x.key.Incarnation, 10) {
		return true
	}
	life, err := idempotency.ParseEpoch(response.Header.Get(relayLifeField))
	switch {
	case x.repeatable:
		return true
	case err != nil:
		return false
	case x.forward:
		return life.Incarnation == x.key.Incarnation
	default:
		return life.Incarnation == x.grant.Executor.Incarnation
	}
}

// answerStarted stops the clock: the deadline bounds the start of the answer.
func (x *exchange) answerStarted() request.Event {
	if !x.timer.Stop() {
		return request.Event{Kind: request.DeadlinePassed}
	}
	return request.Event{Kind: request.AnswerStarted}
}

// learnLife notes the life that a peer tells in its answer.
func (x *exchange) learnLife(peer member.Member, response *http.Response) {
	life, err := idempotency.ParseEpoch(response.Header.Get(relayLifeField))
	if err != nil {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.SetPeerEpoch(peer.Addr, life)
}
