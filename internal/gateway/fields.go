package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Fields of requests and answers that callers and backend servers see.
const (
	// OutcomeField says in an answer what became of the request: one of the Outcome values.
	OutcomeField = "Almondledge-Outcome"
	// DeadlineField holds in a request the remaining time until the answer must
	// have started, in milliseconds.
	DeadlineField = "Almondledge-Deadline-Ms"
	// KeyField holds in a request its idempotency key, in an answer a fresh one.
	KeyField = "Idempotency-Key"

	retryAfterField = "Retry-After"
	forwardedField  = "X-Forwarded-For"
)

// Fields of relayed requests and their answers, between agents only.
const (
	relayServiceField = "Almondledge-Relay-Service"
	relayHopsField    = "Almondledge-Relay-Hops"
	relayCallerField  = "Almondledge-Relay-Caller"
	relayKeyField     = "Almondledge-Relay-Key"
	relayGrantField   = "Almondledge-Relay-Grant"
	// relayFreeSlotField asks to run the request at once or to refuse it.
	relayFreeSlotField = "Almondledge-Relay-Free-Slot"
	// relayLifeField tells in an answer the life that grants for the agent must name.
	relayLifeField = "Almondledge-Relay-Life"
	// relayLedgerField names in a refusal the process life whose closed ledger
	// the answering agent holds.
	relayLedgerField = "Almondledge-Relay-Ledger"
	// relayLifeMissingField says in an answer that the grant named no life.
	relayLifeMissingField = "Almondledge-Relay-Life-Missing"
	relayRetryMsField     = "Almondledge-Relay-Retry-After-Ms"
	relayOverloadField    = "Almondledge-Relay-Overloaded"

	// ownFieldPrefix begins the fields that only this system may set.
	ownFieldPrefix = "Almondledge-"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeRun means that the backend server ran the request.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that the request was not run and will not be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeInProgress means that a request with the same key is running.
	OutcomeInProgress Outcome = "in-progress"
)

// hopByHop lists the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without hop-by-hop fields and without the fields
// of the system, so that neither callers nor backend servers can forge those.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, ownFieldPrefix) {
			delete(out, name)
		}
	}
	return out
}

// parseMillis parses a DeadlineField.
func parseMillis(text string) (time.Duration, bool) {
	const maxMillis = 24 * 60 * 60 * 1000
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis > maxMillis {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// formatRetryAfter rounds up to whole seconds, as the field requires.
func formatRetryAfter(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
