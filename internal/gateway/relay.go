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

// RelayPrefix is the prefix of the paths of relayed requests at a peer.
const RelayPrefix = "/almondledge/relay"

// loadBuckets is the number of levels in which the loads of peers are compared. Within a level the
// choice is random, so that agents do not all select the same peer.
const loadBuckets = 8

// peers returns the other agents of the active service that accept new requests.
func (g *Gateway) peers() []member.Member {
	return g.peersOfService(g.cfg.Spec().ID)
}

func (g *Gateway) peersOfService(id service.ID) []member.Member {
	return slices.DeleteFunc(slices.Clone(g.cfg.Peers()), func(m member.Member) bool {
		return m.Kind != member.Agent || m.Service != id || m.Addr == g.cfg.Addr || !m.State.TakesNewFlows()
	})
}

// candidates returns the peers to try for one request, the least loaded first. A peer in another
// data centre ranks one load level worse.
func (g *Gateway) candidates(id service.ID) []member.Member {
	type ranked struct {
		peer member.Member
		rank float64
	}
	var all []ranked
	for _, peer := range g.peersOfService(id) {
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

// findPeer returns the agent of the service at addr, in any state.
func (g *Gateway) findPeer(addr netip.AddrPort) (member.Member, bool) {
	id := g.cfg.Spec().ID
	for _, m := range g.cfg.Peers() {
		if m.Addr == addr && m.Kind == member.Agent && m.Service == id {
			return m, true
		}
	}
	return member.Member{}, false
}

// relay sends the request to a peer. If the epoch of the peer was unknown, it sends the request
// again with a grant that names the epoch.
func (x *exchange) relay(a request.Action) request.Event {
	peer := x.peers[a.Peer]
	if a.Resend {
		x.g.counters.resends.Inc()
	} else {
		x.g.counters.relays.Inc()
		x.newGrant(peer)
	}
	event, needsGrant := x.sendToPeer(a, peer)
	if needsGrant {
		x.newGrant(peer)
		event, _ = x.sendToPeer(a, peer)
	}
	if a.FreeSlotOnly {
		x.recordSlotQuery(event)
	}
	event.Attempt = a.Attempt
	return event
}

// newGrant creates the grant for one attempt. Repeatable requests need no grant. Forwarded requests
// need none either, because the holder of the key's record decides whether they run.
func (x *exchange) newGrant(peer member.Member) {
	if x.repeatable || x.forwarded {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.grant = x.g.shared.records.Grant(peer.Addr)
}

// sendToPeer sends one relayed request. It sets needsGrant if the peer did not run the request
// because the grant named no epoch of the peer. The peer's answer carries its epoch in that case.
func (x *exchange) sendToPeer(a request.Action, peer member.Member) (event request.Event, needsGrant bool) {
	base, err := url.Parse(x.g.cfg.PeerURL(peer))
	if err != nil || x.ctx.Err() != nil || x.remaining() <= hopAllowance {
		return request.Event{Kind: request.PeerUnreached}, false
	}
	base.Path += RelayPrefix
	body := x.relayBody()
	out := x.outgoingRequest(x.ctx, base, body)
	x.setRelayFields(out.Header)
	if a.FreeSlotOnly {
		out.Header.Set(relayFreeSlotField, "1")
	}
	response, err := x.g.cfg.Relay.RoundTrip(out) //nolint:bodyclose // dropAnswer closes it.
	if err != nil {
		x.body.closeAttempt(body)
		return x.relayError(err), false
	}
	x.answer = &answer{response: response, body: body}
	x.saveEpoch(peer, response)
	event = x.readOutcome(a, response)
	if event.Kind == request.AnswerStarted || x.isRecordHolderProblem(event) {
		return event, false
	}
	needsGrant = response.Header.Get(relayEpochMissingField) != "" && x.grant.Executor == (idempotency.Epoch{})
	x.dropAnswer()
	return event, needsGrant
}

// isRecordHolderProblem reports whether e is a reply of the holder of the key's record that is forwarded
// to the caller unchanged.
func (x *exchange) isRecordHolderProblem(e request.Event) bool {
	return x.forwarded && (e.Kind == request.PeerRefused || e.Kind == request.PeerOutcomeUnknown)
}

// relayBody returns the body of one relayed request. It is empty if the grant names no epoch,
// because a peer does not run requests with such a grant.
func (x *exchange) relayBody() *attemptBody {
	if !x.repeatable && !x.forwarded && x.grant.Executor == (idempotency.Epoch{}) {
		return &attemptBody{}
	}
	return x.body.open()
}

// relayError returns the event for an attempt at a peer that failed with err.
func (x *exchange) relayError(err error) request.Event {
	switch {
	case provesNotSent(err):
		return request.Event{Kind: request.PeerUnreached}
	case x.ctx.Err() != nil:
		return x.contextEvent()
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
	case x.forwarded:
		h.Set(relayKeyField, x.keyText)
	case !x.repeatable:
		h.Set(relayGrantField, x.grant.String())
	}
}

// readOutcome returns the event for the head of a peer's answer.
func (x *exchange) readOutcome(a request.Action, response *http.Response) request.Event {
	switch Outcome(response.Header.Get(OutcomeField)) {
	case OutcomeRun:
		return x.answerStarted()
	case OutcomeNotRun:
		if !x.isAuthoritative(response) {
			return request.Event{Kind: request.PeerUnreached}
		}
		wait, _ := parseMillis(response.Header.Get(relayRetryMsField))
		return request.Event{
			Kind:       request.PeerRefused,
			RetryAfter: wait,
			Overloaded: response.Header.Get(relayOverloadedField) != "",
		}
	case OutcomeUnknown:
		return request.Event{Kind: request.PeerOutcomeUnknown}
	case OutcomeInProgress:
		if x.forwarded && !a.Resend {
			return x.answerStarted()
		}
		return request.Event{Kind: request.PeerAnswerLost}
	default:
		// The answer does not come from an agent. Its sender, such as a proxy, may have forwarded
		// the request.
		return request.Event{Kind: request.PeerAnswerLost}
	}
}

// isAuthoritative reports whether a refusal comes from the incarnation that the key or the grant
// names, or from the closed ledger of that incarnation. A refusal by another incarnation only shows
// that this attempt did not run.
func (x *exchange) isAuthoritative(response *http.Response) bool {
	if x.forwarded && response.Header.Get(relayLedgerField) == strconv.FormatUint(x.key.Incarnation, 10) {
		return true
	}
	epoch, err := idempotency.ParseEpoch(response.Header.Get(relayEpochField))
	switch {
	case x.repeatable:
		return true
	case err != nil:
		return false
	case x.forwarded:
		return epoch.Incarnation == x.key.Incarnation
	default:
		return epoch.Incarnation == x.grant.Executor.Incarnation
	}
}

// answerStarted stops the deadline timer, because the deadline applies to the start of the answer
// only.
func (x *exchange) answerStarted() request.Event {
	if !x.timer.Stop() {
		return request.Event{Kind: request.DeadlinePassed}
	}
	return request.Event{Kind: request.AnswerStarted}
}

// saveEpoch stores the epoch that a peer's answer carries.
func (x *exchange) saveEpoch(peer member.Member, response *http.Response) {
	epoch, err := idempotency.ParseEpoch(response.Header.Get(relayEpochField))
	if err != nil {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.shared.records.SetPeerEpoch(peer.Addr, epoch)
}
