package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/request"
)

// keyPath is the path at which callers request idempotency keys.
const keyPath = "/.well-known/almondledge/idempotency-key"

// serveKey serves a request for an idempotency key.
func (g *Gateway) serveKey(w http.ResponseWriter, r *http.Request) {
	spec := g.cfg.Spec()
	if r.Method != http.MethodPost || spec.ID == 0 {
		w.Header().Set("Allow", http.MethodPost)
		newProblem("method", http.StatusMethodNotAllowed, OutcomeNotRun, "No key issued", "use POST").write(w)
		return
	}
	key := g.freshKey(spec.ID)
	w.Header().Set(KeyField, key)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Type", "application/json")
	// The write fails if the caller has disconnected. An unused key needs no cleanup.
	_ = json.NewEncoder(w).Encode(issuedKey{Key: key})
}

// issuedKey is the body of the answer of keyPath.
type issuedKey struct {
	// Key is the value for the Idempotency-Key field.
	Key string `json:"idempotencyKey"`
}

// serveNonRepeatable serves a caller's request that must not run more than once.
func (x *exchange) serveNonRepeatable() {
	text := strings.Join(x.r.Header.Values(KeyField), ", ")
	if text == "" {
		x.serveWithoutKey()
		return
	}
	err := x.openKey(text)
	if errors.Is(err, idempotency.ErrMalformed) && !x.spec.Repeat.RequireKey {
		// This system did not issue the key, so the key concerns only the caller and the service.
		x.run(x.route())
		return
	}
	if err != nil {
		x.refuseKey(err)
		return
	}
	if x.readKeyedBody() {
		x.serveKeyed()
	}
}

func (x *exchange) serveWithoutKey() {
	if x.spec.Repeat.RequireKey {
		x.g.counters.keyRefused.Inc()
		x.writeProblem(newProblem("key-required", http.StatusPreconditionRequired, OutcomeNotRun,
			"The request needs an idempotency key", "send it again with the key of this answer's "+KeyField+" field"))
		return
	}
	x.run(x.route())
}

// openKey parses and checks the key of the request.
func (x *exchange) openKey(text string) error {
	key, err := x.g.cfg.Keys().Open(text)
	if err != nil {
		return err
	}
	if err := key.Check(x.g.cfg.Now(), x.spec.ID); err != nil {
		return err
	}
	x.key = &key
	x.keyText = text
	return nil
}

func (x *exchange) refuseKey(err error) {
	x.g.counters.keyRefused.Inc()
	switch {
	case errors.Is(err, idempotency.ErrExpired), errors.Is(err, idempotency.ErrUnknownVersion):
		x.writeProblem(unknownProblem(http.StatusConflict, err.Error()))
	case errors.Is(err, idempotency.ErrOtherService):
		x.writeProblem(newProblem("key-of-other-service", http.StatusUnprocessableEntity, OutcomeNotRun,
			"The key belongs to another service", err.Error()))
	default:
		x.writeProblem(newProblem("key-invalid", http.StatusPreconditionRequired, OutcomeNotRun,
			"The idempotency key is not valid", err.Error()))
	}
}

