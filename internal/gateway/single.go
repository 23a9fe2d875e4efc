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

// keyPath issues idempotency keys.
const keyPath = "/.well-known/almondledge/idempotency-key"

// serveKey answers a request for an idempotency key.
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
	// A failed write means that the caller is gone; an unused key costs nothing.
	_ = json.NewEncoder(w).Encode(issuedKey{Key: key})
}

// issuedKey is the body of the answer of keyPath.
type issuedKey struct {
	// Key is the value for the Idempotency-Key field.
	Key string `json:"idempotencyKey"`
}

// serveSingle serves a caller's request that must not run more than once.
func (x *exchange) serveSingle() {
	text := strings.Join(x.r.Header.Values(KeyField), ", ")
	if text == "" {
		x.serveWithoutKey()
		return
	}
	err := x.openKey(text)
	if errors.Is(err, idempotency.ErrMalformed) && !x.spec.Repeat.RequireKey {
		// A key of the caller's own making is between the caller and the service.
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
		x.writeProblem(unknownOutcome(http.StatusConflict, err.Error()))
	case errors.Is(err, idempotency.ErrOtherService):
		x.writeProblem(newProblem("key-of-other-service", http.StatusUnprocessableEntity, OutcomeNotRun,
			"The key belongs to another service", err.Error()))
	default:
		x.writeProblem(newProblem("key-invalid", http.StatusPreconditionRequired, OutcomeNotRun,
			"The idempotency key is not valid", err.Error()))
	}
}

// readKeyedBody buffers the body: the fingerprint needs it, and so does asking
// the granting agent again.
func (x *exchange) readKeyedBody() bool {
	control := http.NewResponseController(x.w)
	// Not every server can bound reads; the deadline then ends the request later.
	_ = control.SetReadDeadline(time.Now().Add(x.remaining()))
	fits, err := x.body.buffer(maxKeyedBody)
	if err != nil {
		x.writeProblem(newProblem("body-incomplete", http.StatusRequestTimeout, x.untouched(),
			"The request body did not arrive", "send the request again"))
		return false
	}
	if !fits {
		x.writeProblem(newProblem("body-too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun,
			"The request body is too large", "a request with an idempotency key has at most 1 MiB"))
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	x.print = fingerprint(x.r, x.body.buffered)
	return true
}

// untouched returns what may be said of a request that this agent refuses
// before it looked at the record of its key: an earlier copy may have run.
func (x *exchange) untouched() Outcome {
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

// serveKeyed serves a request with a valid key: here if this agent granted the
// key, else at the agent that did.
func (x *exchange) serveKeyed() {
	decision := x.begin(request.RecordID{Kind: request.ByKey, Key: *x.key})
	switch decision.Verdict {
	case idempotency.Run:
		x.runRecorded()
	case idempotency.NotGranter:
		x.serveForward()
	case idempotency.OutcomeUnknown:
		x.serveUnknown(decision)
	default:
		x.answerVerdict(decision)
	}
}

// runRecorded runs a request whose record was begun just now.
func (x *exchange) runRecorded() {
	if x.remaining() <= 0 {
		x.g.counters.relayExpired.Inc()
		x.refuse(request.Action{Cause: request.CauseDeadline})
		return
	}
	x.run(x.route())
}

// serveForward passes a request to the agent that granted its key.
func (x *exchange) serveForward() {
	granter, ok := x.g.findPeer(x.key.Granter)
	if !ok {
		// It may be draining, or not among the sampled peers. An agent's stream
		// address equals the address that its keys name.
		granter = member.Member{Kind: member.Agent, Addr: x.key.Granter, Stream: x.key.Granter, Service: x.spec.ID}
	}
	if x.hops > 0 {
		x.writeProblem(unknownOutcome(http.StatusBadGateway,
			"the agent that granted the key is gone; check whether the request ran before you send it with a fresh key"))
		return
	}
	x.forward = true
	x.peers = append(x.peers, granter)
	x.run(request.Route{PeerHoldsRecord: true, Peers: 1, MaxResends: maxReasks, Deadline: x.deadline})
}

// serveUnknown serves a request whose outcome this agent does not know. If its
// key was granted by an earlier process life at this address, a peer may hold
// the ledger of that life.
func (x *exchange) serveUnknown(d idempotency.Decision) {
	earlierLife := x.key.Granter == x.g.cfg.Addr && x.key.Incarnation != x.g.cfg.Incarnation
	peers := x.g.candidates(x.spec.ID)
	if !earlierLife || x.hops > 0 || len(peers) == 0 {
		x.answerVerdict(d)
		return
	}
	x.forward = true
	x.peers = append(x.peers, peers[0])
	x.run(request.Route{PeerHoldsRecord: true, Peers: 1, MaxResends: maxReasks, Deadline: x.deadline})
}

// answerVerdict answers a request that a record keeps from running.
func (x *exchange) answerVerdict(d idempotency.Decision) {
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
			// Only the closed ledger of that life can say so.
			x.w.Header().Set(relayLedgerField, strconv.FormatUint(x.key.Incarnation, 10))
		}
		x.writeProblem(newProblem("key-spent", http.StatusConflict, OutcomeNotRun,
			"The request was refused before dispatch", "it was not run and will not be; send it with a fresh key"))
	case idempotency.Full:
		x.writeProblem(x.refusal(request.Action{Cause: request.CauseOverloaded}))
	case idempotency.EpochMissing:
		x.w.Header().Set(relayLifeMissingField, "1")
		x.writeProblem(newProblem("life-missing", http.StatusConflict, OutcomeNotRun,
			"The grant names no life of this agent", "grant the request again for the life in "+relayLifeField))
	default:
		x.writeProblem(unknownOutcome(http.StatusConflict,
			"a request with this key may have run; check before you send it with a fresh key"))
	}
}

// fingerprint identifies the content of a request.
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