// readKeyedBody buffers the body, which is needed for the fingerprint and for resends to the
// granter. If that fails, it replies with a problem and returns false.
func (x *exchange) readKeyedBody() bool {
	control := http.NewResponseController(x.w)
	// Not every server supports read deadlines; the request's deadline applies later in that case.
	_ = control.SetReadDeadline(time.Now().Add(x.remaining()))
	fits, err := x.body.buffer(maxKeyedBody)
	if err != nil {
		x.writeProblem(newProblem("body-incomplete", http.StatusRequestTimeout, x.refuseEarly(),
			"The request body did not arrive", "send the request again"))
		return false
	}
	if !fits {
		x.writeProblem(newProblem("body-too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun,
			"The request body is too large", "a request with an idempotency key has at most 1 MiB"))
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	x.fingerprint = fingerprint(x.r, x.body.buffered)
	return true
}

// refuseEarly refuses the key of a request that is refused before its record was begun, and returns
// the outcome to report. If an earlier copy of the request may have run, the outcome is unknown and
// the key stays as it is. Otherwise a valid key is refused permanently, so that no later copy can
// run.
func (x *exchange) refuseEarly() Outcome {
	if x.repeatable {
		return OutcomeNotRun
	}
	if x.key == nil && x.openKey(strings.Join(x.r.Header.Values(KeyField), ", ")) != nil {
		return OutcomeNotRun
	}
	now := x.g.cfg.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.g.shared.records.RefuseUnlessBegun(now, *x.key) {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// serveKeyed serves a request with a valid key: locally if this agent issued the key, and otherwise
// by forwarding it to the granter.
func (x *exchange) serveKeyed() {
	decision := x.beginRecord(request.RecordID{Kind: request.ByKey, Key: *x.key})
	switch decision.Verdict {
	case idempotency.Run:
		x.runBegun()
	case idempotency.NotGranter:
		x.forwardToGranter()
	case idempotency.OutcomeUnknown:
		x.serveOutcomeUnknown(decision)
	default:
		x.replyVerdict(decision)
	}
}

// runBegun runs a request whose record, if it has one, was just begun.
func (x *exchange) runBegun() {
	if x.remaining() <= 0 {
		x.g.counters.relayExpired.Inc()
		x.replyNotRun(request.Action{Cause: request.CauseDeadline})
		return
	}
	x.run(x.route())
}

// forwardToGranter forwards a request to the agent that issued its key.
func (x *exchange) forwardToGranter() {
	granter, ok := x.g.findPeer(x.key.Granter)
	if !ok {
		// The granter may be draining, or not among the sampled peers. The stream address of an agent
		// equals the address in its keys.
		granter = member.Member{Kind: member.Agent, Addr: x.key.Granter, Stream: x.key.Granter, Service: x.spec.ID}
	}
	if x.hops > 0 {
		x.writeProblem(unknownProblem(http.StatusBadGateway,
			"the agent that granted the key is gone; check whether the request ran before you send it with a fresh key"))
		return
	}
	x.forwarded = true
	x.peers = append(x.peers, granter)
	x.run(request.Route{PeerHoldsRecord: true, Peers: 1, MaxResends: maxResends, Deadline: x.deadline})
}

// serveOutcomeUnknown serves a request whose outcome this agent does not know. If an earlier
// incarnation at this address issued the key, a peer may hold that incarnation's closed ledger.
func (x *exchange) serveOutcomeUnknown(d idempotency.Decision) {
	earlierIncarnation := x.key.Granter == x.g.cfg.Addr && x.key.Incarnation != x.g.cfg.Incarnation
	peers := x.g.candidates(x.spec.ID)
	if !earlierIncarnation || x.hops > 0 || len(peers) == 0 {
		x.replyVerdict(d)
		return
	}
	x.forwarded = true
	x.peers = append(x.peers, peers[0])
	x.run(request.Route{PeerHoldsRecord: true, Peers: 1, MaxResends: maxResends, Deadline: x.deadline})
}

// replyVerdict replies to a request that must not run according to its record.
func (x *exchange) replyVerdict(d idempotency.Decision) {
	switch d.Verdict {
	case idempotency.Replay:
		x.replay(d.Outcome)
	case idempotency.InProgress:
		x.writeProblem(newProblem("in-progress", http.StatusConflict, OutcomeInProgress,
			"The same request is running", "send it again after the given wait, with the same key").after(defaultRetryAfter))
	case idempotency.KeyReused:
		x.writeProblem(newProblem("key-reused", http.StatusUnprocessableEntity, OutcomeNotRun,
			"The key was used for another request", "send this request with a fresh key"))
	case idempotency.RefusedBefore:
		if x.key != nil && x.key.Incarnation != x.g.cfg.Incarnation {
			// The verdict comes from the closed ledger of the incarnation that issued the key.
			x.w.Header().Set(relayLedgerField, strconv.FormatUint(x.key.Incarnation, 10))
		}
		x.writeProblem(newProblem("key-spent", http.StatusConflict, OutcomeNotRun,
			"The request was refused before dispatch", "it was not run and will not be; send it with a fresh key"))
	case idempotency.Full:
		x.writeProblem(x.notRunProblem(request.Action{Cause: request.CauseOverloaded}))
	case idempotency.EpochMissing:
		x.w.Header().Set(relayEpochMissingField, "1")
		x.writeProblem(newProblem("life-missing", http.StatusConflict, OutcomeNotRun,
			"The grant names no epoch of this agent", "send the request again with a grant for the epoch in "+relayEpochField))
	default:
		x.writeProblem(unknownProblem(http.StatusConflict,
			"a request with this key may have run; check before you send it with a fresh key"))
	}
}

// fingerprint returns a hash of the content of a request.
func fingerprint(r *http.Request, body []byte) idempotency.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI()} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write([]byte(part))
	}
	hash.Write(body)
	return idempotency.Fingerprint(hash.Sum(nil))
}
